// What a scheduler reads of the reports of a guard's capacity.
#include "loop_func.h"

#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/net/http_client.h>
#include <sycamoremoor/net/http_exchange.h>
#include <sycamoremoor/net/http_server.h>
#include <sycamoremoor/net/room_watcher.h>
#include <sycamoremoor/wire/message_codec.h>

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Sycamoremoor
{

using std::chrono::milliseconds;

namespace
{

CapacityReport reportOf(std::int64_t freeCores)
{
    CapacityReport report;
    report.incarnation = Incarnation(1);
    report.accepting = true;
    report.capacity = report.free = {MilliCores(freeCores), Megabytes(1), Accelerators(0)};
    return report;
}

GuardSubset allGuards()
{
    return {EntryName("S"), ZoneName("z"), GuardSubset::DefaultSize};
}

RoomWatcherHooks hooks(bool isUsing = false)
{
    return {[] { return Duration(milliseconds(40)); },
            [isUsing](const AgentName & /*agent*/) { return isUsing; },
            [] {
                return false;
            }};
}

} // namespace

TEST(RoomWatcherTest, OfReportsThatAreReadTogetherOnlyTheNewestIsHandedOn)
{
    EventLoop loop;
    std::vector<HttpExchangePointer> streams;
    HttpServer guard(loop, {"127.0.0.1", 0}, {}, [&streams](const HttpExchangePointer &exchange) { streams.push_back(exchange); });
    HttpClient client(loop);
    RoomWatcher rooms(loop, client, EntryName("S"), allGuards(), hooks());
    std::vector<std::int64_t> freeCores;
    rooms.signalInput().connect([&freeCores](const SchedulerInput &input) {
        if (const auto *reported = std::get_if<CapacityReported>(&input)) {
            freeCores.push_back(reported->report.free.cores.value());
        }
    });
    rooms.setGuards({{AgentName("A"), AgentRecord{AgentName("A"), guard.endpoint(), ZoneName("z")}}});
    ASSERT_TRUE(runUntil(loop, [&streams] { return streams.size() == 1; }));
    EXPECT_EQ(streams.front()->request().parameters.at("interval_us"), "40000");
    std::string parts;
    for (const auto cores : {1, 2, 3}) {
        parts += encode(reportOf(cores)) + "\n";
    }
    streams.front()->stream(parts);
    ASSERT_TRUE(runUntil(loop, [&freeCores] { return !freeCores.empty(); }));
    streams.front()->stream(encode(reportOf(4)) + "\n");
    ASSERT_TRUE(runUntil(loop, [&freeCores] { return freeCores.size() >= 2; }));
    EXPECT_EQ(freeCores, (std::vector<std::int64_t>{3, 4}));
}

TEST(RoomWatcherTest, OnlyASubsetIsWatchedAndTheEndpointsOfAllAreKnown)
{
    constexpr std::size_t Size = 3;
    EventLoop loop;
    std::vector<HttpExchangePointer> streams;
    HttpServer guard(loop, {"127.0.0.1", 0}, {}, [&streams](const HttpExchangePointer &exchange) {
        streams.push_back(exchange);
        exchange->stream(encode(reportOf(1)) + "\n");
    });
    HttpClient client(loop);
    RoomWatcher rooms(loop, client, EntryName("S"), GuardSubset(EntryName("S"), ZoneName("z"), Size), hooks());
    std::set<AgentName> reported;
    rooms.signalInput().connect([&reported](const SchedulerInput &input) {
        if (const auto *report = std::get_if<CapacityReported>(&input)) {
            reported.insert(report->agent);
        }
    });
    GuardSubset::Guards guards;
    for (int index = 0; index < 10; ++index) {
        const AgentName agent("W" + std::to_string(index));
        guards[agent] = {agent, guard.endpoint(), ZoneName("z")};
    }
    rooms.setGuards(guards);
    ASSERT_TRUE(runUntil(loop, [&reported] { return reported.size() == Size; }));
    runFor(loop, milliseconds(700));
    EXPECT_EQ(reported.size(), Size);
    for (const auto &[agent, record] : guards) {
        EXPECT_EQ(rooms.endpoint(agent), record.endpoint) << agent.value();
    }
}

TEST(RoomWatcherTest, MoreGuardsAreWatchedWhileTheSchedulerMissesWorkers)
{
    constexpr std::size_t Size = 3;
    constexpr std::size_t Guards = 10;
    EventLoop loop;
    HttpServer guard(loop, {"127.0.0.1", 0}, {}, [](const HttpExchangePointer &exchange) { exchange->stream(encode(reportOf(1)) + "\n"); });
    HttpClient client(loop);
    bool missesWorkers = false;
    auto asked = hooks();
    asked.missesWorkers = [&missesWorkers] {
        return missesWorkers;
    };
    RoomWatcher rooms(loop, client, EntryName("S"), GuardSubset(EntryName("S"), ZoneName("z"), Size), asked);
    std::set<AgentName> reported;
    std::vector<bool> choices;
    rooms.signalInput().connect([&](const SchedulerInput &input) {
        if (const auto *report = std::get_if<CapacityReported>(&input)) {
            reported.insert(report->agent);
        } else if (const auto *chosen = std::get_if<WorkersChosen>(&input)) {
            choices.push_back(chosen->isAll);
        }
    });
    GuardSubset::Guards guards;
    for (std::size_t index = 0; index < Guards; ++index) {
        const AgentName agent("W" + std::to_string(index));
        guards[agent] = {agent, guard.endpoint(), ZoneName("z")};
    }
    rooms.setGuards(guards);
    ASSERT_TRUE(runUntil(loop, [&reported] { return reported.size() == Size; }));
    EXPECT_EQ(choices, std::vector<bool>{false});
    missesWorkers = true;
    ASSERT_TRUE(runUntil(loop, [&choices] { return choices.back(); }));
    missesWorkers = false;
    ASSERT_TRUE(runUntil(loop, [&reported] { return reported.size() == Guards; }));
}

// Guards against the use of a watch that an input of its own has replaced.
TEST(RoomWatcherTest, AGuardMayMoveWhileItsStreamIsFoundToHaveEnded)
{
    EventLoop loop;
    std::vector<HttpExchangePointer> streams;
    const auto tell = [&streams](const HttpExchangePointer &exchange) {
        streams.push_back(exchange);
        exchange->stream(encode(reportOf(1)) + "\n");
    };
    HttpServer before(loop, {"127.0.0.1", 0}, {}, tell);
    HttpServer after(loop, {"127.0.0.1", 0}, {}, tell);
    HttpClient client(loop);
    RoomWatcher rooms(loop, client, EntryName("S"), allGuards(), hooks());
    const AgentName agent("A");
    std::size_t reports = 0;
    std::size_t losses = 0;
    rooms.signalInput().connect([&](const SchedulerInput &input) {
        if (std::holds_alternative<CapacityReported>(input)) {
            ++reports;
        } else if (std::holds_alternative<WorkerUnreachable>(input)) {
            ++losses;
            rooms.setGuards({{agent, AgentRecord{agent, after.endpoint(), ZoneName("z")}}});
        }
    });
    rooms.setGuards({{agent, AgentRecord{agent, before.endpoint(), ZoneName("z")}}});
    ASSERT_TRUE(runUntil(loop, [&reports] { return reports == 1; }));
    streams.front()->endStream();
    ASSERT_TRUE(runUntil(loop, [&reports] { return reports == 2; }));
    EXPECT_EQ(losses, 1U);
    EXPECT_EQ(rooms.endpoint(agent), after.endpoint());
    EXPECT_EQ(after.openExchanges(), 1U);
}

// Guards against a loop over the watches that an input of its own changes.
TEST(RoomWatcherTest, TheGuardsMayChangeWhileAnotherIsLeft)
{
    EventLoop loop;
    HttpServer guard(loop, {"127.0.0.1", 0}, {}, [](const HttpExchangePointer &exchange) { exchange->stream(encode(reportOf(1)) + "\n"); });
    HttpClient client(loop);
    RoomWatcher rooms(loop, client, EntryName("S"), GuardSubset(EntryName("S"), ZoneName("z"), 1), hooks());
    const auto recordOf = [&guard](const AgentName &agent) {
        return AgentRecord{agent, guard.endpoint(), ZoneName("z")};
    };
    GuardSubset::Guards others;
    for (int index = 0; index < 50; ++index) {
        const AgentName agent("W" + std::to_string(index));
        others[agent] = recordOf(agent);
    }
    const AgentName first("A");
    std::set<AgentName> reported;
    std::vector<AgentName> left;
    rooms.signalInput().connect([&](const SchedulerInput &input) {
        if (const auto *report = std::get_if<CapacityReported>(&input)) {
            reported.insert(report->agent);
        } else if (const auto *unfollowed = std::get_if<WorkerUnfollowed>(&input)) {
            left.push_back(unfollowed->agent);
            if (left.size() == 1) {
                rooms.setGuards(others);
            }
        }
    });
    rooms.setGuards({{first, recordOf(first)}});
    ASSERT_TRUE(runUntil(loop, [&reported] { return reported.size() == 1; }));
    rooms.setGuards(others);
    EXPECT_EQ(left, std::vector<AgentName>{first});
    EXPECT_TRUE(runUntil(loop, [&reported] { return reported.size() == 2; }));
}

TEST(RoomWatcherTest, AnotherGuardIsFollowedInsteadOfASilentOne)
{
    constexpr std::size_t Size = 2;
    EventLoop loop;
    HttpServer guard(loop, {"127.0.0.1", 0}, {}, [](const HttpExchangePointer &exchange) { exchange->stream(encode(reportOf(1)) + "\n"); });
    HttpServer silent(loop, {"127.0.0.1", 0}, {}, [](const HttpExchangePointer & /*exchange*/) {});
    HttpClient client(loop);
    const GuardSubset subset(EntryName("S"), ZoneName("z"), Size);
    RoomWatcher rooms(loop, client, EntryName("S"), subset, hooks());
    std::set<AgentName> reported;
    rooms.signalInput().connect([&reported](const SchedulerInput &input) {
        if (const auto *report = std::get_if<CapacityReported>(&input)) {
            reported.insert(report->agent);
        }
    });
    GuardSubset::Guards guards;
    for (int index = 0; index < 6; ++index) {
        const AgentName agent("W" + std::to_string(index));
        guards[agent] = {agent, guard.endpoint(), ZoneName("z")};
    }
    const auto chosen = subset.choose(guards, {});
    for (const auto &agent : chosen) {
        guards[agent].endpoint = silent.endpoint();
    }
    rooms.setGuards(guards);
    EXPECT_TRUE(runUntil(loop, [&reported] { return reported.size() == Size; }));
    for (const auto &agent : chosen) {
        EXPECT_FALSE(reported.contains(agent));
    }
}

/** Guards against a scheduler that follows mostly workers of its own zone and has too few left when that is evacuated. */
TEST(RoomWatcherTest, OtherGuardsAreFollowedInsteadOfThoseOfAnEvacuatedZone)
{
    constexpr std::size_t Size = 3;
    EventLoop loop;
    HttpServer guard(loop, {"127.0.0.1", 0}, {}, [](const HttpExchangePointer &exchange) { exchange->stream(encode(reportOf(1)) + "\n"); });
    HttpClient client(loop);
    bool isEvacuated = false;
    auto asked = hooks();
    asked.isEvacuated = [&isEvacuated](const ZoneName &zone) {
        return isEvacuated && zone == ZoneName("z");
    };
    RoomWatcher rooms(loop, client, EntryName("S"), GuardSubset(EntryName("S"), ZoneName("z"), Size), asked);
    std::map<ZoneName, std::set<AgentName>> reported;
    rooms.signalInput().connect([&reported](const SchedulerInput &input) {
        if (const auto *report = std::get_if<CapacityReported>(&input)) {
            reported[report->zone].insert(report->agent);
        }
    });
    GuardSubset::Guards guards;
    for (int index = 0; index < 12; ++index) {
        const AgentName agent("W" + std::to_string(index));
        guards[agent] = {agent, guard.endpoint(), ZoneName(index < 6 ? "z" : "y")};
    }
    rooms.setGuards(guards);
    ASSERT_TRUE(runUntil(loop, [&reported] { return reported[ZoneName("z")].size() + reported[ZoneName("y")].size() == Size; }));
    EXPECT_LT(reported[ZoneName("y")].size(), Size);
    isEvacuated = true;
    EXPECT_TRUE(runUntil(loop, [&reported] { return reported[ZoneName("y")].size() == Size; }));
}

TEST(RoomWatcherTest, NoticesOfCrashesAreHandedOnAlthoughNewerReportsWereReadWithThem)
{
    EventLoop loop;
    std::vector<HttpExchangePointer> streams;
    HttpServer guard(loop, {"127.0.0.1", 0}, {}, [&streams](const HttpExchangePointer &exchange) { streams.push_back(exchange); });
    HttpClient client(loop);
    RoomWatcher rooms(loop, client, EntryName("S"), allGuards(), hooks());
    std::vector<std::uint64_t> crashes;
    bool isReported = false;
    rooms.signalInput().connect([&](const SchedulerInput &input) {
        if (const auto *crash = std::get_if<CrashReported>(&input)) {
            EXPECT_EQ(crash->agent, AgentName("A"));
            crashes.push_back(crash->notice.number.value());
        }
        isReported = isReported || std::holds_alternative<CapacityReported>(input);
    });
    rooms.setGuards({{AgentName("A"), AgentRecord{AgentName("A"), guard.endpoint(), ZoneName("z")}}});
    ASSERT_TRUE(runUntil(loop, [&streams] { return streams.size() == 1; }));
    CrashNotice notice;
    notice.guard = Incarnation(1);
    std::string parts;
    for (std::uint64_t number = 1; number <= 2; ++number) {
        notice.number = CrashNumber(number);
        parts += encode(notice) + "\n" + encode(reportOf(1)) + "\n";
    }
    streams.front()->stream(parts);
    ASSERT_TRUE(runUntil(loop, [&isReported] { return isReported; }));
    EXPECT_EQ(crashes, (std::vector<std::uint64_t>{1, 2}));
}

} // namespace Sycamoremoor
