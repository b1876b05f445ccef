// Server and client of HTTP against each other and against ends that misbehave.
#include "loop_func.h"
#include "raw_client.h"

#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/net/http_client.h>
#include <sycamoremoor/net/http_exchange.h>
#include <sycamoremoor/net/http_server.h>
#include <sycamoremoor/net/metric_registry.h>
#include <sycamoremoor/net/router.h>

#include <gtest/gtest.h>

#include <csignal>
#include <string>
#include <vector>

namespace Sycamoremoor
{

class HttpTest : public testing::Test
{
protected:
    HttpTest()
    {
        std::signal(SIGPIPE, SIG_IGN);
        m_settings.receiveLimit = std::chrono::milliseconds(200);
        m_settings.maxBodyBytes = 1'000'000;
        m_server = std::make_unique<HttpServer>(
            m_loop, Endpoint{"127.0.0.1", 0}, m_settings, [this](const HttpExchangePointer &exchange) { m_handler(exchange); });
    }

    /** Runs the loop until @p condition holds. @return false if it does not within the limit */
    bool runUntil(const std::function<bool()> &condition)
    {
        return Sycamoremoor::runUntil(m_loop, condition);
    }

    ClientCall callTo(const std::string &path, const std::string &body = "")
    {
        ClientCall call;
        call.endpoint = m_server->endpoint();
        call.path = path;
        call.body = body;
        return call;
    }

    /** Sends a call and runs the loop until it ended. */
    ClientResult ask(ClientCall call)
    {
        std::optional<ClientResult> result;
        m_client.send(std::move(call), [&result](ClientResult ended) { result = std::move(ended); });
        EXPECT_TRUE(runUntil([&result] { return result.has_value(); }));
        return result.value_or(ClientResult());
    }

    EventLoop m_loop;
    HttpServerSettings m_settings;
    HttpServer::Handler m_handler = [](const HttpExchangePointer &exchange) {
        exchange->reply({200, exchange->request().path + ":" + exchange->request().body});
    };
    std::unique_ptr<HttpServer> m_server;
    HttpClient m_client{m_loop};
};

TEST_F(HttpTest, AnswersAndReusesTheConnection)
{
    for (int round = 0; round < 3; ++round) {
        const auto result = ask(callTo("/path", std::string(100'000, 'x')));
        EXPECT_TRUE(result.answered);
        EXPECT_EQ(result.status, 200);
        EXPECT_EQ(result.body.size(), 100'006U);
    }
    EXPECT_EQ(m_client.connections(), 1U);
}

TEST_F(HttpTest, CallsSideBySideGetTheirOwnAnswers)
{
    constexpr int Calls = 50;
    std::vector<std::string> bodies(Calls);
    int ended = 0;
    for (int call = 0; call < Calls; ++call) {
        m_client.send(callTo("/p", std::to_string(call)), [&, call](const ClientResult &result) {
            bodies[static_cast<std::size_t>(call)] = result.body;
            ++ended;
        });
    }
    ASSERT_TRUE(runUntil([&ended] { return ended == Calls; }));
    for (int call = 0; call < Calls; ++call) {
        EXPECT_EQ(bodies[static_cast<std::size_t>(call)], "/p:" + std::to_string(call));
    }
}

TEST_F(HttpTest, StreamsPartsAsTheyCome)
{
    HttpExchangePointer open;
    m_handler = [&open](const HttpExchangePointer &exchange) {
        open = exchange;
        open->stream("one\n");
    };
    std::string received;
    bool ended = false;
    auto call = callTo("/stream");
    call.received = [&received](std::string_view part) {
        received += part;
    };
    m_client.send(std::move(call), [&ended](const ClientResult &result) { ended = result.answered; });
    ASSERT_TRUE(runUntil([&received] { return received == "one\n"; }));
    EXPECT_FALSE(ended);
    open->stream("two\n");
    open->endStream();
    ASSERT_TRUE(runUntil([&ended] { return ended; }));
    EXPECT_EQ(received, "one\ntwo\n");
    EXPECT_EQ(m_server->openExchanges(), 0U);
}

TEST_F(HttpTest, RefusedConnectionIsProvablyNotSent)
{
    auto call = callTo("/");
    call.endpoint.port = 1;
    const auto result = ask(std::move(call));
    EXPECT_FALSE(result.answered);
    EXPECT_EQ(result.delivery, Delivery::NotSent);
}

TEST_F(HttpTest, SilentServerEndsAsUnknownAtTheTimeLimit)
{
    HttpExchangePointer open;
    bool gone = false;
    m_handler = [&](const HttpExchangePointer &exchange) {
        open = exchange;
        open->onGone([&gone] { gone = true; });
    };
    auto call = callTo("/");
    call.timeLimit = std::chrono::milliseconds(50);
    const auto result = ask(std::move(call));
    EXPECT_FALSE(result.answered);
    EXPECT_EQ(result.delivery, Delivery::Unknown);
    EXPECT_TRUE(runUntil([&gone] { return gone; }));
    open->reply({}); // without effect
    EXPECT_EQ(m_client.connections(), 0U);
}

TEST_F(HttpTest, HangUpOfTheCallerIsNoticedWhileTheAnswerIsPending)
{
    HttpExchangePointer open;
    bool gone = false;
    m_handler = [&](const HttpExchangePointer &exchange) {
        open = exchange;
        open->onGone([&gone] { gone = true; });
    };
    RawClient raw(m_server->endpoint());
    raw.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&open] { return open != nullptr; }));
    raw.hangUp();
    EXPECT_TRUE(runUntil([&gone] { return gone; }));
    EXPECT_EQ(m_server->openExchanges(), 0U);
}

TEST_F(HttpTest, SecondRequestBeforeTheFirstAnswerWaits)
{
    std::vector<HttpExchangePointer> open;
    m_handler = [&open](const HttpExchangePointer &exchange) {
        open.push_back(exchange);
    };
    RawClient raw(m_server->endpoint());
    raw.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&open] { return open.size() == 1; }));
    raw.send("GET /3 HTTP/1.1\r\nHost: a\r\n\r\n");
    open.front()->reply({200, "first"});
    ASSERT_TRUE(runUntil([&open] { return open.size() == 2; }));
    open.back()->reply({200, "second"});
    ASSERT_TRUE(runUntil([&open] { return open.size() == 3; }));
    open.back()->reply({200, "third"});
    std::string received;
    EXPECT_TRUE(runUntil([&] {
        raw.poll(received);
        return received.ends_with("third");
    }));
}

