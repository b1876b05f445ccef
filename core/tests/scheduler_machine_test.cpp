// Single decisions of a scheduler: when a started job can no longer end before it expires, and how its caller is answered.
#include "scheduler_driver.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <limits>
#include <memory>
#include <optional>
#include <vector>

namespace Sycamoremoor
{

using std::chrono::milliseconds;

namespace
{

/** How and when the only run ends, and the expected immediate answer to the caller. */
struct ReturnCase {
    const char *name;
    Duration after;
    bool interrupted; ///< whether the connection of the batch was lost; otherwise the run is reported as ended
    RunOutcome outcome;
    std::optional<QueueJobResult> answer; ///< no value: the task is placed again instead, or recalled if interrupted
};

constexpr std::array ReturnCases{
    ReturnCase{"NotStartedSoon", milliseconds(100), false, RunOutcome::NotStarted, std::nullopt},
    ReturnCase{"NotStartedTooLate", milliseconds(1000), false, RunOutcome::NotStarted, QueueJobResult::Refused},
    ReturnCase{"StoppedSoon", milliseconds(100), false, RunOutcome::Stopped, std::nullopt},
    ReturnCase{"StoppedTooLate", milliseconds(1000), false, RunOutcome::Stopped, QueueJobResult::Lost},
    ReturnCase{"ForgottenByItsGuardSoon", milliseconds(100), false, RunOutcome::Lapsed, std::nullopt},
    ReturnCase{"ForgottenByItsGuardTooLate", milliseconds(1000), false, RunOutcome::Lapsed, QueueJobResult::Lost},
    ReturnCase{"InterruptedSoon", milliseconds(100), true, RunOutcome::End, std::nullopt},
    ReturnCase{"InterruptedTooLate", milliseconds(1000), true, RunOutcome::End, QueueJobResult::Lost},
};

} // namespace

class SchedulerReturnTest : public testing::TestWithParam<ReturnCase>
{
};

TEST_P(SchedulerReturnTest, AnswersAtOnceWhenTheJobCannotEndBeforeItExpires)
{
    SchedulerDriver scheduler;
    const auto batch = scheduler.submit();
    scheduler.reportCapacity(AgentName("B"));
    scheduler.advance(GetParam().after);
    if (GetParam().interrupted) {
        scheduler.feed(BatchInterrupted{batch, Delivery::Unknown});
    } else {
        RunReport report;
        report.outcome = GetParam().outcome;
        report.error = GetParam().outcome == RunOutcome::NotStarted ? ErrorKind::DeadlineUnreachable : ErrorKind::RunLimitReached;
        scheduler.feed(RunReported{batch, report});
    }
    const auto answer = scheduler.last<AnswerQueueJob>();
    EXPECT_EQ(answer ? std::optional(answer->result) : std::nullopt, GetParam().answer);
    EXPECT_EQ(scheduler.last<SendBatch>().has_value(), !GetParam().answer.has_value() && !GetParam().interrupted);
    EXPECT_EQ(scheduler.last<RecallBatch>().has_value(), GetParam().interrupted);
}

TEST(SchedulerMachineTest, ATaskOfALostConnectionIsPlacedAgainOnlyWhenItsGuardReportsTheEndOfItsRun)
{
    SchedulerDriver scheduler;
    const auto batch = scheduler.submit();
    scheduler.reportCapacity(AgentName("B"));
    scheduler.advance(milliseconds(100));
    scheduler.feed(BatchInterrupted{batch, Delivery::Unknown});
    const auto recalled = scheduler.last<RecallBatch>();
    ASSERT_TRUE(recalled);
    EXPECT_EQ(recalled->recall.batch, batch);
    EXPECT_EQ(recalled->recall.guard, Incarnation(1));
    EXPECT_EQ(recalled->recall.orders, 1U);
    for (int step = 0; step < 7; ++step) {
        scheduler.advance(milliseconds(100));
        scheduler.feed(Tick{});
        ASSERT_FALSE(scheduler.last<SendBatch>()) << "the run may still be running";
    }
    RunReport report;
    report.outcome = RunOutcome::Stopped;
    report.error = ErrorKind::Cancelled;
    scheduler.feed(RunReported{batch, report});
    ASSERT_TRUE(scheduler.last<SendBatch>());
    EXPECT_EQ(scheduler.last<SendBatch>()->batch.orders.front().run.number, 2U);
}

TEST(SchedulerMachineTest, ALostRenewalEndsNoLease)
{
    constexpr auto Phases = 40;
    constexpr auto Step = milliseconds(10);
    for (int phase = 0; phase < Phases; ++phase) {
        SchedulerDriver scheduler;
        scheduler.advance(Step * phase);
        scheduler.submit();
        std::vector<GuardTime> leases{scheduler.last<SendBatch>()->batch.leaseUntil};
        std::vector<GuardTime> renewedAt;
        for (int step = 0; step < 105; ++step) {
            scheduler.advance(Step);
            scheduler.feed(Tick{});
            if (const auto renewed = scheduler.last<RenewBatches>()) {
                leases.push_back(renewed->renewal.leaseUntil);
                renewedAt.push_back(scheduler.guardTime());
            }
        }
        ASSERT_GE(renewedAt.size(), 2U) << phase;
        for (std::size_t lost = 0; lost + 1 < renewedAt.size(); ++lost) {
            EXPECT_LT(renewedAt[lost + 1], leases[lost]) << "phase " << phase << ", renewal " << lost;
        }
    }
}

/** When callers submit a job again, and what follows for the lease of a batch. */
struct LeaseCase {
    const char *name;
    Duration resubmitAfter;
    Duration lease;
    Duration interval; ///< between renewals
};

constexpr std::array LeaseCases{
    LeaseCase{"Least", SchedulerSettings::LeastResubmitAfter, milliseconds(350), milliseconds(100)},
    LeaseCase{"Short", milliseconds(800), milliseconds(600), milliseconds(200)},
    LeaseCase{"Default", milliseconds(1'300), milliseconds(1'100), milliseconds(400)},
    LeaseCase{"Long", milliseconds(3'300), milliseconds(3'100), milliseconds(1'200)},
    LeaseCase{"VeryLong", milliseconds(60'300), milliseconds(60'100), milliseconds(24'000)},
};

class SchedulerLeaseTest : public testing::TestWithParam<LeaseCase>
{
};

TEST_P(SchedulerLeaseTest, FollowsTheCallersAndIsEndedByNoLostRenewal)
{
    constexpr auto Phases = 40;
    constexpr auto StepsPerInterval = 40;
    const auto &[name, resubmitAfter, lease, interval] = GetParam();
    const auto leaseOf = [lease = lease](GuardTime since) {
        return since + GuardTime(lease.count());
    };
    for (int phase = 0; phase < Phases; ++phase) {
        SchedulerDriver scheduler(resubmitAfter);
        scheduler.advance(interval / StepsPerInterval * phase);
        scheduler.reportCapacity(AgentName("A"), scheduler.guardTime());
        scheduler.submit("job", lease);
        std::vector<GuardTime> leases{scheduler.last<SendBatch>()->batch.leaseUntil};
        EXPECT_EQ(leases.front(), leaseOf(scheduler.guardTime()));
        std::vector<GuardTime> renewedAt;
        for (int step = 0; step < 4 * StepsPerInterval; ++step) {
            scheduler.advance(interval / StepsPerInterval);
            scheduler.reportCapacity(AgentName("A"), scheduler.guardTime());
            if (const auto renewed = scheduler.last<RenewBatches>()) {
                EXPECT_EQ(renewed->renewal.leaseUntil, leaseOf(scheduler.guardTime()));
                leases.push_back(renewed->renewal.leaseUntil);
                renewedAt.push_back(scheduler.guardTime());
            }
        }
        ASSERT_GE(renewedAt.size(), 3U) << phase;
        for (std::size_t lost = 0; lost + 1 < renewedAt.size(); ++lost) {
            EXPECT_LT(renewedAt[lost + 1], leases[lost]) << "phase " << phase << ", renewal " << lost;
            EXPECT_EQ(renewedAt[lost + 1], renewedAt[lost] + GuardTime(interval.count())) << "phase " << phase;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Leases, SchedulerLeaseTest, testing::ValuesIn(LeaseCases), [](const auto &test) { return test.param.name; });

TEST(SchedulerMachineTest, ADelayedReportOfTheGuardsClockMakesNoOrderValidForLonger)
{
    SchedulerDriver scheduler;
    const auto first = scheduler.reportClock(milliseconds(5'000));
    scheduler.advance(milliseconds(400));
    EXPECT_LE(scheduler.reportClock(milliseconds(5'010)), first + milliseconds(400)) << "this report was on its way for 390 ms";
    EXPECT_GE(scheduler.reportClock(milliseconds(5'010)), first + milliseconds(390)) << "the first report still holds";
}

/** A job with 165 ms of slack, submitted to a scheduler whose inputs wait in its process. */
struct LagCase {
    const char *name;
    Duration lag; ///< of the inputs before, and of the job itself
    bool isRefused;
};

constexpr std::array LagCases{
    LagCase{"OnTime", milliseconds(0), false},
    LagCase{"ALittleLate", milliseconds(50), false},
    LagCase{"TheReportWouldComeTooLate", milliseconds(60), true},
    LagCase{"TooLateAlready", milliseconds(200), true},
};

class SchedulerLagTest : public testing::TestWithParam<LagCase>
{
};

TEST_P(SchedulerLagTest, RefusesAtOnceWhatItIsTooLateToServeInTime)
{
    SchedulerDriver scheduler;
    for (int step = 0; step < 20; ++step) {
        scheduler.advance(milliseconds(50));
        scheduler.feedLate(GetParam().lag, Tick{});
    }
    scheduler.feedLate(GetParam().lag, scheduler.submission("job"));
    const auto answer = scheduler.last<AnswerQueueJob>();
    ASSERT_EQ(answer.has_value(), GetParam().isRefused);
    EXPECT_EQ(scheduler.last<SendBatch>().has_value(), !GetParam().isRefused);
    if (answer) {
        EXPECT_EQ(answer->error, ErrorKind::QueueFull);
        EXPECT_GE(answer->retryAfter, GetParam().lag);
    }
}

TEST(SchedulerMachineTest, JobsThatArriveTogetherAreNotRefusedForEachOtherWhileCapacityIsFree)
{
    constexpr std::size_t Jobs = 5;
    SchedulerDriver scheduler;
    scheduler.submit("before"); // so that little was sent of late
    scheduler.advance(milliseconds(400));
    std::vector<SchedulerInput> inputs;
    for (std::size_t job = 0; job < Jobs; ++job) {
        inputs.emplace_back(scheduler.submission("job-" + std::to_string(job)));
    }
    scheduler.feed(inputs);
    EXPECT_EQ(scheduler.count<SendBatch>(), Jobs);
    EXPECT_EQ(scheduler.count<AnswerQueueJob>(), 0U);
}

TEST(SchedulerMachineTest, ServesAgainWithinASecondAfterItWasLate)
{
    SchedulerDriver scheduler;
    for (int step = 0; step < 20; ++step) {
        scheduler.advance(milliseconds(400));
        scheduler.feedLate(milliseconds(400), Tick{});
    }
    for (int step = 0; step < 10; ++step) {
        scheduler.advance(milliseconds(50));
        scheduler.feed(Tick{});
    }
    scheduler.feed(scheduler.submission("job"));
    EXPECT_TRUE(scheduler.last<SendBatch>());
}

TEST(SchedulerMachineTest, AsksForFewerReportsTheMoreGuardsThereAreAndTheLaterItIs)
{
    SchedulerDriver scheduler;
    EXPECT_EQ(scheduler.reportInterval(), milliseconds(4));
    for (int worker = 0; worker < 300; ++worker) {
        scheduler.reportCapacity(AgentName("W" + std::to_string(worker)));
    }
    const auto onTime = scheduler.reportInterval();
    EXPECT_GE(onTime, milliseconds(20));
    scheduler.advance(milliseconds(500));
    scheduler.feedLate(milliseconds(10), Tick{});
    EXPECT_GE(scheduler.reportInterval(), 2 * onTime);
    scheduler.feed(scheduler.submission("job"));
    EXPECT_EQ(scheduler.last<SendBatch>()->batch.reportInterval, scheduler.reportInterval());
}

INSTANTIATE_TEST_SUITE_P(Lags, SchedulerLagTest, testing::ValuesIn(LagCases), [](const auto &row) { return row.param.name; });

INSTANTIATE_TEST_SUITE_P(Runs, SchedulerReturnTest, testing::ValuesIn(ReturnCases), [](const auto &row) { return row.param.name; });

namespace
{

/** A job that arrives some time after the beginning of a planned stop, which ends after five seconds at the latest. */
struct DrainCase {
    const char *name;
    Duration after;
    Duration runTime;
    bool isAccepted;
};

constexpr std::array DrainCases{
    DrainCase{"ShortJobLate", milliseconds(4'000), milliseconds(60), true},
    DrainCase{"ShortJobTooLate", milliseconds(4'700), milliseconds(60), false},
    DrainCase{"LongJobEarly", milliseconds(1'000), milliseconds(900), true},
    DrainCase{"LongJobTooLate", milliseconds(3'000), milliseconds(900), false},
};

} // namespace

class SchedulerDrainTest : public testing::TestWithParam<DrainCase>
{
};

TEST_P(SchedulerDrainTest, AcceptsWhatEndsBeforeItStops)
{
    SchedulerDriver scheduler;
    scheduler.feed(DrainRequested{});
    scheduler.advance(GetParam().after);
    auto submission = scheduler.submission("job");
    auto spec = *submission.spec;
    spec.steps[0].declaredRunTime = GetParam().runTime;
    submission.spec = std::make_shared<const QueueJobSpec>(spec);
    scheduler.feed(submission);
    EXPECT_EQ(scheduler.count<SendBatch>(), GetParam().isAccepted ? 1U : 0U);
    EXPECT_EQ(scheduler.count<AnswerQueueJob>(), GetParam().isAccepted ? 0U : 1U);
}

TEST(SchedulerStopTest, RefusesJobsOnceItHasSaidThatItIsDone)
{
    SchedulerDriver scheduler;
    scheduler.feed(DrainRequested{});
    scheduler.advance(milliseconds(2'500));
    scheduler.feed(Tick{});
    ASSERT_EQ(scheduler.count<Stopped>(), 1U);
    scheduler.advance(milliseconds(80));
    scheduler.feed(scheduler.submission("job"));
    EXPECT_EQ(scheduler.count<SendBatch>(), 0U);
    const auto answer = scheduler.last<AnswerQueueJob>();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->error, ErrorKind::Draining);
}

INSTANTIATE_TEST_SUITE_P(Jobs, SchedulerDrainTest, testing::ValuesIn(DrainCases), [](const auto &test) { return test.param.name; });

namespace
{

/** A job that arrives while few or none of the followed workers can hold its task. */
struct ChoiceCase {
    const char *name;
    bool followsAll;
    std::size_t followed;
    std::uint32_t reporting; ///< number of workers, all of the service "service"
    const char *service;
    std::int64_t cores;
    Duration until;      ///< when it is looked at
    const char *outcome; ///< error code of its refusal
    bool missesWorkers;
};

constexpr std::array ChoiceCases{
    ChoiceCase{"TooLargeForAll", true, 40, 20, "service", 64'000, milliseconds(0), "never_fits", false},
    ChoiceCase{"TooLargeForTheFollowed", false, 40, 20, "service", 64'000, milliseconds(0), "queue_full", true},
    ChoiceCase{"NoWorkerOfTheService", true, 40, 20, "other", 1'000, milliseconds(200), "queue_full", false},
    ChoiceCase{"NoFollowedWorkerOfTheService", false, 40, 20, "other", 1'000, milliseconds(200), "queue_full", true},
    ChoiceCase{"TooLargeForAFewFollowed", false, 4, 2, "service", 64'000, milliseconds(0), "queue_full", true},
    ChoiceCase{"OneOfAFewHasReported", false, 4, 1, "service", 64'000, milliseconds(0), "queue_full", false},
    ChoiceCase{"FewWorkersHaveReported", false, 40, 19, "service", 64'000, milliseconds(0), "queue_full", false},
};

} // namespace

class SchedulerChoiceTest : public testing::TestWithParam<ChoiceCase>
{
};

TEST_P(SchedulerChoiceTest, AsksForWorkersThatItDoesNotFollow)
{
    SchedulerDriver scheduler;
    scheduler.feed(WorkersChosen{GetParam().followed, GetParam().followsAll});
    for (std::uint32_t worker = 1; worker < GetParam().reporting; ++worker) { // one has reported
        scheduler.reportCapacity(AgentName("W" + std::to_string(worker)));
    }
    auto submission = scheduler.submission("job");
    SchedulerDriver::changeQueue(submission, [](QueueRecord &queue) { queue.service = ServiceName(GetParam().service); });
    auto spec = *submission.spec;
    spec.steps[0].size.cores = MilliCores(GetParam().cores);
    submission.spec = std::make_shared<const QueueJobSpec>(spec);
    EXPECT_FALSE(scheduler.missesWorkers());
    scheduler.feed(submission);
    if (GetParam().until > Duration::zero()) {
        scheduler.advance(GetParam().until);
        scheduler.feed(Tick{});
    }
    const auto answer = scheduler.last<AnswerQueueJob>();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->result, QueueJobResult::Refused);
    EXPECT_EQ(errorRow(answer->error).code, GetParam().outcome);
    EXPECT_EQ(scheduler.missesWorkers(), GetParam().missesWorkers);
    scheduler.feed(WorkersChosen{GetParam().followed, true});
    EXPECT_FALSE(scheduler.missesWorkers());
}

INSTANTIATE_TEST_SUITE_P(Jobs, SchedulerChoiceTest, testing::ValuesIn(ChoiceCases), [](const auto &test) { return test.param.name; });

// Guards against objectives beyond the range of times, which would refuse the jobs of a queue that is in force.
TEST(SchedulerMachineTest, ServesAQueueWhateverItsObjective)
{
    for (const auto stretch : {1.0, 1e6, 1e300}) {
        for (const Duration allowance : {Duration::zero(), Duration(std::chrono::years(10))}) {
            SchedulerDriver scheduler;
            auto submission = scheduler.submission("job");
            SchedulerDriver::changeQueue(submission, [&](QueueRecord &queue) {
                queue.stretch = stretch;
                queue.latencyAllowance = allowance;
                queue.maxAttempts = std::numeric_limits<std::uint32_t>::max();
            });
            scheduler.feed(submission);
            EXPECT_EQ(scheduler.count<SendBatch>(), 1U) << stretch << ' ' << allowance.count();
            EXPECT_EQ(scheduler.count<AnswerQueueJob>(), 0U) << stretch << ' ' << allowance.count();
        }
    }
}

TEST(SchedulerMachineTest, CountsTheQueuesThatAreNotInForce)
{
    SchedulerDriver scheduler;
    auto queues = std::make_shared<QueueSet>();
    queues->version = Revision(2);
    queues->unreadable = 3;
    scheduler.feed(QueuesRead{queues});
    EXPECT_EQ(scheduler.counted(CounterMetric::ConfigQueuesLeftOut), 3U);
    scheduler.feed(QueuesRead{queues});
    EXPECT_EQ(scheduler.counted(CounterMetric::ConfigQueuesLeftOut), 0U);
}

TEST(SchedulerMachineTest, AJobThatIsSubmittedAgainAtOnceGoesOnWhenItsRunsHaveEnded)
{
    SchedulerDriver driver;
    const auto submission = driver.submission("job");
    driver.feed(submission);
    const auto batch = driver.last<SendBatch>()->batch.batch;
    driver.feed(CallerDisconnected{submission.connection});
    ASSERT_TRUE(driver.last<RecallBatch>().has_value());
    EXPECT_EQ(driver.last<RecallBatch>()->recall.batch, batch);
    driver.advance(milliseconds(5));
    auto again = submission;
    again.connection = ConnectionId(99);
    driver.feed(again);
    EXPECT_EQ(driver.count<SendBatch>(), 0U) << "its run has not ended";
    RunReport report;
    report.outcome = RunOutcome::Stopped;
    report.error = ErrorKind::Cancelled;
    driver.feed(RunReported{batch, report});
    ASSERT_EQ(driver.count<SendBatch>(), 1U);
    const auto resent = driver.last<SendBatch>()->batch;
    EXPECT_EQ(resent.orders[0].run.number, 2U);
    report.outcome = RunOutcome::Done;
    driver.feed(RunReported{resent.batch, report});
    ASSERT_TRUE(driver.last<AnswerQueueJob>().has_value());
    EXPECT_EQ(driver.last<AnswerQueueJob>()->connection, again.connection);
    EXPECT_EQ(driver.last<AnswerQueueJob>()->result, QueueJobResult::Complete);
}

// Guards against a cancellation that is acknowledged while the job's runs go on and its later steps are started.
TEST(SchedulerCancelTest, EndsTheRunsAndStartsNothingMore)
{
    SchedulerDriver driver;
    auto submission = driver.submission("job");
    auto spec = *submission.spec;
    spec.steps.push_back(spec.steps[0]);
    spec.steps[1].after = {0};
    submission.spec = std::make_shared<const QueueJobSpec>(spec);
    driver.feed(submission);
    ASSERT_EQ(driver.count<SendBatch>(), 1U);
    const auto batch = driver.last<SendBatch>()->batch.batch;
    const ConnectionId canceller(77);
    driver.feed(QueueJobCancelled{canceller, QueueJobId("job")});
    ASSERT_EQ(driver.count<RecallBatch>(), 1U);
    EXPECT_EQ(driver.last<RecallBatch>()->recall.batch, batch);
    ASSERT_TRUE(driver.last<AnswerCancel>().has_value());
    EXPECT_EQ(driver.last<AnswerCancel>()->connection, canceller);
    EXPECT_EQ(driver.last<AnswerCancel>()->outcome, CancelOutcome::Cancelled);
    ASSERT_TRUE(driver.last<SpreadCancel>().has_value()) << "another scheduler may have the job, too";
    EXPECT_EQ(driver.last<SpreadCancel>()->job, QueueJobId("job"));
    ASSERT_TRUE(driver.last<AnswerQueueJob>().has_value());
    EXPECT_EQ(driver.last<AnswerQueueJob>()->connection, submission.connection);
    EXPECT_EQ(driver.last<AnswerQueueJob>()->result, QueueJobResult::Failed);
    EXPECT_EQ(driver.last<AnswerQueueJob>()->error, ErrorKind::Cancelled);
    RunReport report;
    report.outcome = RunOutcome::Done;
    driver.feed(RunReported{batch, report});
    driver.feed(Tick{});
    EXPECT_EQ(driver.count<SendBatch>(), 0U) << "the second step is not started";
}

namespace
{

/** What the guards say to a cancellation of a job that is not open here, and the answer. */
struct SpreadCase {
    const char *name;
    bool isConfirmed;
    bool hadRuns;
    CancelOutcome outcome;
};

constexpr std::array SpreadCases{
    SpreadCase{"Stopped", true, true, CancelOutcome::Cancelled},
    SpreadCase{"NoRuns", true, false, CancelOutcome::NotFound},
    SpreadCase{"StoppedAtSome", false, true, CancelOutcome::Unconfirmed},
    SpreadCase{"NotTold", false, false, CancelOutcome::Unconfirmed},
};

/** How a scheduler learns that a job of its own was cancelled at another one. */
struct ElsewhereCase {
    const char *name;
    bool isToldByStream; ///< else by the report of a run
    RunOutcome outcome;
};

constexpr std::array ElsewhereCases{
    ElsewhereCase{"Told", true, RunOutcome::End},
    ElsewhereCase{"RunStopped", false, RunOutcome::Stopped},
    ElsewhereCase{"RunRefused", false, RunOutcome::NotStarted},
};

} // namespace

class SchedulerSpreadTest : public testing::TestWithParam<SpreadCase>
{
};

// Guards against an acknowledgement of a cancellation that has not reached the runs.
TEST_P(SchedulerSpreadTest, AnswersWhatTheGuardsHaveConfirmed)
{
    SchedulerDriver driver;
    for (const std::uint64_t connection : {77, 78}) {
        driver.feed(QueueJobCancelled{ConnectionId(connection), QueueJobId("job")});
        EXPECT_EQ(driver.count<SpreadCancel>(), 1U);
        EXPECT_EQ(driver.count<AnswerCancel>(), 0U);
        driver.feed(CancelSpread{QueueJobId("other"), true, true});
        EXPECT_EQ(driver.count<AnswerCancel>(), 0U);
        driver.feed(CancelSpread{QueueJobId("job"), GetParam().isConfirmed, GetParam().hadRuns});
        ASSERT_EQ(driver.count<AnswerCancel>(), 1U);
        EXPECT_EQ(driver.last<AnswerCancel>()->connection, ConnectionId(connection));
        const bool wasCancelledBefore = connection == 78 && GetParam().isConfirmed;
        EXPECT_EQ(driver.last<AnswerCancel>()->outcome, wasCancelledBefore ? CancelOutcome::Cancelled : GetParam().outcome);
    }
}

INSTANTIATE_TEST_SUITE_P(Guards, SchedulerSpreadTest, testing::ValuesIn(SpreadCases), [](const auto &test) { return test.param.name; });

class SchedulerElsewhereTest : public testing::TestWithParam<ElsewhereCase>
{
};

// Guards against a job that goes on although it was cancelled at another scheduler.
TEST_P(SchedulerElsewhereTest, ACancellationEndsTheJob)
{
    SchedulerDriver driver;
    auto submission = driver.submission("job");
    auto spec = *submission.spec;
    spec.steps[0].count = 2;
    spec.steps.push_back(spec.steps[0]);
    spec.steps[1].after = {0};
    submission.spec = std::make_shared<const QueueJobSpec>(spec);
    driver.feed(submission);
    ASSERT_EQ(driver.count<SendBatch>(), 1U);
    const auto batch = driver.last<SendBatch>()->batch.batch;
    RunReport report;
    report.outcome = GetParam().outcome;
    report.error = ErrorKind::Cancelled;
    if (GetParam().isToldByStream) {
        driver.feed(JobsCancelledElsewhere{AgentName("A"), {QueueJobId("other"), QueueJobId("job")}});
    } else {
        driver.feed(RunReported{batch, report});
    }
    ASSERT_EQ(driver.count<AnswerQueueJob>(), 1U);
    EXPECT_EQ(driver.last<AnswerQueueJob>()->result, QueueJobResult::Failed);
    EXPECT_EQ(driver.last<AnswerQueueJob>()->error, ErrorKind::Cancelled);
    ASSERT_EQ(driver.count<RecallBatch>(), 1U) << "a run of the batch was not reported yet";
    EXPECT_EQ(driver.last<RecallBatch>()->recall.batch, batch);
    EXPECT_EQ(driver.count<SpreadCancel>(), 0U) << "the guards were told by the scheduler that got the cancellation";
    EXPECT_EQ(driver.counted(CounterMetric::JobsCancelled), 1U);
    driver.feed(JobsCancelledElsewhere{AgentName("B"), {QueueJobId("job")}});
    EXPECT_EQ(driver.counted(CounterMetric::JobsCancelled), 0U) << "each guard tells";
    for (std::uint32_t order = 0; order < 2; ++order) {
        RunReport ended;
        ended.order = order;
        ended.outcome = RunOutcome::Done;
        driver.feed(RunReported{batch, ended});
        EXPECT_EQ(driver.count<SendBatch>(), 0U);
    }
    driver.feed(driver.submission("job"));
    EXPECT_EQ(driver.count<SendBatch>(), 0U) << "a submission that was on its way";
    driver.feed(driver.submission("next"));
    EXPECT_EQ(driver.count<SendBatch>(), 1U) << "the worker's capacity is free again";
}

INSTANTIATE_TEST_SUITE_P(Ways, SchedulerElsewhereTest, testing::ValuesIn(ElsewhereCases), [](const auto &test) { return test.param.name; });

TEST(SchedulerCancelTest, ASubmissionThatArrivesLaterIsNotRun)
{
    for (const bool isOpen : {true, false}) {
        SchedulerDriver driver;
        if (isOpen) {
            driver.submit("job");
        }
        driver.feed(QueueJobCancelled{ConnectionId(77), QueueJobId("job")});
        EXPECT_EQ(driver.last<AnswerCancel>().has_value(), isOpen) << "the guards are told before a job that is not known is answered";
        driver.feed(CancelSpread{QueueJobId("job"), true, false});
        ASSERT_EQ(driver.last<AnswerCancel>().has_value(), !isOpen);
        if (!isOpen) {
            EXPECT_EQ(driver.last<AnswerCancel>()->outcome, CancelOutcome::NotFound);
        }
        driver.feed(driver.submission("job"));
        EXPECT_EQ(driver.count<SendBatch>(), 0U);
        ASSERT_TRUE(driver.last<AnswerQueueJob>().has_value());
        EXPECT_EQ(driver.last<AnswerQueueJob>()->error, ErrorKind::Cancelled);
        driver.feed(QueueJobCancelled{ConnectionId(78), QueueJobId("job")});
        if (!isOpen) {
            driver.feed(CancelSpread{QueueJobId("job"), true, false}); // else it is open until its runs have ended
        }
        ASSERT_TRUE(driver.last<AnswerCancel>().has_value());
        EXPECT_EQ(driver.last<AnswerCancel>()->connection, ConnectionId(78));
        EXPECT_EQ(driver.last<AnswerCancel>()->outcome, CancelOutcome::Cancelled) << "it was cancelled before";
        driver.feed(driver.submission("other"));
        EXPECT_EQ(driver.count<SendBatch>(), 1U);
    }
}

TEST(SchedulerMachineTest, AJobWithoutCallersIsNotPlacedAndIsForgottenWhenItsRunsHaveEnded)
{
    SchedulerDriver driver;
    const auto submission = driver.submission("job");
    driver.feed(submission);
    const auto batch = driver.last<SendBatch>()->batch.batch;
    driver.feed(CallerDisconnected{submission.connection});
    RunReport report;
    report.outcome = RunOutcome::Stopped;
    report.error = ErrorKind::Cancelled;
    driver.feed(RunReported{batch, report});
    EXPECT_EQ(driver.count<SendBatch>(), 0U);
    auto again = submission;
    again.connection = ConnectionId(99);
    driver.feed(again);
    ASSERT_EQ(driver.count<SendBatch>(), 1U);
    EXPECT_EQ(driver.last<SendBatch>()->batch.orders[0].run.number, 1U) << "it is another job";
}

TEST(SchedulerMachineTest, AJobWithoutCallersIsForgottenWhenTheLeasesOfItsRunsHaveEnded)
{
    SchedulerDriver driver;
    const auto submission = driver.submission("job");
    driver.feed(submission);
    const auto batch = driver.last<SendBatch>()->batch.batch;
    driver.feed(CallerDisconnected{submission.connection});
    driver.advance(SchedulerSettings().resubmitAfter);
    driver.feed(Tick{});
    ASSERT_TRUE(driver.last<CancelBatch>().has_value());
    EXPECT_EQ(driver.last<CancelBatch>()->batch, batch);
    auto again = submission;
    again.connection = ConnectionId(99);
    driver.feed(again);
    EXPECT_EQ(driver.count<SendBatch>(), 1U);
}

} // namespace Sycamoremoor
