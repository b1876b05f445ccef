// What a guard does while its zone is evacuated, and when the evacuation ends.
#include "evacuation_func.h"
#include "guard_driver.h"

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <vector>

namespace Sycamoremoor
{

using std::chrono::milliseconds;

namespace
{

constexpr Duration Within = std::chrono::seconds(5);
constexpr std::int64_t HalfWorker = GuardDriver::RunnerCores / 2;

/** Something that a guard learns, or that passes, after its start, and whether it takes runs afterwards. */
struct GateCase {
    const char *name;
    void (*happen)(GuardDriver &guard);
    bool isOpen;
    ErrorKind refusal = ErrorKind::None;
};

constexpr std::array GateCases{
    GateCase{"NothingWasReadYet", [](GuardDriver &guard) { guard.feed(Tick{}); }, false, ErrorKind::UpstreamLost},
    GateCase{"TheStoreDoesNotAnswer",
             [](GuardDriver &guard) {
                 guard.feed(Tick{});
                 guard.advance(milliseconds(1'000));
                 guard.feed(Tick{});
             },
             true},
    GateCase{"NoZoneIsEvacuated", [](GuardDriver &guard) { guard.feed(evacuations({}, 3)); }, true},
    GateCase{"AnotherZoneIsEvacuated",
             [](GuardDriver &guard) {
                 guard.feed(evacuations({"y", "zz"}, 3));
             },
             true},
    GateCase{"ItsZoneIsEvacuated", [](GuardDriver &guard) { guard.feed(evacuations({"z"}, 3)); }, false, ErrorKind::Draining},
    GateCase{"ItStaysSoWhileTheStoreIsAway",
             [](GuardDriver &guard) {
                 guard.feed(evacuations({"y", "z"}, 3));
                 guard.advance(std::chrono::hours(1));
                 guard.answerRenewal({}, {});
             },
             false,
             ErrorKind::Draining},
    GateCase{"ItIsEvacuatedAfterTheStoreWasAway",
             [](GuardDriver &guard) {
                 guard.advance(milliseconds(1'500));
                 guard.feed(evacuations({"z"}, 3));
             },
             false,
             ErrorKind::Draining},
    GateCase{"TheEvacuationEnds",
             [](GuardDriver &guard) {
                 guard.feed(evacuations({"z"}, 3));
                 guard.feed(evacuations({}, 4));
             },
             true},
    GateCase{"AnotherEvacuationEnds",
             [](GuardDriver &guard) {
                 guard.feed(evacuations({"y", "z"}, 3));
                 guard.feed(evacuations({"z"}, 4));
             },
             false,
             ErrorKind::Draining},
    GateCase{"AnOlderVersionIsReadLate",
             [](GuardDriver &guard) {
                 guard.feed(evacuations({"z"}, 3));
                 guard.feed(evacuations({}, 2));
             },
             false,
             ErrorKind::Draining},
};

/** Lines that say that an evacuation begins or ends, as zone and store version. */
std::vector<std::string> evacuationLines(const GuardDriver &guard)
{
    std::vector<std::string> lines;
    for (const auto &line : guard.all<LogLine>()) {
        if (line.component == "evacuation") {
            lines.push_back(line.fields.at(0).value + " " + line.fields.at(1).value);
        }
    }
    return lines;
}

std::uint64_t evacuatedRuns(const GuardDriver &guard)
{
    std::uint64_t sum = 0;
    for (const auto &count : guard.all<Count>()) {
        sum += count.metric == CounterMetric::EvacuatedRuns ? count.by : 0;
    }
    return sum;
}

/** A time after the end of an evacuation, and the share of the worker that may be used then. */
struct ColdCase {
    const char *name;
    Duration within;      ///< zero: evacuations are switched off
    Duration coldFor;     ///< as announced during the evacuation
    Duration after;       ///< the end of the evacuation
    std::int64_t offered; ///< thousandths of cores
};

constexpr std::array ColdCases{
    ColdCase{"NotCold", Within, {}, {}, GuardDriver::RunnerCores},
    ColdCase{"ColdAtTheEnd", Within, milliseconds(4'000), {}, GuardDriver::RunnerCores / 4},
    ColdCase{"ColdForHalfOfTheTime", Within, milliseconds(4'000), milliseconds(2'000), GuardDriver::RunnerCores * 10 / 16},
    ColdCase{"NearlyWarm", Within, milliseconds(4'000), milliseconds(3'999), GuardDriver::RunnerCores * 15 / 16},
    ColdCase{"Warm", Within, milliseconds(4'000), milliseconds(4'000), GuardDriver::RunnerCores},
    ColdCase{"SwitchedOff", {}, milliseconds(4'000), {}, GuardDriver::RunnerCores},
};

/** The upstream announces that it is cold. */
void announceCold(GuardDriver &guard, Duration coldFor)
{
    guard.announce(
        GuardDriver::incarnation(), false, std::nullopt, [coldFor](UpstreamAnnounced &announced) { announced.coldFor = coldFor; });
}

} // namespace

class GuardGateTest : public testing::TestWithParam<GateCase>
{
};

/** Guards against runs that are started in an evacuated zone, also by a guard that has just restarted, and against a store that stops guards. */
TEST_P(GuardGateTest, StartsRunsOnlyWhereTheZoneIsNotEvacuated)
{
    GuardDriver guard(Within);
    GetParam().happen(guard);
    guard.order(1, 0, HalfWorker);
    EXPECT_EQ(guard.all<StartRun>().size(), GetParam().isOpen ? 1U : 0U);
    const auto reports = guard.all<ReportRun>();
    ASSERT_EQ(reports.size(), GetParam().isOpen ? 0U : 1U);
    if (!reports.empty()) {
        EXPECT_EQ(reports.front().report.outcome, RunOutcome::NotStarted);
        EXPECT_EQ(reports.front().report.error, GetParam().refusal);
    }
    EXPECT_EQ(evacuatedRuns(guard), GetParam().refusal == ErrorKind::Draining ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(Gates, GuardGateTest, testing::ValuesIn(GateCases), [](const auto &test) { return test.param.name; });

/** Guards against waiting runs that start in the evacuated zone, and against an evacuation that stops runs. */
TEST(GuardEvacuationTest, ReportsWaitingRunsAtOnceAndLetsStartedOnesEnd)
{
    GuardDriver guard(Within);
    guard.feed(evacuations({}, 2));
    guard.order(1, 0, GuardDriver::RunnerCores, {}, std::chrono::seconds(2));
    guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::Started});
    guard.order(2, 1, HalfWorker);
    EXPECT_TRUE(guard.all<ReportRun>().empty()) << "it waits for capacity";

    guard.feed(evacuations({"z"}, 3));
    ASSERT_EQ(guard.all<CapacityChanged>().size(), 1U);
    EXPECT_FALSE(guard.all<CapacityChanged>().front().report.accepting);
    ASSERT_EQ(guard.all<ReportRun>().size(), 1U);
    EXPECT_EQ(guard.all<ReportRun>().front().connection, ConnectionId(2));
    EXPECT_EQ(guard.all<ReportRun>().front().report.outcome, RunOutcome::NotStarted);
    EXPECT_EQ(guard.all<ReportRun>().front().report.error, ErrorKind::Draining);
    EXPECT_EQ(evacuatedRuns(guard), 1U);

    for (int renewal = 0; renewal < 5; ++renewal) {
        guard.advance(milliseconds(200));
        guard.renew(1);
        guard.answerRenewal({GuardDriver::run(0)}, {});
        EXPECT_TRUE(guard.all<StopRun>().empty());
        EXPECT_FALSE(guard.all<RenewLease>().empty()) << "the lease of the run is renewed";
    }
    guard.answerRenewal({}, {{1, GuardDriver::run(0), RunOutcome::Done}});
    ASSERT_EQ(guard.all<ReportRun>().size(), 1U);
    EXPECT_EQ(guard.all<ReportRun>().front().report.outcome, RunOutcome::Done);
    EXPECT_EQ(evacuatedRuns(guard), 0U);
}

/** Guards against a process that reports an evacuation at each read, or never: operators see who knows of it. */
TEST(GuardEvacuationTest, WritesOneLineAtTheBeginningAndOneAtTheEnd)
{
    GuardDriver guard(Within);
    guard.feed(evacuations({"z"}, 3));
    EXPECT_EQ(evacuationLines(guard), std::vector<std::string>{"z 3"});
    auto more = evacuations({"z", "y"}, 5);
    more.zones[ZoneName("z")] = PlatformVersion(3);
    guard.feed(more);
    EXPECT_EQ(evacuationLines(guard), std::vector<std::string>{"y 5"});
    guard.feed(more);
    EXPECT_EQ(evacuationLines(guard), std::vector<std::string>{});
    guard.feed(evacuations({"y"}, 6));
    EXPECT_EQ(evacuationLines(guard), std::vector<std::string>{"z 6"});
}

class GuardColdTest : public testing::TestWithParam<ColdCase>
{
};

/** Guards against the load that meets an upstream which ran nothing during an evacuation: at full load all of its runs would be late. */
TEST_P(GuardColdTest, OffersMoreOfAColdUpstreamAsItWarmsUp)
{
    GuardDriver guard(GetParam().within);
    if (GetParam().within > Duration::zero()) {
        guard.feed(evacuations({"z"}, 3));
    }
    announceCold(guard, GetParam().coldFor);
    if (GetParam().within > Duration::zero()) {
        guard.feed(evacuations({}, 4));
    }
    guard.advance(GetParam().after);
    guard.order(1, 0, 1'000);
    ASSERT_EQ(guard.all<CapacityChanged>().size(), 1U);
    const auto report = guard.all<CapacityChanged>().front().report;
    EXPECT_TRUE(report.accepting);
    EXPECT_EQ(report.capacity.cores, MilliCores(GuardDriver::RunnerCores)) << "the worker is no smaller for good";
    EXPECT_EQ(report.free.cores, MilliCores(GetParam().offered - 1'000));
}

INSTANTIATE_TEST_SUITE_P(Times, GuardColdTest, testing::ValuesIn(ColdCases), [](const auto &test) { return test.param.name; });

/** Guards against capacity that is held back for ever: without an input, the guard wakes up and offers more until it offers all. */
TEST(GuardEvacuationTest, WakesUpUntilAllOfTheCapacityIsOffered)
{
    GuardDriver guard(Within);
    guard.feed(evacuations({"z"}, 3));
    announceCold(guard, milliseconds(1'000));
    guard.feed(evacuations({}, 4));
    auto offered = guard.all<CapacityChanged>().at(0).report.free.cores;
    for (int wake = 0; offered < MilliCores(GuardDriver::RunnerCores); ++wake) {
        ASSERT_LT(wake, 20);
        ASSERT_EQ(guard.all<SetTimer>().size(), 1U);
        guard.advanceTo(guard.all<SetTimer>().front().at);
        guard.answerRenewal({}, {});
        if (const auto reports = guard.all<CapacityChanged>(); !reports.empty()) {
            EXPECT_GT(reports.front().report.free.cores, offered);
            offered = reports.front().report.free.cores;
        }
    }
    guard.announce(GuardDriver::incarnation());
    announceCold(guard, milliseconds(1'000));
    guard.order(1, 0, GuardDriver::RunnerCores);
    EXPECT_EQ(guard.all<StartRun>().size(), 1U) << "it was warm since: no evacuation has made it cold again";
}

} // namespace Sycamoremoor
