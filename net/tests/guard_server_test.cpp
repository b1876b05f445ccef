// The stream of room that a guard holds with each scheduler.
#include "loop_func.h"

#include <sycamoremoor/net/clock_func.h>
#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/net/guard_server.h>
#include <sycamoremoor/net/http_client.h>
#include <sycamoremoor/net/http_server.h>
#include <sycamoremoor/net/line_reader.h>
#include <sycamoremoor/net/metric_registry.h>
#include <sycamoremoor/net/path_type.h>
#include <sycamoremoor/net/timer.h>
#include <sycamoremoor/wire/message_codec.h>

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Sycamoremoor
{

using std::chrono::milliseconds;

TEST(GuardServerTest, ASchedulerThatDoesNotReadTakesNoMemory)
{
    constexpr std::size_t LabelBytes = 4'000;
    constexpr int Changes = 5'000;
    EventLoop loop;
    MetricRegistry metrics;
    Router router(metrics, [] { return std::uint64_t{1}; });
    HttpServer server(loop, {"127.0.0.1", 0}, {}, [&router](const HttpExchangePointer &exchange) { router.route(exchange); });
    GuardServer guard(loop, router, metrics);
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.endpoint().port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    ASSERT_EQ(::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address), 0);
    constexpr std::string_view Request = "GET /internal/v1/watch-room?scheduler=S HTTP/1.1\r\nHost: a\r\n\r\n";
    ASSERT_EQ(::send(socket, Request.data(), Request.size(), 0), static_cast<ssize_t>(Request.size()));
    CapacityReport room;
    room.labels.emplace_back(LabelBytes, 'x');
    int changes = 0;
    std::size_t mostUnsent = 0;
    Timer change(loop, [&] {
        for (int step = 0; step < 50; ++step) {
            room.accepting = !room.accepting;
            guard.carryOut(CapacityChanged{room});
        }
        mostUnsent = std::max(mostUnsent, guard.unsentBytes());
        changes += 50;
        if (changes >= Changes) {
            loop.stop();
        } else {
            change.start(milliseconds(1));
        }
    });
    change.start(milliseconds(50));
    loop.run();
    ::close(socket);
    EXPECT_LT(mostUnsent, 4 * LabelBytes);
}

TEST(GuardServerTest, ASchedulerIsToldNoMoreOftenThanItAsked)
{
    constexpr auto Interval = milliseconds(50);
    constexpr int Changes = 100; // one each millisecond
    EventLoop loop;
    MetricRegistry metrics;
    Router router(metrics, [] { return std::uint64_t{1}; });
    HttpServer server(loop, {"127.0.0.1", 0}, {}, [&router](const HttpExchangePointer &exchange) { router.route(exchange); });
    GuardServer guard(loop, router, metrics);
    HttpClient client(loop);
    ClientCall call;
    call.endpoint = server.endpoint();
    call.method = RequestMethod::Get;
    call.path = "/internal/v1/watch-room?scheduler=S&interval_us=" + std::to_string(Duration(Interval).count());
    std::vector<MonotonicTime> told;
    std::int64_t lastFree = -1;
    LineReader lines;
    call.received = [&](std::string_view part) {
        lines.take(part, [&](std::string_view line) {
            CapacityReport report;
            ASSERT_FALSE(decode(line, report));
            told.push_back(monotonicNow());
            lastFree = report.free.cores.value();
        });
    };
    client.send(std::move(call), [](const ClientResult & /*result*/) {});
    CapacityReport room;
    int changes = 0;
    Timer change(loop, [&] {
        room.free.cores = MilliCores(++changes);
        guard.carryOut(CapacityChanged{room});
        if (changes < Changes) {
            change.start(milliseconds(1));
        }
    });
    change.start(milliseconds(20));
    ASSERT_TRUE(runUntil(loop, [&lastFree] { return lastFree == Changes; })) << "the last change is told, too";
    const auto longest = told.back() - told.front();
    EXPECT_LE(told.size(), static_cast<std::size_t>(longest / Interval) + 2);
}

