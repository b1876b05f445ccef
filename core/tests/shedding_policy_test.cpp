// Which of two jobs yields, when a job is refused, and when its caller is to come back: the policy alone.
#include "../src/scheduler/shedding_policy.h"
#include "scheduler_driver.h"

#include <gtest/gtest.h>

#include <array>
#include <cmath>

namespace Sycamoremoor
{

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr MonotonicTime Now{std::chrono::hours(1)};
constexpr Duration Least = milliseconds(500);
constexpr int Draws = 1'000;

/** Two jobs that arrive together, and how often the first one yields, of all pairs of draws. */
struct YieldCase {
    const char *name;
    std::uint32_t priority;
    Duration slack;
    double relativeNeed;
    std::uint32_t otherPriority;
    Duration otherSlack;
    double otherRelativeNeed;
    double least; ///< share in which the first one yields
    double most;
};

constexpr std::array YieldCases{
    YieldCase{"PriorityOneToPriorityZero", 1, milliseconds(100), 1, 0, milliseconds(150), 1, 1, 1},
    YieldCase{"LaterStart", 1, milliseconds(200), 1, 1, milliseconds(100), 1, 0.8, 1},
    YieldCase{"WideJobToJobOfTheSameStart", 1, milliseconds(100), 4, 1, milliseconds(101), 1, 0.3, 0.5},
    YieldCase{"UsualJobToWideJob", 1, milliseconds(101), 1, 1, milliseconds(100), 4, 0.5, 0.7},
    YieldCase{"PriorityThreeToOne", 3, milliseconds(100), 1, 1, milliseconds(101), 1, 0.15, 0.4},
    YieldCase{"PriorityTwoToOne", 2, milliseconds(100), 1, 1, milliseconds(101), 1, 0.05, 0.25},
    YieldCase{"NoneOfTheHighestPriorityForLowerOnes", 0, milliseconds(150), 1, 9, milliseconds(100), 1, 0, 0},
};

JobClaim claimOf(std::uint32_t priority, Duration slack, double relativeNeed, double draw)
{
    return {priority, Now, Now + slack, relativeNeed, draw};
}

SheddingPolicy shortPolicy()
{
    SheddingPolicy policy(SheddingMode::Value);
    policy.recordWaiting(Now);
    return policy;
}

} // namespace

class SheddingYieldTest : public testing::TestWithParam<YieldCase>
{
};

// Guards against an order in which one kind of job always, or never, yields.
TEST_P(SheddingYieldTest, YieldsAsOftenAsItShould)
{
    const auto policy = shortPolicy();
    const auto &jobs = GetParam();
    int yields = 0;
    for (int draw = 0; draw < Draws; ++draw) {
        const auto own = (draw + 0.5) / Draws;
        const auto others = std::fmod(own * 617 + 0.25, 1.0); // independent enough of the first draw, and spread as evenly
        const auto first = policy.rankOf(claimOf(jobs.priority, jobs.slack, jobs.relativeNeed, own));
        const auto second = policy.rankOf(claimOf(jobs.otherPriority, jobs.otherSlack, jobs.otherRelativeNeed, others));
        yields += first > second ? 1 : 0;
    }
    const auto share = static_cast<double>(yields) / Draws;
    EXPECT_GE(share, jobs.least);
    EXPECT_LE(share, jobs.most);
}

INSTANTIATE_TEST_SUITE_P(Jobs, SheddingYieldTest, testing::ValuesIn(YieldCases), [](const auto &test) { return test.param.name; });

// Guards against jobs that starve for their size or priority, however extreme.
TEST(SheddingPolicyTest, AtLeastHalfOfTheJobsKeepTheirTurn)
{
    const auto policy = shortPolicy();
    for (const auto priority : {0U, 1U, 2U, 1'000'000U}) {
        for (const auto need : {1e-9, 1.0, 100.0, 1e12}) {
            int kept = 0;
            for (int draw = 0; draw < Draws; ++draw) {
                const auto claim = claimOf(priority, milliseconds(100), need, (draw + 0.5) / Draws);
                kept += policy.rankOf(claim).turn == claim.latestStart ? 1 : 0;
            }
            EXPECT_GE(kept * 2, Draws) << priority << " " << need;
        }
    }
}

