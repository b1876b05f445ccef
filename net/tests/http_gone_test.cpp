// Whether an open request hears that its other end is gone. Guards against a reset that went unheard while the loop span.
#include "loop_func.h"
#include "raw_client.h"

#include <sycamoremoor/net/http_exchange.h>
#include <sycamoremoor/net/http_server.h>

#include <gtest/gtest.h>

#include <sys/epoll.h>

#include <csignal>
#include <list>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace
{

int rounds = 0; ///< of the event loops of this program

} // namespace

/** Stands before the function of the C library, so that rounds without any event are counted too. */
extern "C" int epoll_wait(int epoll, epoll_event *events, int size, int timeout) // NOLINT(readability-identifier-naming)
{
    ++rounds;
    return epoll_pwait(epoll, events, size, timeout, nullptr);
}

namespace Sycamoremoor
{

namespace
{

constexpr Duration Rest = std::chrono::milliseconds(300);
constexpr int MostRoundsAtRest = 20;                          ///< a loop that spins makes thousands; a slow machine makes fewer
constexpr Duration OutOfStep = std::chrono::milliseconds(30); ///< with checks that are repeated at intervals
constexpr int MostRoundsUntilTold = 10; ///< of the loop, which wakes each 2 ms; told by the socket, not by a check every 100 ms
constexpr std::string_view Request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr std::string_view HalfRequest = Request.substr(0, Request.size() / 2);

enum class Ending {
    Fin,
    Reset,
};

struct GoneCase {
    const char *name;
    Ending ending;
    bool streamed;          ///< a part of the answer has left
    std::string_view early; ///< sent before the answer
};

struct EarlyCase {
    const char *name;
    bool streamed;
    std::string_view early;
    std::string_view rest; ///< of the second request, sent after the first answer
};

} // namespace

class HttpOpenRequest : public testing::Test
{
protected:
    HttpOpenRequest()
    {
        std::signal(SIGPIPE, SIG_IGN);
    }

    /** Opens a request, lets its answer begin if @p streamed, and sends @p early. */
    void open(bool streamed, std::string_view early)
    {
        m_client.send(std::string(Request));
        ASSERT_TRUE(runUntil(m_loop, [this] { return m_open.size() == 1; }));
        if (streamed) {
            m_open.front()->stream("part\n");
            ASSERT_TRUE(received("part\n"));
        }
        m_client.send(std::string(early));
        expectRest();
        ASSERT_EQ(m_gone, 0);
    }

    /** Runs the loop while nothing happens. */
    void expectRest()
    {
        rounds = 0;
        runFor(m_loop, Rest);
        EXPECT_GT(rounds, 0);
        EXPECT_LE(rounds, MostRoundsAtRest);
    }

    /** Runs the loop until the client received @p text. */
    bool received(const std::string &text)
    {
        return runUntil(m_loop, [&] {
            m_client.poll(m_received);
            return m_received.find(text) != std::string::npos;
        });
    }

