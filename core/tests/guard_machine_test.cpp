// Single decisions of a guard: lost answers, unreachable and leaving upstreams, abandoned batches, a second run of a task.
#include "guard_driver.h"

#include <gtest/gtest.h>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace Sycamoremoor
{

using std::chrono::milliseconds;

namespace
{

constexpr auto RunnerCores = GuardDriver::RunnerCores;

} // namespace

TEST(GuardMachineTest, StopRetriesAreRateLimitedWhileTheUpstreamRefusesConnections)
{
    GuardDriver driver;
    driver.order(1, 0, 1'000);
    driver.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::NoAnswer});
    driver.answerRenewal({}, {});
    auto stops = driver.all<StopRun>().size();
    for (int millisecond = 0; millisecond < 300; ++millisecond) {
        driver.advance(milliseconds(1));
        driver.feed(RunStopAnswered{GuardDriver::run(0), false});
        stops += driver.all<StopRun>().size();
    }
    EXPECT_GE(stops, 5U);
    EXPECT_LE(stops, 11U) << "at most one in 30 ms";
}

TEST(GuardMachineTest, CapacityOfAnUnansweredStartIsReservedUntilAListAfterItsStopOmitsIt)
{
    GuardDriver driver;
    driver.order(1, 0, RunnerCores);
    ASSERT_EQ(driver.all<StartRun>().size(), 1U);
    driver.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::NoAnswer});
    driver.answerRenewal({}, {});
    ASSERT_EQ(driver.all<StopRun>().size(), 1U);
    EXPECT_TRUE(driver.all<ReportRun>().empty()) << "the upstream may still start the run";
    driver.order(2, 1, RunnerCores);
    EXPECT_TRUE(driver.all<StartRun>().empty());
    driver.feed(RunStopAnswered{GuardDriver::run(0), true});
    driver.answerRenewal({}, {});
    ASSERT_EQ(driver.all<ReportRun>().size(), 1U);
    EXPECT_EQ(driver.all<ReportRun>()[0].report.outcome, RunOutcome::NotStarted);
    EXPECT_EQ(driver.all<StartRun>().size(), 1U) << "the capacity is free for the other run";
}

TEST(GuardMachineTest, ASecondCopyOfATaskIsNotStartedBesideTheFirst)
{
    GuardDriver driver;
    driver.order(1, 0, 1'000);
    driver.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::Started});
    driver.order(2, 0, 1'000);
    EXPECT_TRUE(driver.all<StartRun>().empty());
    ASSERT_EQ(driver.all<ReportRun>().size(), 1U);
    EXPECT_EQ(driver.all<ReportRun>()[0].connection, ConnectionId(2));
    EXPECT_EQ(driver.all<ReportRun>()[0].report.outcome, RunOutcome::NotStarted);
}