// Guards against a change of the order where there is room for all.
TEST(SheddingPolicyTest, RanksAreByLatestStartWhileCapacityIsNotShort)
{
    SheddingPolicy value(SheddingMode::Value);
    const SheddingPolicy before(SheddingMode::LatestStart);
    value.recordWaiting(Now - seconds(2));
    for (int draw = 0; draw < Draws; ++draw) {
        const auto claim = claimOf(static_cast<std::uint32_t>(draw % 3), milliseconds(100), draw / 100.0, (draw + 0.5) / Draws);
        EXPECT_EQ(value.rankOf(claim), before.rankOf(claim));
    }
}

// Guards against lower priorities that starve where priority 0 takes all.
TEST(SheddingPolicyTest, SomeJobsOfStarvingPrioritiesGoFirst)
{
    auto policy = shortPolicy();
    const auto goFirst = [&policy] {
        int first = 0;
        for (int draw = 0; draw < Draws; ++draw) {
            first += policy.rankOf(claimOf(1, milliseconds(100), 1, (draw + 0.5) / Draws))
                    < policy.rankOf(claimOf(0, milliseconds(1), 1, 0.5))
                ? 1
                : 0;
        }
        return static_cast<double>(first) / Draws;
    };
    EXPECT_EQ(goFirst(), 0);
    for (int job = 0; job < 200; ++job) {
        policy.recordOutcome(1, false);
        policy.recordOutcome(0, true);
    }
    EXPECT_NEAR(goFirst(), 0.25, 0.01);
    for (int job = 0; job < 200; ++job) {
        policy.recordOutcome(2, true);
    }
    EXPECT_EQ(goFirst(), 0);
}