TEST(GuardServerTest, EachStreamIsToldOfARecentCrashOnce)
{
    EventLoop loop;
    MetricRegistry metrics;
    Router router(metrics, [] { return std::uint64_t{1}; });
    HttpServer server(loop, {"127.0.0.1", 0}, {}, [&router](const HttpExchangePointer &exchange) { router.route(exchange); });
    GuardServer guard(loop, router, metrics);
    HttpClient client(loop);
    std::map<std::string, std::vector<std::uint64_t>> told;
    std::map<std::string, LineReader> lines;
    std::size_t reports = 0;
    const auto watch = [&](const std::string &scheduler) {
        ClientCall call;
        call.endpoint = server.endpoint();
        call.method = RequestMethod::Get;
        call.newConnection = true;
        call.path = "/internal/v1/watch-room?scheduler=" + scheduler;
        call.received = [&, scheduler](std::string_view part) {
            lines[scheduler].take(part, [&](std::string_view line) {
                CrashNotice notice;
                if (!decode(line, notice)) {
                    told[scheduler].push_back(notice.number.value());
                } else {
                    ++reports;
                }
            });
        };
        client.send(std::move(call), [](const ClientResult & /*result*/) {});
    };
    const auto crash = [&guard](std::uint64_t number, bool isRefuted = false) {
        CrashNotice notice;
        notice.number = CrashNumber(number);
        notice.isRefuted = isRefuted;
        guard.carryOut(UpstreamCrashed{notice, monotonicNow() + std::chrono::seconds(10)});
    };
    watch("early");
    ASSERT_TRUE(runUntil(loop, [&reports] { return reports > 0; }));
    crash(1);
    crash(2);
    ASSERT_TRUE(runUntil(loop, [&told] { return told["early"].size() == 2; }));
    watch("late");
    ASSERT_TRUE(runUntil(loop, [&told] { return told["late"].size() == 2; }));
    crash(3);
    const std::vector<std::uint64_t> all{1, 2, 3};
    EXPECT_TRUE(runUntil(loop, [&] { return told["early"] == all && told["late"] == all; }));
    crash(2, true);
    const std::vector<std::uint64_t> allAndRefutation{1, 2, 3, 2};
    EXPECT_TRUE(runUntil(loop, [&] { return told["early"] == allAndRefutation && told["late"] == allAndRefutation; }));
    watch("last");
    const std::vector<std::uint64_t> refuted{1, 3, 2};
    EXPECT_TRUE(runUntil(loop, [&] { return told["last"] == refuted; }));
}

// Guards against an entry that is looked up after a step has removed it: the guard ended by an exception.
TEST(GuardServerTest, TheBatchesOfASchedulerThatIsGoneMayEndWhileTheyAreDropped)
{
    constexpr std::size_t Batches = 3;
    EventLoop loop;
    MetricRegistry metrics;
    Router router(metrics, [] { return std::uint64_t{1}; });
    HttpServer server(loop, {"127.0.0.1", 0}, {}, [&router](const HttpExchangePointer &exchange) { router.route(exchange); });
    GuardServer guard(loop, router, metrics);
    std::vector<ConnectionId> received;
    std::vector<ConnectionId> abandoned;
    guard.signalInput().connect([&](const GuardInput &input) {
        if (const auto *batch = std::get_if<BatchReceived>(&input)) {
            received.push_back(batch->connection);
        } else if (const auto *dropped = std::get_if<BatchAbandoned>(&input)) {
            abandoned.push_back(dropped->connection);
            for (const auto connection : received) {
                guard.carryOut(EndBatch{connection}); // as the step does that finds that the leases at the upstream have ended
            }
        }
    });
    HttpClient client(loop);
    ClientCall watch;
    watch.endpoint = server.endpoint();
    watch.method = RequestMethod::Get;
    watch.path = "/internal/v1/watch-room?scheduler=S";
    const auto stream = client.send(std::move(watch), [](const ClientResult & /*result*/) {});
    std::size_t ended = 0;
    for (std::size_t number = 1; number <= Batches; ++number) {
        StartBatch batch;
        batch.scheduler = EntryName("S");
        batch.batch = BatchNumber(number);
        batch.orders.emplace_back();
        ClientCall call;
        call.endpoint = server.endpoint();
        call.path = Path::StartBatch;
        call.body = encode(batch);
        call.newConnection = true;
        client.send(std::move(call), [&ended](const ClientResult & /*result*/) { ++ended; });
    }
    ASSERT_TRUE(runUntil(loop, [&] { return received.size() == Batches && server.openExchanges() == Batches + 1; }));
    client.cancel(server.endpoint(), stream);
    ASSERT_TRUE(runUntil(loop, [&ended] { return ended == Batches; }));
    EXPECT_EQ(abandoned.size(), 1U) << "the others had ended";
}

TEST(GuardServerTest, AStoppingGuardBeginsNoNewStream)
{
    EventLoop loop;
    MetricRegistry metrics;
    Router router(metrics, [] { return std::uint64_t{1}; });
    HttpServer server(loop, {"127.0.0.1", 0}, {}, [&router](const HttpExchangePointer &exchange) { router.route(exchange); });
    GuardServer guard(loop, router, metrics);
    HttpClient client(loop);
    std::vector<int> statuses;
    const auto watch = [&] {
        ClientCall call;
        call.endpoint = server.endpoint();
        call.method = RequestMethod::Get;
        call.newConnection = true;
        call.path = "/internal/v1/watch-room?scheduler=S";
        client.send(std::move(call), [&statuses](const ClientResult &result) { statuses.push_back(result.status); });
    };
    watch();
    ASSERT_TRUE(runUntil(loop, [&server] { return server.openExchanges() == 1; }));
    guard.endWatches();
    ASSERT_TRUE(runUntil(loop, [&statuses] { return statuses.size() == 1; }));
    watch();
    ASSERT_TRUE(runUntil(loop, [&statuses] { return statuses.size() == 2; })) << "its process would never be without an open exchange";
    EXPECT_EQ(statuses.back(), 503);
    EXPECT_EQ(server.openExchanges(), 0U);
}

} // namespace Sycamoremoor