TEST(GuardMachineTest, ALeavingUpstreamGetsNothingNew)
{
    GuardDriver driver;
    UpstreamAnnounced announced;
    announced.incarnation = GuardDriver::incarnation();
    announced.service = ServiceName("service");
    announced.capacity = {MilliCores(RunnerCores), Megabytes(1'000), Accelerators(0)};
    announced.leaving = true;
    announced.sequence = 2;
    driver.feed(announced);
    ASSERT_EQ(driver.all<CapacityChanged>().size(), 1U);
    EXPECT_FALSE(driver.all<CapacityChanged>()[0].report.accepting);
    driver.order(1, 0, 1'000);
    EXPECT_TRUE(driver.all<StartRun>().empty());
    EXPECT_EQ(driver.all<ReportRun>().size(), 1U);
}

TEST(GuardMachineTest, AnAnnouncementOfAnotherWriterDoesNotReplaceAnUpstreamThatAnswers)
{
    GuardDriver guard;
    guard.order(1, 0, 1'000);
    guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::Started});
    for (const auto &other :
         {UpstreamIncarnation{"other", 9}, UpstreamIncarnation{"other", 0}, UpstreamIncarnation{"runner", std::int64_t{1} << 43U}}) {
        guard.announce(other);
        EXPECT_TRUE(guard.all<ReportRun>().empty()) << other.name << ' ' << other.startTimeMs;
    }
    guard.order(2, 1, 1'000);
    ASSERT_EQ(guard.all<StartRun>().size(), 1U);
    EXPECT_EQ(guard.all<StartRun>()[0].incarnation, GuardDriver::incarnation());
    guard.leaveRenewalUnanswered();
    guard.announce({"other", 9});
    EXPECT_TRUE(guard.all<ReportRun>().empty()) << "the known upstream may still be running them";
    guard.failRenewal(RenewalFailure::OtherIncarnation);
    EXPECT_EQ(guard.all<ReportRun>().size(), 2U);
    EXPECT_EQ(guard.all<RenewLease>().back().incarnation.name, "other");
}

TEST(GuardMachineTest, AnUpstreamThatNeverAnsweredIsReplacedByTheNextThatAnnouncesItself)
{
    GuardDriver guard;
    guard.leaveRenewalUnanswered();
    guard.announce({"odd", 9});
    guard.announce({"good", 10});
    ASSERT_EQ(guard.all<RenewLease>().size(), 2U);
    EXPECT_EQ(guard.all<RenewLease>()[0].incarnation.name, "good");
}

// Guards against runs of a job that go on, or start, although it was cancelled at a scheduler that has none of them.
TEST(GuardMachineTest, ACancelledJobIsStoppedAndRefused)
{
    GuardDriver guard;
    guard.order(1, 0, 6'000);
    guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::Started});
    guard.order(2, 1, 6'000);
    ASSERT_TRUE(guard.all<StartRun>().empty()) << "it waits for capacity";
    guard.feed(JobsCancelled{ConnectionId(9), {QueueJobId("other"), QueueJobId("job")}});
    ASSERT_EQ(guard.all<StopRun>().size(), 1U);
    EXPECT_EQ(guard.all<StopRun>().front().run, GuardDriver::run(0));
    ASSERT_EQ(guard.all<ReportRun>().size(), 1U);
    EXPECT_EQ(guard.all<ReportRun>().front().connection, ConnectionId(2));
    EXPECT_EQ(guard.all<ReportRun>().front().report.outcome, RunOutcome::NotStarted);
    EXPECT_EQ(guard.all<ReportRun>().front().report.error, ErrorKind::Cancelled);
    ASSERT_EQ(guard.all<CancellationTaken>().size(), 1U);
    EXPECT_EQ(guard.all<CancellationTaken>().front().connection, ConnectionId(9));
    EXPECT_EQ(guard.all<CancellationTaken>().front().jobs, (std::vector{QueueJobId("other"), QueueJobId("job")}));
    EXPECT_EQ(guard.all<CancellationTaken>().front().stopped, std::vector{QueueJobId("job")});
    guard.answerRenewal({}, {{1, GuardDriver::run(0), RunOutcome::Stopped}});
    ASSERT_EQ(guard.all<ReportRun>().size(), 1U);
    EXPECT_EQ(guard.all<ReportRun>().front().connection, ConnectionId(1));
    EXPECT_EQ(guard.all<ReportRun>().front().report.error, ErrorKind::Cancelled);
    for (const auto wait : {std::chrono::seconds(0), std::chrono::seconds(60)}) {
        guard.advance(wait);
        guard.order(3 + static_cast<std::uint64_t>(wait.count()), 2, 1'000);
        EXPECT_TRUE(guard.all<StartRun>().empty());
        ASSERT_EQ(guard.all<ReportRun>().size(), 1U);
        EXPECT_EQ(guard.all<ReportRun>().front().report.error, ErrorKind::Cancelled);
    }
    guard.feed(JobsCancelled{ConnectionId(10), {QueueJobId("job")}});
    ASSERT_EQ(guard.all<CancellationTaken>().size(), 1U);
    EXPECT_TRUE(guard.all<CancellationTaken>().front().stopped.empty()) << "it has no runs any more";
}

TEST(GuardMachineTest, AnAbandonedBatchStopsItsRuns)
{
    GuardDriver driver;
    driver.order(1, 0, 1'000);
    driver.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::Started});
    driver.feed(BatchAbandoned{ConnectionId(1)});
    EXPECT_EQ(driver.all<StopRun>().size(), 1U);
    driver.answerRenewal({}, {EndedRun{1, GuardDriver::run(0), RunOutcome::Stopped}});
    EXPECT_TRUE(driver.all<ReportRun>().empty()) << "the batch was abandoned";
}

TEST(GuardMachineTest, AListMadeBeforeAReportedEndStopsNothing)
{
    GuardDriver guard;
    guard.order(1, 0, 1'000);
    guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::Started});
    guard.answerRenewal({}, {{1, GuardDriver::run(0), RunOutcome::Done}});
    ASSERT_EQ(guard.all<ReportRun>().size(), 1U);
    guard.answerRenewal({GuardDriver::run(0)}, {}); // made before the run ended, received later on the other connection
    EXPECT_TRUE(guard.all<StopRun>().empty());
    guard.order(2, 1, 1'000);
    EXPECT_EQ(guard.all<StartRun>().size(), 1U) << "the guard must keep accepting runs";
}

TEST(GuardMachineTest, RunsOfAnUnresponsiveUpstreamLapseWhenItsLeasesEnd)
{
    GuardDriver guard;
    guard.order(1, 0, 1'000);
    guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::Started});
    constexpr auto LeaseTerm = milliseconds(900);
    constexpr auto Step = milliseconds(50);
    Duration elapsed{};
    std::vector<RunReport> reports;
    while (reports.empty() && elapsed < std::chrono::seconds(5)) {
        guard.advance(Step);
        elapsed += Step;
        guard.leaveRenewalUnanswered();
        for (const auto &report : guard.all<ReportRun>()) {
            reports.push_back(report.report);
        }
        guard.feed(Tick{});
        for (const auto &report : guard.all<ReportRun>()) {
            reports.push_back(report.report);
        }
    }
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports.front().outcome, RunOutcome::Lapsed);
    EXPECT_GE(elapsed, LeaseTerm) << "the runs may not have ended yet";
    EXPECT_LE(elapsed, LeaseTerm + milliseconds(500)) << "their jobs wait for the report";
}

TEST(GuardMachineTest, OrdersOfLapsedRunsAreFencedWhenTheUpstreamAnswersAgain)
{
    GuardDriver guard;
    guard.order(1, 0, 1'000);
    ASSERT_EQ(guard.all<StartRun>().size(), 1U);
    const auto token = guard.all<StartRun>().front().token;
    guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::NoAnswer});
    std::vector<RunReport> reports;
    for (int step = 0; step < 100 && reports.empty(); ++step) {
        guard.advance(milliseconds(50));
        guard.leaveRenewalUnanswered();
        for (const auto &report : guard.all<ReportRun>()) {
            reports.push_back(report.report);
        }
    }
    ASSERT_EQ(reports.size(), 1U);
    guard.advance(std::chrono::seconds(10));
    guard.feed(RenewalUnanswered{RenewalNumber(1)});
    ASSERT_FALSE(guard.all<RenewLease>().empty());
    EXPECT_GT(guard.all<RenewLease>().front().token, token) << "the unanswered start may still be executed";
    guard.answerRenewal({}, {});
    guard.order(2, 1, 1'000);
    ASSERT_EQ(guard.all<StartRun>().size(), 1U);
    EXPECT_GT(guard.all<StartRun>().front().token, token);
}

TEST(GuardMachineTest, AStartWhoseAnswerWasLostKeepsRunning)
{
    GuardDriver guard;
    guard.order(1, 0, 1'000);
    guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::NoAnswer});
    EXPECT_TRUE(guard.all<StopRun>().empty());
    ASSERT_EQ(guard.all<RenewLease>().size(), 1U) << "an immediate renewal";
    guard.answerRenewal({GuardDriver::run(0)}, {});
    EXPECT_TRUE(guard.all<StopRun>().empty());
    guard.advance(milliseconds(100));
    guard.answerRenewal({}, {{1, GuardDriver::run(0), RunOutcome::Done}});
    ASSERT_EQ(guard.all<ReportRun>().size(), 1U);
    EXPECT_EQ(guard.all<ReportRun>().front().report.outcome, RunOutcome::Done);
}

