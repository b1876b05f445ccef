// What a guard does with the runs of an upstream that has announced its end.
#include "guard_driver.h"

#include <gtest/gtest.h>

#include <array>
#include <optional>

namespace Sycamoremoor
{

using std::chrono::milliseconds;

namespace
{

constexpr Duration DrainWithin = std::chrono::seconds(3);
constexpr Duration Age = milliseconds(100); ///< of the run when the announcement arrives

/** A run, and how long its upstream still serves. The job expires 2 s after its batch was sent. */
struct DepartureCase {
    const char *name;
    Duration drainWithin;
    Duration expected;                 ///< run time
    std::optional<Duration> remaining; ///< of the upstream, if it states it
    bool isStopped;
};

constexpr std::array DepartureCases{
    DepartureCase{"EndsInTime", DrainWithin, milliseconds(1'600), milliseconds(1'500), false},
    DepartureCase{"EndsLater", DrainWithin, milliseconds(1'601), milliseconds(1'500), true},
    DepartureCase{"EndsAtOnce", DrainWithin, milliseconds(200), Duration::zero(), true},
    DepartureCase{"TheEndIsNotStated", DrainWithin, milliseconds(1'601), std::nullopt, false},
    DepartureCase{"NoRunTimeIsExpected", DrainWithin, {}, milliseconds(50), false},
    DepartureCase{"ANewRunEndsJustInTime", DrainWithin, milliseconds(1'900), milliseconds(1'500), true},
    DepartureCase{"ANewRunWouldEndTooLate", DrainWithin, milliseconds(1'901), milliseconds(1'500), false},
    DepartureCase{"SwitchedOff", {}, milliseconds(1'601), milliseconds(1'500), false},
};

void announceLeaving(GuardDriver &guard, std::optional<Duration> remaining)
{
    guard.announce(
        GuardDriver::incarnation(), true, std::nullopt, [remaining](UpstreamAnnounced &announced) { announced.leavesAfter = remaining; });
}

} // namespace

class GuardDepartureTest : public testing::TestWithParam<DepartureCase>
{
};

/**
 * Guards against a run that is lost with its upstream although a new one could still end in time, and against two runs of a task: the run is
 * reported only when its upstream has listed its end.
 */
TEST_P(GuardDepartureTest, StopsRunsThatOutlastTheUpstreamAndReportsTheirEnd)
{
    GuardDriver guard({}, GetParam().drainWithin);
    guard.order(1, 0, 1'000, {}, std::chrono::seconds(10), GuardDriver::GuardIncarnation, QueueName("queue"), GetParam().expected);
    guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::Started});
    guard.advance(Age);
    announceLeaving(guard, GetParam().remaining);
    ASSERT_EQ(guard.all<StopRun>().size(), GetParam().isStopped ? 1U : 0U);
    EXPECT_TRUE(guard.all<ReportRun>().empty());
    guard.feed(Tick{});
    EXPECT_TRUE(guard.all<StopRun>().empty()) << "it is stopped once";
    guard.answerRenewal({GuardDriver::run(0)}, {});
    EXPECT_TRUE(guard.all<ReportRun>().empty()) << "it still runs";
    if (GetParam().isStopped) {
        guard.answerRenewal({}, {{1, GuardDriver::run(0), RunOutcome::Stopped}});
        ASSERT_EQ(guard.all<ReportRun>().size(), 1U);
        EXPECT_EQ(guard.all<ReportRun>().front().report.outcome, RunOutcome::Stopped);
        EXPECT_EQ(guard.all<ReportRun>().front().report.error, ErrorKind::Draining);
    }
}

INSTANTIATE_TEST_SUITE_P(Runs, GuardDepartureTest, testing::ValuesIn(DepartureCases), [](const auto &test) { return test.param.name; });

/** Guards against tasks that are started on an upstream after it has said that it leaves. */
TEST(GuardDepartureRulesTest, StartsNothingOnALeavingUpstream)
{
    GuardDriver guard({}, DrainWithin);
    guard.order(1, 0, GuardDriver::RunnerCores);
    guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::Started});
    guard.order(2, 1, 1'000);
    announceLeaving(guard, milliseconds(1'500));
    ASSERT_EQ(guard.all<ReportRun>().size(), 1U) << "the waiting run";
    EXPECT_EQ(guard.all<ReportRun>().front().report.error, ErrorKind::Draining);
    guard.answerRenewal({}, {{1, GuardDriver::run(0), RunOutcome::Done}});
    guard.order(3, 2, 1'000);
    EXPECT_TRUE(guard.all<StartRun>().empty());
    ASSERT_EQ(guard.all<ReportRun>().size(), 1U);
    EXPECT_EQ(guard.all<ReportRun>().front().report.error, ErrorKind::Draining);
}

/** Guards against an upstream that has announced a later end, or none any more, and whose runs are stopped all the same. */
TEST(GuardDepartureRulesTest, FollowsTheNewestAnnouncement)
{
    GuardDriver guard({}, DrainWithin);
    announceLeaving(guard, milliseconds(100));
    guard.announce(GuardDriver::incarnation());
    guard.order(1, 0, 1'000, {}, std::chrono::seconds(10), GuardDriver::GuardIncarnation, QueueName("queue"), milliseconds(500));
    ASSERT_EQ(guard.all<StartRun>().size(), 1U);
    guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::Started});
    announceLeaving(guard, std::nullopt);
    EXPECT_TRUE(guard.all<StopRun>().empty());
    announceLeaving(guard, milliseconds(600));
    EXPECT_TRUE(guard.all<StopRun>().empty());
    announceLeaving(guard, milliseconds(400));
    EXPECT_EQ(guard.all<StopRun>().size(), 1U);
}

} // namespace Sycamoremoor
