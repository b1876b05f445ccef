// The placement of jobs with many tasks.
#include "../src/scheduler/placement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <ctime>
#include <memory>

namespace Sycamoremoor
{

namespace
{

constexpr std::uint32_t FewTasks = 1'000;
constexpr std::uint32_t ManyTasks = 16'000;
constexpr double MostGrowth = 4.0 * ManyTasks / FewTasks; ///< of the work, between proportion and its square, sixteen times this

/** Returns a job whose tasks all wait. */
ScheduledJob waitingJob(std::uint32_t tasks)
{
    QueueJobSpec spec;
    spec.steps.emplace_back().count = tasks;
    spec.steps.back().size = {MilliCores(100), Megabytes(0), Accelerators(0)};
    ScheduledJob job;
    job.queue = std::make_shared<const QueueRecord>();
    job.spec = std::make_shared<const QueueJobSpec>(std::move(spec));
    job.expected = {std::chrono::milliseconds(100)};
    for (std::uint32_t index = 0; index < tasks; ++index) {
        job.tasks.push_back({.step = 0, .index = index, .stage = ScheduledStage::Waiting});
    }
    return job;
}

/** Returns the processor time of a vain attempt to place @p job. */
double secondsToPlace(Placement &placement, ScheduledJob &job)
{
    timespec begin{};
    timespec end{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &begin);
    const auto placed = placement.place({MonotonicTime(std::chrono::hours(1)), 1, false}, job);
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &end);
    EXPECT_TRUE(placed && placed->empty()) << "the job may start in parts, and no part of it fits";
    return static_cast<double>(end.tv_sec - begin.tv_sec) + static_cast<double>(end.tv_nsec - begin.tv_nsec) * 1e-9;
}

double leastSecondsToPlace(std::uint32_t tasks)
{
    constexpr int Attempts = 5;
    WorkerTable workers;
    Placement placement(workers);
    auto job = waitingJob(tasks);
    double least = secondsToPlace(placement, job);
    for (int attempt = 1; attempt < Attempts; ++attempt) {
        least = std::min(least, secondsToPlace(placement, job));
    }
    return least;
}

} // namespace

// Guards against a scheduler that a few small submissions with many tasks keep busy for good: each attempt passed over all tasks for each task.
TEST(PlacementWideTest, TheWorkOfAVainAttemptGrowsWithTheTasks)
{
    EXPECT_LT(leastSecondsToPlace(ManyTasks), MostGrowth * leastSecondsToPlace(FewTasks));
}

} // namespace Sycamoremoor