struct SlowSender {
    const char *name;
    const char *begin;
    const char *drip; ///< sent again and again
};

class SlowSenderTest : public HttpTest, public testing::WithParamInterface<SlowSender>
{
};

TEST_P(SlowSenderTest, IsAnsweredAndCutOff)
{
    RawClient raw(m_server->endpoint());
    raw.send(GetParam().begin);
    std::string received;
    EXPECT_TRUE(runUntil([&] {
        raw.send(GetParam().drip);
        return !raw.poll(received);
    }));
    EXPECT_TRUE(received.starts_with("HTTP/1.1 408 ")) << received;
    EXPECT_NE(received.find("request_timeout"), std::string::npos);
    EXPECT_TRUE(ask(callTo("/still")).answered);
}

INSTANTIATE_TEST_SUITE_P(Senders,
                         SlowSenderTest,
                         testing::Values(SlowSender{"HalfLine", "GET / HT", ""},
                                         SlowSender{"HalfHeaders", "GET / HTTP/1.1\r\nHost: a\r\n", ""},
                                         SlowSender{"HalfBody", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\nabc", ""},
                                         SlowSender{"DrippingBody", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n", "x"}),
                         [](const auto &test) { return test.param.name; });

TEST_F(HttpTest, OversizeBodyIsRefused)
{
    EXPECT_EQ(ask(callTo("/", std::string(m_settings.maxBodyBytes + 1, 'x'))).status, 413);
    EXPECT_EQ(ask(callTo("/")).status, 200);
}

struct BadRequest {
    const char *name;
    std::string bytes;
    const char *status;
};

class BadRequestTest : public HttpTest, public testing::WithParamInterface<BadRequest>
{
};

TEST_P(BadRequestTest, IsRefusedAndTheServerGoesOn)
{
    RawClient raw(m_server->endpoint());
    raw.send(GetParam().bytes);
    std::string received;
    EXPECT_TRUE(runUntil([&] { return !raw.poll(received) || received.find("\r\n\r\n") != std::string::npos; }));
    EXPECT_TRUE(received.starts_with(GetParam().status)) << received;
    EXPECT_TRUE(ask(callTo("/still")).answered);
}

INSTANTIATE_TEST_SUITE_P(
    Requests,
    BadRequestTest,
    testing::Values(BadRequest{"NotHttp", "hello\r\n\r\n", "HTTP/1.1 400 "},
                    BadRequest{"OversizeNeverSent", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n", "HTTP/1.1 408 "},
                    BadRequest{"LongHeader", "GET / HTTP/1.1\r\nX: " + std::string(100'000, 'x') + "\r\n\r\n", "HTTP/1.1 400 "}),
    [](const auto &test) { return test.param.name; });

struct RouteCase {
    const char *name;
    RequestMethod method;
    const char *path;
    int status;
    const char *code;
};

class RouterTest : public HttpTest, public testing::WithParamInterface<RouteCase>
{
};

TEST_P(RouterTest, AnswersByTheErrorTable)
{
    MetricRegistry metrics;
    Router router(metrics, [] { return 7; });
    router.add(RequestMethod::Post, "/v1/jobs", [](const RoutedRequest &request) { request.exchange->reply({200, "posted"}); });
    router.add(RequestMethod::Get, "/v1/jobs/", [](const RoutedRequest &request) { request.exchange->reply({200, request.pathSuffix}); });
    m_handler = [&router](const HttpExchangePointer &exchange) {
        router.route(exchange);
    };
    auto call = callTo(GetParam().path);
    call.method = GetParam().method;
    const auto result = ask(std::move(call));
    EXPECT_EQ(result.status, GetParam().status);
    EXPECT_NE(result.body.find(GetParam().code), std::string::npos) << result.body;
}

INSTANTIATE_TEST_SUITE_P(Routes,
                         RouterTest,
                         testing::Values(RouteCase{"Post", RequestMethod::Post, "/v1/jobs", 200, "posted"},
                                         RouteCase{"Suffix", RequestMethod::Get, "/v1/jobs/some%2Dkey", 200, "some-key"},
                                         RouteCase{"NoPath", RequestMethod::Get, "/v1", 404, "not_found"},
                                         RouteCase{"Root", RequestMethod::Get, "/", 404, "not_found"},
                                         RouteCase{"Deeper", RequestMethod::Get, "/v1/jobs/a/b", 404, "not_found"},
                                         RouteCase{"WrongMethod", RequestMethod::Delete, "/v1/jobs", 405, "method_not_allowed"},
                                         RouteCase{"RequestId", RequestMethod::Get, "/x", 404, "0000000000000007"}),
                         [](const auto &test) { return test.param.name; });

} // namespace Sycamoremoor