TEST(GuardMachineTest, ARecalledBatchIsStoppedAndItsEndReportedToTheRecall)
{
    GuardDriver guard;
    guard.order(1, 0, 1'000);
    guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::Started});
    guard.recall(9, 1);
    EXPECT_EQ(guard.all<StopRun>().size(), 1U);
    EXPECT_TRUE(guard.all<ReportRun>().empty()) << "the run has not ended yet";
    guard.answerRenewal({}, {EndedRun{1, GuardDriver::run(0), RunOutcome::Stopped}});
    ASSERT_EQ(guard.all<ReportRun>().size(), 1U);
    EXPECT_EQ(guard.all<ReportRun>().front().connection, ConnectionId(9));
    EXPECT_EQ(guard.all<ReportRun>().front().report.outcome, RunOutcome::Stopped);
    ASSERT_EQ(guard.all<EndBatch>().size(), 1U);
    EXPECT_EQ(guard.all<EndBatch>().front().connection, ConnectionId(9));
}

TEST(GuardMachineTest, ARecallRepeatsReportsThatWereSentOnTheLostConnection)
{
    GuardDriver guard;
    guard.order(1, 0, 1'000);
    guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::Started});
    guard.answerRenewal({}, {{1, GuardDriver::run(0), RunOutcome::Done}});
    guard.recall(9, 1);
    ASSERT_EQ(guard.all<ReportRun>().size(), 1U);
    EXPECT_EQ(guard.all<ReportRun>().front().connection, ConnectionId(9));
    EXPECT_EQ(guard.all<ReportRun>().front().report.outcome, RunOutcome::Done);
    EXPECT_EQ(guard.all<EndBatch>().size(), 1U);
}