TEST(SheddingPolicyTest, NeedIsComparedWithTheQueueOfTheJob)
{
    SheddingPolicy policy(SheddingMode::Value);
    const QueueName small("small");
    const QueueName large("large");
    EXPECT_DOUBLE_EQ(policy.relativeNeed(small, CoreTime(1'000)), 1);
    for (int job = 0; job < 10; ++job) {
        policy.recordArrival(small, CoreTime(1'000));
        policy.recordArrival(large, CoreTime(1'000'000));
    }
    EXPECT_NEAR(policy.relativeNeed(small, CoreTime(4'000)), 4, 1e-6);
    EXPECT_NEAR(policy.relativeNeed(large, CoreTime(1'000'000)), 1, 1e-6);
}

/** A job that got no capacity, and the rule that refuses it. */
struct RefusalCase {
    const char *name;
    SheddingMode mode;
    Duration left; ///< until its latest placement
    Duration expectedWait;
    bool hasWorkers;
    RefusalRule rule;
};

constexpr std::array RefusalCases{
    RefusalCase{"Waits", SheddingMode::Value, milliseconds(100), milliseconds(100), true, RefusalRule::None},
    RefusalCase{"WaitIsTooLong", SheddingMode::Value, milliseconds(100), milliseconds(101), true, RefusalRule::ExpectedWait},
    RefusalCase{"SlackIsOver", SheddingMode::Value, milliseconds(0), milliseconds(0), true, RefusalRule::SlackOver},
    RefusalCase{"NoWorkers", SheddingMode::Value, milliseconds(100), milliseconds(0), false, RefusalRule::NoWorkers},
    RefusalCase{"NoWorkersBefore", SheddingMode::LatestStart, milliseconds(100), milliseconds(0), false, RefusalRule::None},
    RefusalCase{"WaitIsTooLongBefore", SheddingMode::LatestStart, milliseconds(100), milliseconds(101), true, RefusalRule::ExpectedWait},
};

class SheddingRefusalTest : public testing::TestWithParam<RefusalCase>
{
};

TEST_P(SheddingRefusalTest, RefusesWhatCannotStartInTime)
{
    const auto &job = GetParam();
    const WaitingClaim claim{Now, Now + job.left, job.expectedWait, job.hasWorkers};
    EXPECT_EQ(SheddingPolicy(job.mode).refusalOf(claim), job.rule);
    if (job.rule == RefusalRule::None) {
        const auto next = SheddingPolicy(job.mode).nextDecision(claim);
        EXPECT_GT(next, Now);
        EXPECT_LE(next, claim.latestPlacement);
    }
}

INSTANTIATE_TEST_SUITE_P(Jobs, SheddingRefusalTest, testing::ValuesIn(RefusalCases), [](const auto &test) { return test.param.name; });

// Guards against callers that all come back at once, and while the burst lasts.
TEST(SheddingPolicyTest, RetryAfterGrowsWithTheShortageAndIsSpread)
{
    SheddingPolicy policy(SheddingMode::Value);
    EXPECT_EQ(policy.retryAfter(Now, RefusalRule::ExpectedWait, {}, Least, 0), Least);
    EXPECT_GE(policy.retryAfter(Now, RefusalRule::ExpectedWait, {}, Least, 1), Least + seconds(1)) << "it is sent in whole seconds";
    Duration last{};
    for (int refusal = 1; refusal <= 8; ++refusal) {
        last = policy.retryAfter(Now + milliseconds(500) * refusal, RefusalRule::SlackOver, {}, Least, 0);
    }
    EXPECT_EQ(last, seconds(4)) << "the shortage has lasted for 4 s";
    EXPECT_EQ(policy.retryAfter(Now + seconds(4), RefusalRule::ExpectedWait, seconds(6), Least, 0), seconds(6));
    EXPECT_EQ(policy.retryAfter(Now + seconds(4), RefusalRule::NoWorkers, {}, Least, 0), Least) << "workers may be there any time";
    EXPECT_EQ(policy.retryAfter(Now + seconds(8), RefusalRule::SlackOver, {}, Least, 0), Least) << "another shortage";
    SheddingPolicy before(SheddingMode::LatestStart);
    EXPECT_EQ(before.retryAfter(Now, RefusalRule::ExpectedWait, milliseconds(700), Least, 1), milliseconds(700));
}

// Guards against jobs that are held until their slack is over although no worker is there.
TEST(SheddingPolicyTest, ASchedulerWithoutWorkersRefusesAtOnce)
{
    SchedulerDriver scheduler(SchedulerSettings().resubmitAfter, SheddingMode::Value);
    scheduler.feed(WorkerUnreachable{AgentName("A")});
    scheduler.feed(scheduler.submission("early"));
    const auto answer = scheduler.last<AnswerQueueJob>();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->result, QueueJobResult::Refused);
    EXPECT_LE(answer->retryAfter, seconds(2));
    EXPECT_EQ(scheduler.counted(CounterMetric::JobsRefusedNoWorkers), 1U);
    scheduler.reportCapacity(AgentName("A"));
    scheduler.submit("later");
    EXPECT_TRUE(scheduler.last<SendBatch>());
}

// A job that waits while capacity is known is refused within a quarter of its slack when the last worker goes.
TEST(SheddingPolicyTest, AWaitingJobIsRefusedSoonAfterTheLastWorkerWent)
{
    SchedulerDriver scheduler(SchedulerSettings().resubmitAfter, SheddingMode::Value);
    scheduler.reportCapacity(AgentName("A"), GuardTime(0), MilliCores(0));
    scheduler.feed(scheduler.submission("waits"));
    EXPECT_FALSE(scheduler.last<AnswerQueueJob>());
    scheduler.feed(WorkerUnreachable{AgentName("A")});
    scheduler.advance(milliseconds(50)); // the slack is 165 ms
    scheduler.feed(Tick{});
    ASSERT_TRUE(scheduler.last<AnswerQueueJob>());
    EXPECT_EQ(scheduler.last<AnswerQueueJob>()->result, QueueJobResult::Refused);
}

} // namespace Sycamoremoor
