// Share of jobs that schedulers and guards complete on time under bursts, slow or failing workers, and lost messages.
#include "pool_simulation.h"

#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <string>
#include <tuple>

namespace Sycamoremoor
{

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr double RunTimeVariation = 0.15; ///< largest deviation of a run time from that of its job, as a share
constexpr double SlowFactor = 5;
constexpr Duration HangTime = seconds(60);
constexpr std::uint64_t Seeds = 2;
constexpr double MaxLostShare = 0.01; ///< of the jobs of all kinds that may end without a result
constexpr Duration LoadFrom = seconds(2);
constexpr Duration BurstFrom = seconds(6);
constexpr Duration BurstUntil = seconds(10);
constexpr Duration LoadUntil = seconds(16);

/** A kind of job of a deployment and its usual load. */
struct JobKind {
    const char *name;
    std::uint32_t tasks;
    Duration runTime;
    double jobsPerSecond;
    std::uint32_t priority;
};

constexpr std::array JobKinds{
    JobKind{"quick", 8, milliseconds(60), 38, 0},
    JobKind{"middle", 2, milliseconds(200), 110, 1},
    JobKind{"heavy", 4, milliseconds(900), 6.9, 2},
};

/** A load and the faults during it. */
struct LoadScenario {
    const char *name;
    std::uint32_t workers;                               ///< of 32 cores; the usual load uses three quarters of 13 workers
    double burst;                                        ///< factor on the usual load during the burst of four seconds
    std::uint32_t slow;                                  ///< number of workers whose run times are five times as long during the burst
    std::uint32_t failing;                               ///< number of workers that fail every task during the burst
    std::uint32_t hanging;                               ///< number of workers on which every task stands still during the burst
    double lostOrders;                                   ///< share of orders to runners that get no answer and are executed late or never
    double lostAnswers;                                  ///< share of orders to runners that are executed, but whose answer is lost
    std::array<double, JobKinds.size()> minOnTimeShares; ///< lowest share of jobs on time, by kind, over the whole scenario
};

PoolLoad loadOf(const JobKind &kind, double factor)
{
    PoolLoad load;
    load.queue.name = QueueName(kind.name);
    load.queue.service = ServiceName("service");
    load.queue.priority = kind.priority;
    load.queue.maxAttempts = 3;
    load.queue.stretch = 1.6;
    load.queue.latencyAllowance = milliseconds(60);
    load.tasks = kind.tasks;
    load.runTime = kind.runTime;
    load.jobsPerSecond = kind.jobsPerSecond * factor;
    load.estimateError = 0.4;
    load.logDeviation = 0.4;
    return load;
}

constexpr std::array LoadScenarios{
    LoadScenario{"Usual", 13, 1, 0, 0, 0, 0, 0, {0.95, 0.95, 0.95}},
    LoadScenario{"Burst", 11, 1.3, 0, 0, 0, 0, 0, {0.7, 0.7, 0.7}},
    LoadScenario{"BurstOfTwice", 13, 1.8, 0, 0, 0, 0, 0, {0.6, 0.6, 0.6}},
    LoadScenario{"Slow", 13, 1, 2, 0, 0, 0, 0, {0.8, 0.8, 0.8}},
    LoadScenario{"Failing", 13, 1, 0, 2, 0, 0, 0, {0.8, 0.8, 0.8}},
    LoadScenario{"Hanging", 13, 1, 0, 0, 2, 0, 0, {0.9, 0.9, 0.9}},
    LoadScenario{"LostOrders", 13, 1, 0, 0, 0, 0.05, 0, {0.8, 0.8, 0.8}},
    LoadScenario{"LostAnswers", 13, 1, 0, 0, 0, 0, 0.2, {0.9, 0.9, 0.9}},
};

/** Adds the counts of another simulation. */
PoolJobCounts &operator+=(PoolJobCounts &sum, const PoolJobCounts &counts)
{
    sum.sent += counts.sent;
    sum.onTime += counts.onTime;
    sum.late += counts.late;
    sum.failed += counts.failed;
    sum.refused += counts.refused;
    sum.lost += counts.lost;
    return sum;
}

/** Simulates @p scenario with a seed and adds the results of its jobs, by kind. */
void simulate(const LoadScenario &scenario,
              SheddingMode shedding,
              std::uint64_t seed,
              std::array<PoolJobCounts, JobKinds.size()> &countsByKind)
{
    PoolSettings settings;
    settings.seed = seed;
    settings.shedding = shedding;
    settings.schedulers = 4;
    settings.workers = scenario.workers;
    settings.lostOrders = scenario.lostOrders;
    settings.lostAnswers = scenario.lostAnswers;
    std::mt19937_64 runTimes(seed);
    PoolSimulation *running = nullptr;
    settings.customizeRun = [&](const RunnerStart &start, RunnerRun &run) {
        const bool burst = running->time() >= BurstFrom && running->time() < BurstUntil;
        auto factor = std::uniform_real_distribution<double>(1 - RunTimeVariation, 1 + RunTimeVariation)(runTimes);
        factor *= burst && start.worker < scenario.slow ? SlowFactor : 1;
        run.endsAt += Duration(static_cast<std::int64_t>(std::stod(start.payload) * factor));
        if (burst && start.worker < scenario.hanging) {
            run.endsAt += HangTime;
        }
        run.outcome = burst && start.worker < scenario.failing ? RunOutcome::Failed : RunOutcome::Done;
    };
    PoolSimulation simulation(settings);
    running = &simulation;
    for (const auto &kind : JobKinds) {
        simulation.addLoad(loadOf(kind, 1), LoadFrom, BurstFrom);
        simulation.addLoad(loadOf(kind, scenario.burst), BurstFrom, BurstUntil);
        simulation.addLoad(loadOf(kind, 1), BurstUntil, LoadUntil);
    }
    simulation.runUntil(LoadUntil + seconds(8));
    EXPECT_EQ(simulation.violations(), std::vector<std::string>()) << "seed " << seed;
    for (std::size_t kind = 0; kind < JobKinds.size(); ++kind) {
        countsByKind.at(kind) += simulation.jobCounts(QueueName(JobKinds.at(kind).name));
    }
}

std::string nameOf(const testing::TestParamInfo<std::tuple<LoadScenario, SheddingMode>> &test)
{
    const auto &[scenario, shedding] = test.param;
    return std::string(scenario.name) + (shedding == SheddingMode::Value ? "ByValue" : "");
}

} // namespace