TEST(GuardMachineTest, ABatchThatArrivesAfterItsRecallIsRefused)
{
    GuardDriver guard;
    guard.recall(9, 1);
    ASSERT_EQ(guard.all<ReportRun>().size(), 1U);
    EXPECT_EQ(guard.all<ReportRun>().front().report.outcome, RunOutcome::NotStarted);
    guard.order(1, 0, 1'000);
    EXPECT_TRUE(guard.all<StartRun>().empty());
    ASSERT_EQ(guard.all<ReportRun>().size(), 1U);
    EXPECT_EQ(guard.all<ReportRun>().front().report.error, ErrorKind::Tombstoned);
}

namespace
{

/** A recall after batch 5 has ended, and what it is told. */
struct LateRecallCase {
    const char *name;
    Duration after;      ///< from the end of batch 5, when batch 6 has ended, too
    std::uint64_t batch; ///< that is recalled
    RunOutcome outcome;
    ErrorKind error;
};

constexpr std::array LateRecalls{
    LateRecallCase{"EndIsRemembered", std::chrono::seconds(9), 5, RunOutcome::Done, ErrorKind::None},
    LateRecallCase{"EndIsForgotten", std::chrono::seconds(11), 5, RunOutcome::Lapsed, ErrorKind::AgentLost},
    LateRecallCase{"EndIsForgottenForLong", std::chrono::hours(1), 5, RunOutcome::Lapsed, ErrorKind::AgentLost},
    LateRecallCase{"EarlierBatchMayBeForgotten", std::chrono::seconds(11), 4, RunOutcome::Lapsed, ErrorKind::AgentLost},
    LateRecallCase{"LaterBatchNeverArrived", std::chrono::seconds(11), 7, RunOutcome::NotStarted, ErrorKind::Tombstoned},
    LateRecallCase{"EarlierBatchNeverArrived", std::chrono::seconds(9), 4, RunOutcome::NotStarted, ErrorKind::Tombstoned},
};

} // namespace

class GuardLateRecallTest : public testing::TestWithParam<LateRecallCase>
{
};

// Guards against a run that a guard has forgotten and that its scheduler takes for not started: it refused a job that had run.
TEST_P(GuardLateRecallTest, IsNotToldThatARunWasNotStartedUnlessThatIsCertain)
{
    GuardDriver guard;
    guard.order(5, 0, 1'000);
    guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::Started});
    guard.answerRenewal({}, {{1, GuardDriver::run(0), RunOutcome::Done}});
    guard.advance(GetParam().after);
    guard.order(6, 1, 1'000);
    guard.feed(RunStartAnswered{GuardDriver::run(1), StartAnswer::Started});
    guard.answerRenewal({}, {{2, GuardDriver::run(1), RunOutcome::Done}});
    for (const std::uint64_t connection : {90, 91}) {
        guard.recall(connection, GetParam().batch);
        ASSERT_EQ(guard.all<ReportRun>().size(), 1U);
        EXPECT_EQ(guard.all<ReportRun>().front().report.outcome, GetParam().outcome);
        EXPECT_EQ(guard.all<ReportRun>().front().report.error, GetParam().error);
        EXPECT_EQ(guard.all<EndBatch>().size(), 1U);
    }
}

INSTANTIATE_TEST_SUITE_P(Recalls, GuardLateRecallTest, testing::ValuesIn(LateRecalls), [](const auto &test) { return test.param.name; });

TEST(GuardMachineTest, ARecallFromAnEarlierIncarnationWaitsUntilItsRunsAreGone)
{
    GuardDriver guard;
    guard.answerRenewal({GuardDriver::run(0)}, {});
    ASSERT_EQ(guard.all<StopRun>().size(), 1U);
    guard.recall(9, 1, Incarnation(6));
    EXPECT_TRUE(guard.all<ReportRun>().empty()) << "the run of the earlier incarnation may be the recalled one";
    guard.answerRenewal({}, {});
    ASSERT_EQ(guard.all<ReportRun>().size(), 1U);
    EXPECT_EQ(guard.all<ReportRun>().front().report.outcome, RunOutcome::Lapsed);
    EXPECT_EQ(guard.all<EndBatch>().size(), 1U);
}

TEST(GuardMachineTest, ABatchThatWasOnItsWayForTooLongIsRefused)
{
    GuardDriver guard;
    guard.order(1, 0, 1'000, milliseconds(251));
    EXPECT_TRUE(guard.all<StartRun>().empty());
    ASSERT_EQ(guard.all<ReportRun>().size(), 1U);
    EXPECT_EQ(guard.all<ReportRun>().front().report.error, ErrorKind::StaleMessage);
    guard.order(2, 0, 1'000, milliseconds(249));
    EXPECT_EQ(guard.all<StartRun>().size(), 1U);
}

TEST(GuardMachineTest, AGuardThatStoodStillStartsNothingThatWaitedOrWasSentMeanwhile)
{
    GuardDriver guard;
    guard.order(1, 0, GuardDriver::RunnerCores);
    guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::Started});
    guard.order(2, 1, GuardDriver::RunnerCores);
    ASSERT_TRUE(guard.all<StartRun>().empty()) << "it waits for capacity";
    guard.advance(milliseconds(1'300));
    guard.answerRenewal({}, {{1, GuardDriver::run(0), RunOutcome::Stopped}});
    EXPECT_TRUE(guard.all<StartRun>().empty());
    ASSERT_EQ(guard.all<ReportRun>().size(), 2U);
    EXPECT_EQ(guard.all<ReportRun>().back().report.outcome, RunOutcome::NotStarted);
    guard.order(3, 2, 1'000, milliseconds(1'300));
    EXPECT_TRUE(guard.all<StartRun>().empty()) << "the end of its connection may be unread";
}

TEST(GuardMachineTest, ARunIsStoppedWhenItsJobExpiresHoweverLateItStarted)
{
    GuardDriver guard;
    guard.order(1, 0, 1'000);
    guard.advance(GuardDriver::JobTime / 2);
    guard.renew(1);
    guard.advance(GuardDriver::JobTime / 2 - milliseconds(100));
    guard.renew(1);
    guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::Started});
    guard.advance(milliseconds(99));
    guard.feed(Tick{});
    EXPECT_TRUE(guard.all<StopRun>().empty());
    guard.advance(milliseconds(1));
    guard.feed(Tick{});
    EXPECT_EQ(guard.all<StopRun>().size(), 1U);
}

TEST(GuardMachineTest, ABatchForAnEarlierIncarnationIsRefused)
{
    GuardDriver guard;
    guard.order(1, 0, 1'000, {}, milliseconds(500), Incarnation(6));
    EXPECT_TRUE(guard.all<StartRun>().empty());
    ASSERT_EQ(guard.all<ReportRun>().size(), 1U);
    EXPECT_EQ(guard.all<ReportRun>().front().report.error, ErrorKind::WrongIncarnation);
}

TEST(GuardMachineTest, ARenewalDoesNotReviveALeaseThatHasEnded)
{
    GuardDriver guard;
    guard.order(1, 0, 1'000, {}, std::chrono::seconds(10));
    guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::Started});
    guard.advance(GuardDriver::BatchLease);
    guard.renew(1);
    EXPECT_EQ(guard.all<StopRun>().size(), 1U);
}

TEST(GuardMachineTest, OrdersOfTheEarlierBootOfAnUpstreamAreFenced)
{
    GuardDriver guard;
    guard.order(1, 0, 1'000);
    ASSERT_EQ(guard.all<StartRun>().size(), 1U);
    const auto token = guard.all<StartRun>().front().token;
    const UpstreamIncarnation laterBoot{"runner", GuardDriver::incarnation().startTimeMs + 1};
    guard.announce(laterBoot);
    guard.answerRenewal({}, {}, laterBoot);
    ASSERT_FALSE(guard.all<RenewLease>().empty());
    EXPECT_EQ(guard.all<RenewLease>().front().incarnation, laterBoot);
    EXPECT_GT(guard.all<RenewLease>().front().token, token);
}

TEST(GuardMachineTest, ARunIsStoppedWhenItsSchedulerNoLongerRenewsItsBatch)
{
    GuardDriver guard;
    guard.order(1, 0, 1'000, {}, std::chrono::seconds(10));
    guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::Started});
    guard.advance(milliseconds(700));
    guard.renew(1);
    guard.advance(GuardDriver::BatchLease - milliseconds(1));
    guard.feed(Tick{});
    EXPECT_TRUE(guard.all<StopRun>().empty());
    guard.advance(milliseconds(1));
    guard.feed(Tick{});
    EXPECT_EQ(guard.all<StopRun>().size(), 1U);
}

namespace
{

constexpr Duration StopTime = milliseconds(200);        ///< from the end of a batch's lease until its runs have certainly ended
constexpr Duration UpstreamStopTime = milliseconds(50); ///< in which an upstream ends runs whose lease has ended
constexpr double SlowestClock = 1.02;                   ///< of an upstream, relative to that of its guard

} // namespace

// Guards against a run that goes on when its scheduler and its guard are gone, while its caller has submitted the job elsewhere.
TEST(GuardLeaseTest, TheLeaseOfTheUpstreamEndsSoonAfterThatOfABatch)
{
    GuardDriver guard;
    guard.order(1, 0, 1'000, {}, std::chrono::seconds(10));
    const auto batchEndsAt = GuardDriver::BatchLease;
    guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::Started});
    Duration elapsed{};
    Duration latestEnd{};
    std::size_t renewals = 0;
    for (; elapsed < batchEndsAt - milliseconds(100); elapsed += milliseconds(100)) {
        for (const auto &renewal : guard.all<RenewLease>()) {
            ++renewals;
            ASSERT_NE(renewal.leaseUntil, UpstreamTime()) << "at " << elapsed.count() << " us";
            const auto left = milliseconds(renewal.leaseUntil.value()); // the clock of the upstream is zero in each list
            EXPECT_LE(left, std::chrono::seconds(1)) << "the upstream takes no longer ones";
            latestEnd = std::max(latestEnd, elapsed + std::chrono::duration_cast<Duration>(Duration(left) * SlowestClock));
        }
        guard.advance(milliseconds(100));
        guard.answerRenewal({GuardDriver::run(0)}, {});
    }
    EXPECT_GE(renewals, 8U);
    EXPECT_GE(latestEnd, batchEndsAt) << "the run may use it until then";
    EXPECT_LE(latestEnd + UpstreamStopTime, batchEndsAt + StopTime);
}

