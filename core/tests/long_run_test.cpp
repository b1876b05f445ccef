// Runs that take much longer than expected: those that make progress go on, those that stand still are stopped.
#include "guard_driver.h"
#include "scheduler_driver.h"

#include <gtest/gtest.h>

#include <map>

namespace Sycamoremoor
{

namespace
{

using std::chrono::milliseconds;

constexpr Duration Expected = milliseconds(50);
constexpr Duration RunLimit = milliseconds(400); ///< four times the expected run time and 200 ms
constexpr Duration ListInterval = milliseconds(100);

/** How far a run has come by the time since its start. */
struct ProgressRow {
    const char *name;
    std::map<int, std::uint32_t> percentAt; ///< milliseconds since the start
    bool isStopped;                         ///< by 700 ms
    std::vector<int> projectedMs;           ///< what the scheduler is told
};

std::ostream &operator<<(std::ostream &out, const ProgressRow &row)
{
    return out << row.name;
}

class LongRunTest : public testing::TestWithParam<ProgressRow>
{
};

/** Orders a run at a guard and lists its progress. */
class LongRunDriver : public GuardDriver
{
public:
    LongRunDriver()
    {
        order(1, 0, 1'000, {}, RunLimit, GuardIncarnation, QueueName("queue"), Expected);
        feed(RunStartAnswered{run(0), StartAnswer::Started});
    }

    /** Lists the run, whose batch is renewed. @return whether it was stopped */
    bool list(std::uint32_t percent)
    {
        advance(ListInterval);
        renew(1);
        const bool isStopped = !all<StopRun>().empty();
        UpstreamListed listed;
        listed.renewal = lastRenewal();
        listed.incarnation = incarnation();
        listed.running = {run(0)};
        listed.progress = {{run(0), percent}};
        feed(listed);
        return isStopped || !all<StopRun>().empty();
    }
};

} // namespace

/** Guards against work that is thrown away since its declared run time was too short, and against hung runs that go on. */
TEST_P(LongRunTest, IsStoppedOnlyWithoutProgress)
{
    LongRunDriver driver;
    std::vector<int> projected;
    bool isStopped = false;
    for (int at = 100; at <= 700; at += 100) {
        auto percent = GetParam().percentAt.upper_bound(at);
        isStopped = driver.list(std::prev(percent)->second) || isStopped;
        for (const auto &output : driver.all<ProjectRun>()) {
            EXPECT_EQ(output.connection, ConnectionId(1));
            projected.push_back(static_cast<int>(std::chrono::duration_cast<milliseconds>(output.projection.runTime).count()));
        }
    }
    EXPECT_EQ(isStopped, GetParam().isStopped);
    EXPECT_EQ(projected, GetParam().projectedMs);
}

INSTANTIATE_TEST_SUITE_P(Progress,
                         LongRunTest,
                         testing::Values(ProgressRow{"Steady",
                                                     {{0, 0}, {100, 12}, {200, 24}, {300, 36}, {400, 48}, {500, 60}, {600, 72}, {700, 84}},
                                                     false,
                                                     {833}},
                                         ProgressRow{"StandsStill", {{0, 0}, {100, 1}}, true, {}},
                                         ProgressRow{"StandsStillLate", {{0, 0}, {100, 50}}, true, {200}},
                                         ProgressRow{"NotStated", {{0, 0}}, true, {}},
                                         ProgressRow{"GoesBack", {{0, 0}, {100, 10}, {200, 5}}, false, {1'000}},
                                         ProgressRow{"SlowsDown",
                                                     {{0, 0}, {100, 40}, {200, 50}, {300, 55}, {400, 60}, {500, 65}, {600, 68}, {700, 70}},
                                                     false,
                                                     {250, 400, 545, 769, 1'000}}),
                         [](const auto &row) { return row.param.name; });

namespace
{

struct ExpiryRow {
    const char *name;
    Duration projected;     ///< zero: nothing is told
    Duration callerTimeout; ///< zero: none
    Duration goesOnUntil;   ///< after the job's arrival
};

std::ostream &operator<<(std::ostream &out, const ExpiryRow &row)
{
    return out << row.name;
}

class LongJobTest : public testing::TestWithParam<ExpiryRow>
{
};

} // namespace

/** Guards against jobs that are given up at three times an objective that their work has outgrown. */
TEST_P(LongJobTest, ExpiresByWhatItNeeds)
{
    SchedulerDriver driver;
    auto submission = driver.submission("job");
    submission.callerTimeout = GetParam().callerTimeout;
    driver.feed(submission);
    const auto batch = driver.last<SendBatch>()->batch.batch;
    driver.advance(milliseconds(300));
    if (GetParam().projected > Duration::zero()) {
        driver.feed(RunProjected{batch, {0, GetParam().projected}});
    }
    driver.advance(GetParam().goesOnUntil - milliseconds(301));
    driver.feed(Tick{});
    EXPECT_FALSE(driver.last<AnswerQueueJob>());
    driver.advance(milliseconds(2));
    driver.feed(Tick{});
    ASSERT_TRUE(driver.last<AnswerQueueJob>());
    EXPECT_EQ(driver.last<AnswerQueueJob>()->result, QueueJobResult::Lost);
}

// Objective 1.6 times the run time and 60 ms; a job expires at three times its objective.
INSTANTIATE_TEST_SUITE_P(Projections,
                         LongJobTest,
                         testing::Values(ExpiryRow{"NotTold", {}, milliseconds(9'000), milliseconds(1'140)},
                                         ExpiryRow{"Longer", milliseconds(1'000), milliseconds(9'000), milliseconds(4'980)},
                                         ExpiryRow{"Shorter", milliseconds(100), milliseconds(9'000), milliseconds(1'140)},
                                         ExpiryRow{"CallerLeavesFirst", milliseconds(1'000), milliseconds(2'000), milliseconds(2'000)},
                                         ExpiryRow{"CallerSetsNoLimit", milliseconds(1'000), {}, milliseconds(4'980)}),
                         [](const auto &row) { return row.param.name; });

/** Guards against a projection that arrives when its batch has ended or that names no run of it. */
TEST(LongJobProjectionTest, PassesOverProjectionsOfOtherRuns)
{
    SchedulerDriver driver;
    const auto batch = driver.submit();
    driver.feed(RunProjected{BatchNumber(batch.value() + 1), {0, milliseconds(5'000)}});
    driver.feed(RunProjected{batch, {7, milliseconds(5'000)}});
    driver.advance(milliseconds(1'141));
    driver.feed(Tick{});
    ASSERT_TRUE(driver.last<AnswerQueueJob>());
    EXPECT_EQ(driver.last<AnswerQueueJob>()->result, QueueJobResult::Lost);
}

} // namespace Sycamoremoor
