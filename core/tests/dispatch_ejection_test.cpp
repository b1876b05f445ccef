// Ejection and readmission of workers whose tasks fail; budget and backoff of retries.
#include "dispatch_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

constexpr TaskSize Small{MilliCores(1'000), Megabytes(256), Accelerators(0)};
constexpr std::size_t Workers = 11;

struct EjectionCase {
    const char *name;
    const char *ends; ///< outcomes on worker 0 in order: a digit is a failure of the job with that number, '+' a success
    bool ejected;
};

/** A dispatcher with eleven workers and ten jobs, whose tasks are placed on chosen workers by adopt(). */
class EjectionFixture : public DispatchFixture
{
public:
    EjectionFixture()
        : DispatchFixture({[this](const WorkerEvent &event) { events.push_back(event); }, {}})
    {
        addWorkers(Workers);
        for (int job = 0; job < 10; ++job) {
            m_jobs.push_back(std::make_shared<const JobSpec>(makeJob(100, Small)));
        }
    }

    /** Runs the next task of a job on a worker to the outcome @p kind. */
    void run(std::size_t job, std::size_t onWorker, PlacementEnd::Kind kind)
    {
        const TaskIndex task(m_next++);
        dispatcher.adopt(now, m_jobs[job], task, worker(onWorker).agent, now + deadline);
        end({m_jobs[job]->key, task}, kind);
    }

    /** Fails tasks of different jobs on a worker until it should be ejected. Each job succeeds elsewhere, so its kind is not at fault. */
    void failUntilEjected(std::size_t index)
    {
        for (std::size_t job = 0; job < config->policy.ejectAfterFailures; ++job) {
            run(job, index, PlacementEnd::Kind::Failed);
            run(job, Workers - 1, PlacementEnd::Kind::Succeeded);
        }
    }

    [[nodiscard]] bool isEjected(std::size_t index) const
    {
        return dispatcher.isEjected(worker(index).agent);
    }

    /** Enqueues a full load and returns the number of tasks placed on worker @p index. */
    std::size_t placedTasksOf(std::size_t index)
    {
        submit(Workers * 8, Small);
        const auto placements = dispatcher.place(now, 1);
        return static_cast<std::size_t>(std::ranges::count(placements, worker(index).agent, &Placement::agent));
    }

    std::vector<WorkerEvent> events;

private:
    std::vector<JobSpecPointer> m_jobs;
    std::uint32_t m_next = 0;
};

} // namespace

class DispatchEjectionTest : public testing::TestWithParam<EjectionCase>
{
};

TEST_P(DispatchEjectionTest, CountsConsecutiveFailuresOfDifferentJobs)
{
    EjectionFixture fixture;
    for (const auto end : std::string(GetParam().ends)) {
        if (end == '+') {
            fixture.run(9, 0, PlacementEnd::Kind::Succeeded);
        } else {
            fixture.run(static_cast<std::size_t>(end - '0'), 0, PlacementEnd::Kind::Failed);
        }
    }
    EXPECT_EQ(fixture.isEjected(0), GetParam().ejected);
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         DispatchEjectionTest,
                         testing::Values(EjectionCase{"DifferentJobs", "0123", true},
                                         EjectionCase{"TooFew", "012", false},
                                         EjectionCase{"OneJob", "00000000", false},
                                         EjectionCase{"SuccessBetween", "012+123+", false},
                                         EjectionCase{"AfterSuccess", "+0+1234", true}),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(DispatchEjection, KindThatFailsOnAllWorkersEjectsNone)
{
    EjectionFixture fixture;
    for (std::size_t job = 0; job < 9; ++job) {
        for (std::size_t worker = 0; worker < Workers; ++worker) {
            fixture.run(job, worker, PlacementEnd::Kind::Failed);
        }
    }
    EXPECT_TRUE(fixture.events.empty());
}

TEST(DispatchEjection, EjectedShareIsLimited)
{
    EjectionFixture fixture;
    for (std::size_t worker = 0; worker + 1 < Workers; ++worker) {
        fixture.failUntilEjected(worker);
    }
    std::size_t ejected = 0;
    for (std::size_t worker = 0; worker < Workers; ++worker) {
        ejected += fixture.isEjected(worker) ? 1 : 0;
    }
    EXPECT_EQ(ejected, Workers * fixture.config->policy.maxEjectedPercent / 100);
}

TEST(DispatchEjection, ReadmittedWorkerStartsWithOneSlot)
{
    EjectionFixture fixture;
    fixture.failUntilEjected(0);
    ASSERT_TRUE(fixture.isEjected(0));
    EXPECT_EQ(fixture.placedTasksOf(0), 0U);
    fixture.now += fixture.config->policy.ejectionTime;
    ASSERT_TRUE(fixture.dispatcher.nextWake() && *fixture.dispatcher.nextWake() <= fixture.now);
    EXPECT_EQ(fixture.placedTasksOf(0), 1U);
    EXPECT_FALSE(fixture.isEjected(0));
    ASSERT_EQ(fixture.events.size(), 2U);
    EXPECT_FALSE(fixture.events.back().ejected);
    fixture.run(9, 0, PlacementEnd::Kind::Succeeded);
    EXPECT_EQ(fixture.placedTasksOf(0), 1U); // two slots, one of them occupied
}

TEST(DispatchEjection, FailureAfterReadmissionDoublesTheEjectionTime)
{
    EjectionFixture fixture;
    fixture.failUntilEjected(0);
    const auto first = fixture.config->policy.ejectionTime;
    fixture.now += first;
    fixture.dispatcher.place(fixture.now, 1);
    fixture.run(0, 0, PlacementEnd::Kind::Failed);
    EXPECT_TRUE(fixture.isEjected(0));
    EXPECT_EQ(fixture.dispatcher.nextWake(), fixture.now + 2 * first);
}

TEST(DispatchEjection, EjectedWorkerThatReturnsIsUsedAgain)
{
    EjectionFixture fixture;
    fixture.failUntilEjected(0);
    fixture.dispatcher.removeWorker(fixture.worker(0).agent);
    fixture.dispatcher.updateWorker(fixture.now, fixture.worker(0));
    EXPECT_LE(fixture.placedTasksOf(0), 8U);
    EXPECT_FALSE(fixture.isEjected(0));
}

TEST(DispatchEjection, IgnoresTaskEndsOfACancelledJob)
{
    EjectionFixture fixture;
    const auto job = fixture.submit(1, Small);
    const auto placements = fixture.dispatcher.place(fixture.now, 1);
    ASSERT_EQ(placements.size(), 1U);
    const auto workerIndex = static_cast<std::size_t>(std::stoi(placements.front().agent.value().substr(std::string("agent-").size())));
    for (std::size_t failed = 0; failed + 1 < fixture.config->policy.ejectAfterFailures; ++failed) {
        fixture.run(failed, workerIndex, PlacementEnd::Kind::Failed);
    }
    fixture.dispatcher.cancel(job->key);
    fixture.end(placements.front().task, PlacementEnd::Kind::Succeeded, std::chrono::milliseconds(1));
    fixture.run(8, workerIndex, PlacementEnd::Kind::Failed);
    EXPECT_TRUE(fixture.isEjected(workerIndex));
    const auto &task = job->tasks.front();
    EXPECT_EQ(fixture.dispatcher.expectedRunTime(job->service, task.kind, task.declaredRunTime), task.declaredRunTime);
}

TEST(DispatchRetry, StaysWithinItsBudgetAndBacksOff)
{
    DispatchFixture fixture;
    fixture.addWorkers(1);
    const auto job = fixture.submit(8, Small);
    std::size_t starts = 0;
    const auto until = fixture.now + fixture.deadline;
    while (fixture.now < until) {
        for (const auto &placement : fixture.dispatcher.place(fixture.now, 1)) {
            ++starts;
            fixture.end(placement.task, PlacementEnd::Kind::NotStarted);
        }
        fixture.dispatcher.expire(fixture.now);
        fixture.now += std::chrono::milliseconds(1);
    }
    constexpr std::size_t FirstBudget = 64;
    const auto retries = starts - job->tasks.size();
    EXPECT_GT(retries, 8U);
    EXPECT_LE(retries, FirstBudget + starts * fixture.config->policy.retryBudgetPercent / 100);
    fixture.dispatcher.expire(until);
    EXPECT_EQ(fixture.dispatcher.queuedTasks(), 0U);
}

TEST(DispatchRetry, WaitsForItsBudgetInsteadOfFailing)
{
    DispatchFixture fixture;
    fixture.addWorkers(2);
    constexpr std::size_t Tasks = 100; // above the initial budget of 64
    fixture.submit(Tasks, Small);
    std::size_t refused = 0;
    std::size_t done = 0;
    const auto until = fixture.now + fixture.deadline;
    while (fixture.now < until && done < Tasks) {
        for (const auto &placement : fixture.dispatcher.place(fixture.now, 1)) {
            const bool refuses = refused < Tasks; // as if both workers restarted one after the other
            refused += refuses ? 1 : 0;
            done += refuses ? 0 : 1;
            const bool isRetried = fixture.end(placement.task, refuses ? PlacementEnd::Kind::NotStarted : PlacementEnd::Kind::Succeeded);
            EXPECT_EQ(isRetried, refuses) << done;
        }
        // Starts of other tasks add to the budget.
        fixture.submit(1, Small);
        fixture.now += std::chrono::milliseconds(5);
    }
    EXPECT_GE(done, Tasks);
}

} // namespace Sycamoremoor