// Guards against a batch that has ended and takes the lease from the runs of others.
TEST(GuardLeaseTest, TheOtherRunsGoOnWhenOneIsStoppedAtTheEndOfItsBatch)
{
    GuardDriver guard;
    guard.order(1, 0, 1'000, {}, std::chrono::seconds(10));
    guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::Started});
    guard.order(2, 1, 1'000, {}, std::chrono::seconds(10));
    guard.feed(RunStartAnswered{GuardDriver::run(1), StartAnswer::Started});
    const std::vector<RunId> both{GuardDriver::run(0), GuardDriver::run(1)};
    for (int step = 0; step < 10; ++step) {
        guard.advance(milliseconds(100));
        guard.renew(2);
        guard.answerRenewal(both, {});
    }
    guard.advance(milliseconds(100));
    guard.feed(Tick{});
    ASSERT_EQ(guard.all<StopRun>().size(), 1U);
    EXPECT_EQ(guard.all<StopRun>().front().run, GuardDriver::run(0));
    guard.feed(RunStopAnswered{GuardDriver::run(0), true});
    ASSERT_EQ(guard.all<RenewLease>().size(), 1U) << "at once, since the lease ends soon";
    EXPECT_GE(milliseconds(guard.all<RenewLease>().front().leaseUntil.value()), milliseconds(100 + 800)) << "100 ms after the last list";
    guard.answerRenewal({GuardDriver::run(1)}, {{1, GuardDriver::run(0), RunOutcome::Stopped}});
    EXPECT_EQ(guard.all<ReportRun>().size(), 1U);
}