    EventLoop m_loop;
    std::vector<HttpExchangePointer> m_open;
    int m_gone = 0;
    HttpServer m_server{m_loop, {"127.0.0.1", 0}, {.receiveLimit = std::chrono::minutes(2)}, [this](const HttpExchangePointer &exchange) {
                            m_open.push_back(exchange);
                            exchange->onGone([this] { ++m_gone; });
                        }};
    RawClient m_client{m_server.endpoint()};
    std::string m_received;
};

class HttpGoneTest : public HttpOpenRequest, public testing::WithParamInterface<GoneCase>
{
};

TEST_P(HttpGoneTest, IsToldOnceAndTheLoopRests)
{
    ASSERT_NO_FATAL_FAILURE(open(GetParam().streamed, GetParam().early));
    runFor(m_loop, OutOfStep);
    if (GetParam().ending == Ending::Fin) {
        m_client.finish();
    } else {
        m_client.reset();
    }
    rounds = 0;
    EXPECT_TRUE(runUntil(m_loop, [this] { return m_gone > 0; }));
    if (!GetParam().streamed) {
        EXPECT_LE(rounds, MostRoundsUntilTold) << "runs of a caller that is gone go on meanwhile";
    }
    expectRest();
    EXPECT_EQ(m_gone, 1);
    EXPECT_EQ(m_server.openExchanges(), 0U);
    m_open.front()->reply({}); // without effect
}

INSTANTIATE_TEST_SUITE_P(Endings,
                         HttpGoneTest,
                         testing::Values(GoneCase{"Fin", Ending::Fin, false, ""},
                                         GoneCase{"Reset", Ending::Reset, false, ""},
                                         GoneCase{"FinInAStream", Ending::Fin, true, ""},
                                         GoneCase{"ResetInAStream", Ending::Reset, true, ""},
                                         GoneCase{"FinAfterHalfARequest", Ending::Fin, false, HalfRequest},
                                         GoneCase{"ResetAfterHalfARequest", Ending::Reset, false, HalfRequest},
                                         GoneCase{"FinAfterASecondRequest", Ending::Fin, false, Request},
                                         GoneCase{"ResetAfterASecondRequest", Ending::Reset, false, Request},
                                         GoneCase{"FinInAStreamAfterASecondRequest", Ending::Fin, true, Request},
                                         GoneCase{"ResetInAStreamAfterASecondRequest", Ending::Reset, true, Request}),
                         [](const auto &test) { return test.param.name; });

class HttpEarlyRequestTest : public HttpOpenRequest, public testing::WithParamInterface<EarlyCase>
{
};

TEST_P(HttpEarlyRequestTest, IsNoEndAndIsAnsweredAfterTheFirst)
{
    ASSERT_NO_FATAL_FAILURE(open(GetParam().streamed, GetParam().early));
    EXPECT_EQ(m_open.size(), 1U);
    if (GetParam().streamed) {
        m_open.front()->stream("first");
        m_open.front()->endStream();
    } else {
        m_open.front()->reply({200, "first"});
    }
    ASSERT_TRUE(received("first"));
    m_client.send(std::string(GetParam().rest));
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_open.size() == 2; }));
    expectRest();
    m_open.back()->reply({200, "second"});
    EXPECT_TRUE(received("second"));
    EXPECT_EQ(m_gone, 0);
    EXPECT_EQ(m_server.openExchanges(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Requests,
                         HttpEarlyRequestTest,
                         testing::Values(EarlyCase{"Whole", false, Request, ""},
                                         EarlyCase{"Half", false, HalfRequest, Request.substr(HalfRequest.size())},
                                         EarlyCase{"WholeInAStream", true, Request, ""},
                                         EarlyCase{"HalfInAStream", true, HalfRequest, Request.substr(HalfRequest.size())}),
                         [](const auto &test) { return test.param.name; });

TEST(HttpStandstillTest, RequestsAndTheEndsOfTheirConnectionsAreReadInOneRound)
{
    constexpr std::size_t Clients = 100;
    constexpr Duration Standstill = std::chrono::milliseconds(400);
    EventLoop loop;
    std::size_t taken = 0;
    std::size_t gone = 0;
    bool isAsked = false;
    std::vector<std::pair<std::size_t, std::size_t>> byEnd; ///< requests and ends, by ended round
    HttpServer server(loop, {"127.0.0.1", 0}, {}, [&](const HttpExchangePointer &exchange) {
        ++taken;
        exchange->onGone([&gone] { ++gone; });
        if (!std::exchange(isAsked, true)) {
            loop.atEndOfRound(RoundPhase::Decide, [&] {
                isAsked = false;
                byEnd.emplace_back(taken, gone);
            });
        }
    });
    std::list<RawClient> clients;
    for (std::size_t client = 0; client < Clients; ++client) {
        clients.emplace_back(server.endpoint()).send(std::string(Request));
        clients.back().finish();
    }
    std::this_thread::sleep_for(Standstill);
    ASSERT_TRUE(runUntil(loop, [&] { return gone == Clients && !isAsked; }));
    EXPECT_EQ(byEnd, (std::vector<std::pair<std::size_t, std::size_t>>{{Clients, Clients}}));
}

} // namespace Sycamoremoor