class PoolLoadTest : public testing::TestWithParam<std::tuple<LoadScenario, SheddingMode>>
{
};

TEST_P(PoolLoadTest, CallersAreServedInTime)
{
    const auto &[scenario, shedding] = GetParam();
    std::array<PoolJobCounts, JobKinds.size()> countsByKind;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        simulate(scenario, shedding, seed, countsByKind);
    }
    std::uint32_t sent = 0;
    std::uint32_t lost = 0;
    for (std::size_t kind = 0; kind < JobKinds.size(); ++kind) {
        const auto &counts = countsByKind.at(kind);
        std::printf("%-14s %-5s %-7s sent %4u on time %.3f late %3u refused %3u failed %u lost %u\n",
                    scenario.name,
                    shedding == SheddingMode::Value ? "value" : "start",
                    JobKinds.at(kind).name,
                    counts.sent,
                    counts.onTimeShare(),
                    counts.late,
                    counts.refused,
                    counts.failed,
                    counts.lost);
        EXPECT_GE(counts.onTimeShare(), scenario.minOnTimeShares.at(kind)) << JobKinds.at(kind).name;
        sent += counts.sent;
        lost += counts.lost;
    }
    EXPECT_LE(static_cast<double>(lost), MaxLostShare * static_cast<double>(sent));
}

INSTANTIATE_TEST_SUITE_P(Scenarios,
                         PoolLoadTest,
                         testing::Combine(testing::ValuesIn(LoadScenarios),
                                          testing::Values(SheddingMode::LatestStart, SheddingMode::Value)),
                         nameOf);

} // namespace Sycamoremoor