// Guards against renewals that shorter leases might need: two long polls of 200 ms are 10 renewals a second.
TEST(GuardLeaseTest, ALeaseThatFollowsItsBatchNeedsNoMoreRenewals)
{
    constexpr std::size_t Steps = 19; // of 100 ms; the job expires after 2 s
    GuardDriver guard;
    guard.order(1, 0, 1'000, {}, std::chrono::seconds(60));
    guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::Started});
    std::size_t renewals = 0;
    milliseconds shortest = std::chrono::seconds(1);
    const auto count = [&] {
        for (const auto &renewal : guard.all<RenewLease>()) {
            ++renewals;
            shortest = std::min(shortest, milliseconds(renewal.leaseUntil.value()));
        }
    };
    for (std::size_t step = 1; step <= Steps; ++step) {
        guard.advance(milliseconds(100));
        guard.feed(Tick{});
        count();
        if (step % 4 == 0) {
            guard.renew(1); // as its scheduler does
            count();
        }
        guard.answerRenewal({GuardDriver::run(0)}, {});
        count();
    }
    EXPECT_EQ(renewals, Steps);
    EXPECT_GE(shortest, milliseconds(3 * 200)) << "it survives two lost renewals";
}

// Guards against runs that lapse since their batch was renewed after the last long poll before its end.
TEST(GuardLeaseTest, ALeaseThatIsAboutToEndIsRenewedAtOnceWhenItsBatchIs)
{
    GuardDriver guard;
    guard.order(1, 0, 1'000, {}, std::chrono::seconds(10));
    guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::Started});
    for (int step = 0; step < 10; ++step) {
        guard.advance(milliseconds(100));
        guard.answerRenewal({GuardDriver::run(0)}, {});
    }
    guard.advance(milliseconds(50));
    guard.feed(Tick{});
    EXPECT_TRUE(guard.all<RenewLease>().empty()) << "it cannot be renewed for longer";
    guard.renew(1);
    ASSERT_EQ(guard.all<RenewLease>().size(), 1U);
    EXPECT_EQ(guard.all<RenewLease>().front().wait, Duration::zero());
    EXPECT_EQ(milliseconds(guard.all<RenewLease>().front().leaseUntil.value()), milliseconds(50 + 900)) << "50 ms after the last list";
    guard.renew(1);
    EXPECT_TRUE(guard.all<RenewLease>().empty());
}

