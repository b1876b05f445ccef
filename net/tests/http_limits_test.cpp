// Limits of a server on its clients: what is refused, which connections are closed, and that it goes on.
#include "loop_func.h"
#include "raw_client.h"

#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/net/http_exchange.h>
#include <sycamoremoor/net/http_server.h>
#include <sycamoremoor/net/metric_registry.h>
#include <sycamoremoor/net/refusal_reporter.h>

#include <gtest/gtest.h>

#include <sys/resource.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Sycamoremoor
{

namespace
{

const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

std::string fieldsOf(std::size_t count)
{
    std::string fields;
    for (std::size_t field = 0; field < count; ++field) {
        fields += "a:\r\n";
    }
    return fields;
}

/** Lowers the descriptors that this process may open, for a while. */
class FewDescriptors
{
public:
    explicit FewDescriptors(rlim_t count)
    {
        getrlimit(RLIMIT_NOFILE, &m_before);
        const rlimit lowered{count, m_before.rlim_max};
        setrlimit(RLIMIT_NOFILE, &lowered);
    }

    ~FewDescriptors()
    {
        setrlimit(RLIMIT_NOFILE, &m_before);
    }

    FewDescriptors(const FewDescriptors &) = delete;
    FewDescriptors &operator=(const FewDescriptors &) = delete;

private:
    rlimit m_before{};
};

} // namespace

class HttpLimitsTest : public testing::Test
{
protected:
    void start(const HttpServerSettings &settings)
    {
        m_server = std::make_unique<HttpServer>(m_loop, Endpoint{"127.0.0.1", 0}, settings, [this](const HttpExchangePointer &exchange) {
            ++m_taken;
            m_handler(exchange);
        });
        m_server->signalRefused().connect([this](ClientRefusal refusal) { m_refusals.push_back(refusal); });
    }

    /** Opens a connection and waits until the server has it. */
    std::unique_ptr<RawClient> connect()
    {
        const auto before = m_server->connections();
        auto client = std::make_unique<RawClient>(m_server->endpoint());
        EXPECT_TRUE(runUntil(m_loop, [&] { return m_server->connections() > before; }));
        return client;
    }

    /** Runs the loop until @p client has the whole head of an answer, or is closed. @return what it received */
    std::string received(const RawClient &client)
    {
        std::string answer;
        EXPECT_TRUE(runUntil(m_loop, [&] { return !client.poll(answer) || answer.find("\r\n\r\n") != std::string::npos; }));
        return answer;
    }

    [[nodiscard]] std::ptrdiff_t countOf(ClientRefusal refusal) const
    {
        return std::ranges::count(m_refusals, refusal);
    }

    EventLoop m_loop;
    HttpServer::Handler m_handler = [](const HttpExchangePointer &exchange) {
        exchange->reply({200, "{}"});
    };
    std::unique_ptr<HttpServer> m_server;
    std::size_t m_taken = 0;
    std::vector<ClientRefusal> m_refusals;
};

// Guards against a refusal of a request that runs nevertheless, as its head is whole in the same read.
TEST_F(HttpLimitsTest, AHeadWithTooManyFieldsIsRefusedAndNotTaken)
{
    start({.maxHeaderFields = 10});
    const RawClient many(m_server->endpoint());
    many.send("GET / HTTP/1.1\r\nHost: a\r\n" + fieldsOf(20) + "\r\n");
    EXPECT_TRUE(received(many).starts_with("HTTP/1.1 431 "));
    EXPECT_EQ(m_taken, 0U);
    EXPECT_EQ(countOf(ClientRefusal::TooManyFields), 1);
    EXPECT_TRUE(runUntil(m_loop, [this] { return m_server->connections() == 0; }));
    const RawClient few(m_server->endpoint());
    few.send("GET / HTTP/1.1\r\nHost: a\r\n" + fieldsOf(7) + "\r\n");
    EXPECT_TRUE(received(few).starts_with("HTTP/1.1 200 "));
}

// Guards against fields that are added up over the requests of a connection, and against lines of bodies that count as fields.
TEST_F(HttpLimitsTest, FieldsAreCountedForEachRequest)
{
    start({.maxHeaderFields = 10});
    const RawClient client(m_server->endpoint());
    const std::string lines(50, '\n');
    const auto post = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n" + fieldsOf(5) + "\r\n" + lines;
    client.send(post + post + post);
    std::string answers;
    EXPECT_TRUE(runUntil(m_loop, [&] {
        client.poll(answers);
        return m_taken == 3;
    }));
    EXPECT_TRUE(m_refusals.empty());
}

// Guards against connections that stay open, and are read, after their request was refused or their client left in the middle of one.
TEST_F(HttpLimitsTest, NothingIsKeptOfConnectionsThatEnd)
{
    start({.receiveLimit = std::chrono::hours(1)});
    for (const auto *begin :
         {"", "GET / HT", "GET / HTTP/1.1\r\nHost: a\r\n", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc"}) {
        const auto client = connect();
        client->send(begin);
        runFor(m_loop, std::chrono::milliseconds(10));
        client->hangUp();
        EXPECT_TRUE(runUntil(m_loop, [this] { return m_server->connections() == 0; })) << begin;
    }
    for (const auto &malformed : {std::string("hello\r\n\r\n"), "GET / HTTP/1.1\r\nX: " + std::string(100'000, 'x')}) {
        const auto client = connect();
        client->send(malformed);
        EXPECT_TRUE(received(*client).starts_with("HTTP/1.1 400 "));
        EXPECT_TRUE(runUntil(m_loop, [this] { return m_server->connections() == 0; }));
    }
    EXPECT_EQ(countOf(ClientRefusal::MalformedHead), 2);
}

// Guards against newcomers that find no room beside idle connections, and against the wrong ones being closed.
TEST_F(HttpLimitsTest, TheLongestIdleConnectionMakesRoom)
{
    std::vector<HttpExchangePointer> open;
    m_handler = [&open](const HttpExchangePointer &exchange) {
        open.push_back(exchange);
    };
    start({.maxConnections = 4});
    const auto busy = connect();
    busy->send(request);
    ASSERT_TRUE(runUntil(m_loop, [&] { return open.size() == 1; }));
    const auto oldest = connect();
    const auto younger = connect();
    const RawClient newest(m_server->endpoint());
    newest.send(request);
    ASSERT_TRUE(runUntil(m_loop, [&] { return open.size() == 2; }));
    ASSERT_TRUE(runUntil(m_loop, [this] { return countOf(ClientRefusal::TooManyConnections) > 0; }));
    std::string nothing;
    EXPECT_FALSE(oldest->poll(nothing));
    EXPECT_TRUE(younger->poll(nothing));
    EXPECT_EQ(countOf(ClientRefusal::TooManyConnections), 1);
    open.front()->reply({200, "{}"});
    EXPECT_TRUE(received(*busy).starts_with("HTTP/1.1 200 "));
}

// Guards against connections with a request in work that are closed for newcomers, and against newcomers that wait for ever.
TEST_F(HttpLimitsTest, NewcomersWaitWhileAllConnectionsAreInUse)
{
    std::vector<HttpExchangePointer> open;
    m_handler = [&open](const HttpExchangePointer &exchange) {
        open.push_back(exchange);
    };
    start({.maxConnections = 2});
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int client = 0; client < 4; ++client) {
        clients.push_back(std::make_unique<RawClient>(m_server->endpoint()));
        clients.back()->send(request);
    }
    ASSERT_TRUE(runUntil(m_loop, [&] { return open.size() == 2; }));
    runFor(m_loop, std::chrono::milliseconds(50));
    EXPECT_EQ(open.size(), 2U);
    for (std::size_t client = 0; client < clients.size(); ++client) {
        ASSERT_TRUE(runUntil(m_loop, [&] { return open.size() > client; }));
        open[client]->reply({200, "{}"});
        EXPECT_TRUE(received(*clients[client]).starts_with("HTTP/1.1 200 "));
        clients[client]->hangUp();
    }
}

// Guards against bodies, whole or in chunks, that are within the limit one by one and too much together.
TEST_F(HttpLimitsTest, TheConnectionThatHoldsMostIsClosed)
{
    constexpr std::size_t HeldBytes = 200'000;
    for (const std::string framing : {"Content-Length: 150000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n"}) {
        m_refusals.clear();
        start({.maxHeldBytes = HeldBytes});
        const bool inChunks = framing.starts_with("Transfer");
        const auto part = inChunks ? "C350\r\n" + std::string(50'000, 'x') + "\r\n" : std::string(50'000, 'x');
        const auto head = "POST / HTTP/1.1\r\nHost: a\r\n" + framing;
        const auto onePart = head + part;
        const auto twoParts = onePart + part;
        const auto small = connect();
        small->send(onePart);
        const auto large = connect();
        large->send(twoParts);
        const auto third = connect();
        third->send(twoParts);
        EXPECT_TRUE(runUntil(m_loop, [this] { return countOf(ClientRefusal::TooManyBytes) == 1; })) << framing;
        const RawClient ordinary(m_server->endpoint());
        ordinary.send(request);
        EXPECT_TRUE(received(ordinary).starts_with("HTTP/1.1 200 "));
        std::string nothing;
        EXPECT_TRUE(small->poll(nothing));
        EXPECT_EQ(countOf(ClientRefusal::TooManyBytes), 1);
    }
}

// Guards against a server that spins, or accepts nothing any more, after descriptors ran out.
TEST_F(HttpLimitsTest, AcceptingGoesOnAfterDescriptorsRanOut)
{
    start({});
    {
        const RawClient waiting(m_server->endpoint());
        const FewDescriptors none(3);
        EXPECT_TRUE(runUntil(m_loop, [this] { return countOf(ClientRefusal::NoDescriptor) > 0; }));
    }
    const RawClient client(m_server->endpoint());
    client.send(request);
    EXPECT_TRUE(received(client).starts_with("HTTP/1.1 200 "));
}

// Guards against the use of a connection that ends at once with its answer, as one of HTTP/1.0 does when all but the end has left.
TEST_F(HttpLimitsTest, AStreamWithoutChunksEndsWithItsConnection)
{
    HttpExchangePointer open;
    m_handler = [&open](const HttpExchangePointer &exchange) {
        open = exchange;
        open->stream("part");
    };
    start({});
    const RawClient client(m_server->endpoint());
    client.send("GET / HTTP/1.0\r\n\r\n");
    std::string answer;
    ASSERT_TRUE(runUntil(m_loop, [&] {
        client.poll(answer);
        return answer.ends_with("part");
    }));
    open->endStream();
    EXPECT_TRUE(runUntil(m_loop, [&] { return !client.poll(answer); }));
    EXPECT_EQ(m_server->connections(), 0U);
}

// Guards against refusals that nobody sees.
TEST_F(HttpLimitsTest, RefusalsAreCounted)
{
    start({.maxHeaderFields = 10});
    MetricRegistry metrics;
    const RefusalReporter reporter(*m_server, metrics, "test");
    for (int round = 0; round < 2; ++round) {
        const RawClient client(m_server->endpoint());
        client.send("GET / HTTP/1.1\r\n" + fieldsOf(20) + "\r\n");
        received(client);
    }
    EXPECT_NE(metrics.toText().find("sycamoremoor_fields_refused_total 2\n"), std::string::npos);
}

} // namespace Sycamoremoor
