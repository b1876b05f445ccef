// Share of jobs in time with many schedulers on the same workers, where four tasks fill a worker and little is free.
#include "pool_simulation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>

namespace Sycamoremoor
{

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::uint32_t Schedulers = 24;
constexpr std::uint32_t Workers = 96;
constexpr Duration LoadFrom = seconds(2);
constexpr Duration BurstFrom = seconds(4);
constexpr Duration BurstUntil = seconds(6);
constexpr Duration LoadUntil = seconds(8);
constexpr double MaxBusyShare = 0.6; ///< processor time of a scheduler that may be taken, on an eighth of a core

/** A kind of job, its rate for each worker, and its queue's priority. */
struct JobKind {
    const char *name;
    std::uint32_t tasks;
    Duration runTime;
    double jobsPerSecond;
    std::uint32_t priority;
};

constexpr std::array JobKinds{
    JobKind{"quick", 8, milliseconds(60), 1.39, 0},
    JobKind{"middle", 2, milliseconds(200), 4.05, 1},
    JobKind{"heavy", 4, milliseconds(900), 0.316, 2},
};

PoolLoad loadOf(const JobKind &kind, double factor)
{
    PoolLoad load;
    load.queue.name = QueueName(kind.name);
    load.queue.service = ServiceName("service");
    load.queue.priority = kind.priority;
    load.queue.maxAttempts = 4;
    load.queue.stretch = 1.6;
    load.queue.latencyAllowance = milliseconds(60);
    load.cores = MilliCores(7'600);
    load.coresDeviation = 0.2;
    load.tasks = kind.tasks;
    load.runTime = kind.runTime;
    load.estimateError = 0.4;
    load.logDeviation = 0.4;
    load.jobsPerSecond = kind.jobsPerSecond * Workers * factor;
    return load;
}

struct HerdScenario {
    const char *name;
    SchedulerCosts costs;
    std::uint32_t followedWorkers;
    double burst;
    double minOnTime; ///< of each kind
};

/** Messages are read by rounds, and take next to no processor time. */
constexpr SchedulerCosts NoCosts{microseconds(0), microseconds(0), microseconds(1), microseconds(0)};
constexpr SchedulerCosts ThinCosts{microseconds(200), microseconds(400), microseconds(600), microseconds(400)};

constexpr std::array HerdScenarios{
    HerdScenario{"AllWorkersFollowed", NoCosts, Workers, 1, 0.9},
    HerdScenario{"SubsetFollowed", NoCosts, 40, 1, 0.9},
    HerdScenario{"ThinSchedulers", ThinCosts, 40, 1, 0.9},
    HerdScenario{"ThinSchedulersInABurst", ThinCosts, 40, 1.5, 0.75},
};

} // namespace

class PoolHerdTest : public testing::TestWithParam<HerdScenario>
{
};

TEST_P(PoolHerdTest, SchedulersDoNotMeetOnTheSameWorkers)
{
    const auto &scenario = GetParam();
    PoolSettings settings;
    settings.schedulers = Schedulers;
    settings.workers = Workers;
    settings.zones = 6;
    settings.followedWorkers = scenario.followedWorkers;
    settings.schedulerCosts = scenario.costs;
    settings.capacityFactor = [](std::uint32_t worker) {
        return worker % 3 == 2 ? 1.5 : 1.0;
    };
    settings.customizeRun = [](const RunnerStart &start, RunnerRun &run) {
        run.endsAt += Duration(std::stol(start.payload));
    };
    PoolSimulation pool(settings);
    for (const auto &kind : JobKinds) {
        pool.addLoad(loadOf(kind, 1), LoadFrom, LoadUntil);
        if (scenario.burst > 1) {
            pool.addLoad(loadOf(kind, scenario.burst - 1), BurstFrom, BurstUntil);
        }
    }
    pool.runUntil(LoadUntil + seconds(5));
    EXPECT_EQ(pool.violations(), std::vector<std::string>());
    for (const auto &kind : JobKinds) {
        const auto &counts = pool.jobCounts(QueueName(kind.name));
        std::printf("%-22s %-7s sent %5u on time %.3f late %4u refused %4u lost %u\n",
                    scenario.name,
                    kind.name,
                    counts.sent,
                    counts.onTimeShare(),
                    counts.late,
                    counts.refused,
                    counts.lost);
        EXPECT_GE(counts.onTimeShare(), scenario.minOnTime) << kind.name;
    }
    for (std::uint32_t scheduler = 0; scheduler < Schedulers; ++scheduler) {
        const auto busy = std::chrono::duration<double>(pool.usage(scheduler).busy) / (LoadUntil - LoadFrom);
        EXPECT_LE(busy, MaxBusyShare) << scheduler;
    }
}

INSTANTIATE_TEST_SUITE_P(Scenarios, PoolHerdTest, testing::ValuesIn(HerdScenarios), [](const auto &test) { return test.param.name; });

} // namespace Sycamoremoor