// Guards against a run that starts although its scheduler has been gone for as long as its batch may last.
TEST(GuardLeaseTest, ABatchWhoseLeaseHasEndedIsRefused)
{
    GuardDriver guard;
    StartBatch batch;
    batch.scheduler = EntryName("S");
    batch.schedulerIncarnation = Incarnation(4);
    batch.batch = BatchNumber(1);
    batch.guard = GuardDriver::GuardIncarnation;
    batch.receiveBy = GuardDriver::guardTime(MonotonicTime::max());
    batch.expiresAt = batch.receiveBy;
    RunOrder order;
    order.run = GuardDriver::run(0);
    order.size = {MilliCores(1'000), Megabytes(1), Accelerators(0)};
    order.startWithin = milliseconds(80);
    order.runLimit = milliseconds(500);
    batch.orders.push_back(order);
    guard.feed(BatchReceived{ConnectionId(1), batch});
    EXPECT_TRUE(guard.all<StartRun>().empty());
    ASSERT_EQ(guard.all<ReportRun>().size(), 1U);
    EXPECT_EQ(guard.all<ReportRun>().front().report.outcome, RunOutcome::NotStarted);
    EXPECT_EQ(guard.all<ReportRun>().front().report.error, ErrorKind::StaleMessage);
    guard.order(2, 1, 1'000);
    EXPECT_EQ(guard.all<StartRun>().size(), 1U) << "other batches are served";
}

// Guards against a lease that is prolonged for a new run while another whose batch has ended cannot be stopped.
TEST(GuardLeaseTest, NothingIsStartedWhileARunOutlastsItsBatch)
{
    GuardDriver guard;
    guard.order(1, 0, 1'000, {}, std::chrono::seconds(10));
    guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::Started});
    for (int step = 0; step < 11; ++step) {
        guard.advance(milliseconds(100));
        guard.answerRenewal({GuardDriver::run(0)}, {});
    }
    ASSERT_EQ(guard.all<StopRun>().size(), 1U);
    guard.advance(milliseconds(130));
    guard.feed(RunStopAnswered{GuardDriver::run(0), false});
    guard.order(2, 1, 1'000);
    EXPECT_TRUE(guard.all<StartRun>().empty());
    for (const auto &renewal : guard.all<RenewLease>()) {
        EXPECT_EQ(renewal.leaseUntil, UpstreamTime());
    }
    guard.answerRenewal({}, {{1, GuardDriver::run(0), RunOutcome::Lapsed}});
    ASSERT_EQ(guard.all<StartRun>().size(), 1U);
    EXPECT_NE(guard.all<StartRun>().front().leaseUntil, UpstreamTime());
}

TEST(GuardMachineTest, AnUnansweredStartIsStoppedWhenNoListConfirmsIt)
{
    GuardDriver guard;
    guard.order(1, 0, 1'000);
    guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::NoAnswer});
    guard.advance(milliseconds(70));
    guard.leaveRenewalUnanswered();
    EXPECT_EQ(guard.all<StopRun>().size(), 1U);
}

TEST(GuardMachineTest, DelayedAnnouncementOfAnEarlierBootEndsNothing)
{
    for (const auto *name : {"runner", "runner-before"}) {
        GuardDriver guard;
        guard.order(1, 0, 1'000);
        guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::Started});
        guard.announce({name, GuardDriver::incarnation().startTimeMs - 1});
        EXPECT_TRUE(guard.all<ReportRun>().empty()) << name;
        guard.answerRenewal({GuardDriver::run(0)}, {});
        EXPECT_TRUE(guard.all<StopRun>().empty()) << name;
        guard.order(2, 1, 1'000);
        ASSERT_EQ(guard.all<StartRun>().size(), 1U) << name;
        EXPECT_EQ(guard.all<StartRun>()[0].incarnation, GuardDriver::incarnation()) << name;
    }
}

TEST(GuardMachineTest, TheRunsOfTheKnownBootEndWhenAnotherThatAnnouncedItselfAnswers)
{
    for (const auto startTimeMs : {GuardDriver::incarnation().startTimeMs + 1, std::int64_t{0}}) {
        GuardDriver guard;
        guard.order(1, 0, 1'000);
        guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::Started});
        guard.announce({"runner", startTimeMs});
        EXPECT_TRUE(guard.all<ReportRun>().empty()) << startTimeMs << ": an announcement alone shows nothing";
        guard.failRenewal(RenewalFailure::OtherIncarnation);
        ASSERT_EQ(guard.all<ReportRun>().size(), 1U) << startTimeMs;
        EXPECT_EQ(guard.all<ReportRun>()[0].report.outcome, RunOutcome::Lapsed) << startTimeMs;
    }
}

TEST(GuardMachineTest, AnUpstreamThatRestartedWithItsClockSetBackGetsWorkWhenTheRunsOfItsPreviousBootHaveEnded)
{
    const UpstreamIncarnation restarted{"runner", GuardDriver::incarnation().startTimeMs - 1};
    GuardDriver guard;
    guard.order(1, 0, 1'000);
    guard.feed(RunStartAnswered{GuardDriver::run(0), StartAnswer::Started});
    guard.answerRenewal({}, {}, restarted);
    guard.announce(restarted);
    EXPECT_TRUE(guard.all<ReportRun>().empty()) << "the lease of the run has not ended";
    guard.advance(std::chrono::seconds(10));
    guard.feed(Tick{});
    EXPECT_EQ(guard.all<ReportRun>().size(), 1U);
    guard.announce(restarted);
    guard.answerRenewal({}, {}, restarted);
    guard.order(2, 1, 1'000);
    ASSERT_EQ(guard.all<StartRun>().size(), 1U);
    EXPECT_EQ(guard.all<StartRun>()[0].incarnation, restarted);
}

} // namespace Sycamoremoor
