// Which connections a client uses again after one of its calls went without an answer.
#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/net/http_client.h>
#include <sycamoremoor/net/http_exchange.h>
#include <sycamoremoor/net/http_server.h>

#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <string>
#include <vector>

namespace Sycamoremoor
{

namespace
{

constexpr Duration ShortLimit = std::chrono::milliseconds(40);
constexpr Duration TestLimit = std::chrono::seconds(5);

ClientCall callTo(const Endpoint &endpoint, const std::string &path)
{
    ClientCall call;
    call.endpoint = endpoint;
    call.path = path;
    call.timeLimit = ShortLimit;
    call.connectLimit = TestLimit;
    return call;
}

struct ReuseCase {
    const char *name;
    bool answersMeanwhile;    ///< another call is answered while the silent one waits
    std::size_t keptAtTheEnd; ///< of three connections
};

constexpr std::array ReuseCases{
    ReuseCase{"OthersAreSilentToo", false, 0},
    ReuseCase{"OthersWork", true, 2},
};

} // namespace

class HttpReuseTest : public testing::TestWithParam<ReuseCase>
{
};

TEST_P(HttpReuseTest, KeepsWhatProvedToWork)
{
    EventLoop loop;
    std::vector<HttpExchangePointer> held;
    HttpServer server(loop, {"127.0.0.1", 0}, {}, [&held](const HttpExchangePointer &exchange) {
        if (exchange->request().path == "/silent") {
            held.push_back(exchange);
        } else {
            exchange->reply({200, "{}", "application/json", {}});
        }
    });
    HttpClient client(loop);
    int answered = 0;
    const auto warmed = [&](const ClientResult &result) {
        ASSERT_TRUE(result.answered);
        if (++answered < 3) {
            return;
        }
        client.send(callTo(server.endpoint(), "/silent"), [&](const ClientResult &last) {
            EXPECT_FALSE(last.answered);
            loop.stop();
        });
        if (GetParam().answersMeanwhile) {
            client.send(callTo(server.endpoint(), "/"), [](const ClientResult &other) { EXPECT_TRUE(other.answered); });
        }
    };
    for (int call = 0; call < 3; ++call) {
        client.send(callTo(server.endpoint(), "/"), warmed);
    }
    Timer end(loop, [&loop] { loop.stop(); });
    end.start(TestLimit);
    loop.run();
    EXPECT_EQ(client.connections(), GetParam().keptAtTheEnd);
}

INSTANTIATE_TEST_SUITE_P(Silence, HttpReuseTest, testing::ValuesIn(ReuseCases), [](const auto &row) { return row.param.name; });

TEST(HttpNotSentTest, NothingLeavesOnceACallIsReportedAsNotSent)
{
    EventLoop loop;
    int arrived = 0;
    HttpServer server(loop, {"127.0.0.1", 0}, {}, [&arrived](const HttpExchangePointer &exchange) {
        ++arrived;
        exchange->reply({200, "{}", "application/json", {}});
    });
    HttpClient client(loop);
    int notSent = 0;
    for (int call = 0; call < 50; ++call) {
        auto request = callTo(server.endpoint(), "/");
        request.connectLimit = Duration::zero(); // runs out in the round of the loop in which the connection opens
        client.send(std::move(request), [&notSent](const ClientResult &result) {
            notSent += !result.answered && result.delivery == Delivery::NotSent ? 1 : 0;
        });
    }
    Timer end(loop, [&loop] { loop.stop(); });
    end.start(std::chrono::milliseconds(200));
    loop.run();
    EXPECT_GT(notSent, 0);
    EXPECT_EQ(arrived + notSent, 50);
}

} // namespace Sycamoremoor
