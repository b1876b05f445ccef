// Share of jobs in time on workers of unequal speed, with and without the speeds that guards report.
#include "pool_simulation.h"

#include <gtest/gtest.h>

#include <array>
#include <cmath>
#include <cstdio>
#include <functional>
#include <string>

namespace Sycamoremoor
{

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::uint32_t Workers = 20;
constexpr double FleetShare = 20.0 / 59; ///< of the load of docs/HARD-LOAD.md, second deployment
constexpr std::uint32_t Schedulers = 5;
constexpr std::uint64_t Seeds = 3;
constexpr Duration LoadFrom = seconds(1);
constexpr Duration LoadUntil = seconds(15);
constexpr Duration ChangeAt = seconds(8);
constexpr double SlowSpeed = 0.55;
constexpr double FastSpeed = 1.2;
constexpr std::uint32_t SlowEvery = 4;
constexpr std::uint64_t StragglerPercent = 3;
constexpr double StragglerFactor = 7;
constexpr double LateValue = 0.2;

/** A kind of job of the second deployment. */
struct JobKind {
    const char *name;
    std::uint32_t tasks;
    Duration runTime;
    double jobsPerSecond;
    std::uint32_t priority;
};

constexpr std::array JobKinds{
    JobKind{"quick", 8, milliseconds(51), 181, 0},
    JobKind{"medium", 2, milliseconds(170), 528, 1},
    JobKind{"long", 4, milliseconds(760), 33, 2},
};

/** What became of the jobs, by kind, and how many runs the workers got. */
struct Outcome {
    std::array<PoolJobCounts, JobKinds.size()> counts;
    std::uint32_t slowStarts = 0; ///< on workers that were slow then
    std::uint32_t fastStarts = 0;
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
    load.cores = MilliCores(1'400);
    load.tasks = kind.tasks;
    load.runTime = kind.runTime;
    load.jobsPerSecond = kind.jobsPerSecond * FleetShare * factor;
    load.estimateLogDeviation = 0.4;
    load.logDeviation = 0.4;
    return load;
}

/** The load, and what happens to it. */
struct SpeedScenario {
    const char *name;
    double load; ///< factor on the usual load
    bool isUnequal;
    bool changes; ///< other workers are the slow ones from ChangeAt on
};

constexpr std::array Scenarios{
    SpeedScenario{"Usual", 1, true, false},
    SpeedScenario{"Busy", 1.6, true, false},
    SpeedScenario{"Changing", 1, true, true},
    SpeedScenario{"Equal", 1, false, false},
};

double speedOf(const SpeedScenario &scenario, std::uint32_t worker, Duration time)
{
    if (!scenario.isUnequal) {
        return 1;
    }
    const auto slow = scenario.changes && time >= ChangeAt ? 1U : 0U;
    return worker % SlowEvery == slow ? SlowSpeed : FastSpeed;
}

Outcome simulate(const SpeedScenario &scenario, std::uint64_t seed, bool reportsSpeed)
{
    PoolSettings settings;
    settings.seed = seed;
    settings.schedulers = Schedulers;
    settings.workers = Workers;
    settings.capacity.cores = MilliCores(16'000);
    settings.reportsSpeed = reportsSpeed;
    Outcome outcome;
    const PoolSimulation *running = nullptr;
    settings.customizeRun = [&](const RunnerStart &start, RunnerRun &run) {
        // The same tasks are stragglers whatever worker they run on, and with and without the reported speeds.
        const auto hash = std::hash<std::string>()(queueTaskIdToString(start.run.task) + "/" + std::to_string(start.run.number));
        const auto factor = hash % 100 < StragglerPercent ? StragglerFactor : 1;
        const auto speed = speedOf(scenario, start.worker, running->time());
        ++(speed < 1 ? outcome.slowStarts : outcome.fastStarts);
        run.endsAt += Duration(static_cast<std::int64_t>(std::stod(start.payload) * factor / speed));
    };
    PoolSimulation pool(settings);
    running = &pool;
    for (const auto &kind : JobKinds) {
        pool.addLoad(loadOf(kind, scenario.load), LoadFrom, LoadUntil);
    }
    pool.runUntil(LoadUntil + seconds(8));
    EXPECT_EQ(pool.violations(), std::vector<std::string>()) << "seed " << seed;
    for (std::size_t kind = 0; kind < JobKinds.size(); ++kind) {
        outcome.counts.at(kind) = pool.jobCounts(QueueName(JobKinds.at(kind).name));
    }
    return outcome;
}

/** Returns the share of the value of all jobs that was earned: each queue has a third of it. */
double valueOf(const Outcome &outcome)
{
    double sum = 0;
    for (const auto &count : outcome.counts) {
        sum += count.onTimeShare() + LateValue * count.late / std::max(1U, count.sent);
    }
    return sum / static_cast<double>(outcome.counts.size());
}

void print(const SpeedScenario &scenario, std::uint64_t seed, const char *variant, const Outcome &outcome)
{
    std::printf("%-8s seed %u %-8s value %.3f", scenario.name, static_cast<unsigned>(seed), variant, valueOf(outcome));
    for (std::size_t kind = 0; kind < JobKinds.size(); ++kind) {
        const auto &count = outcome.counts.at(kind);
        std::printf("  %s %.3f (late %u refused %u failed %u lost %u of %u)",
                    JobKinds.at(kind).name,
                    count.onTimeShare(),
                    count.late,
                    count.refused,
                    count.failed,
                    count.lost,
                    count.sent);
    }
    std::printf("  starts: slow %u other %u\n", outcome.slowStarts, outcome.fastStarts);
}

} // namespace

class PoolSpeedTest : public testing::TestWithParam<SpeedScenario>
{
};

// Guards against placing by measured speeds that costs callers, that leaves slow workers idle, or that changes what equal workers get.
TEST_P(PoolSpeedTest, ReportedSpeedsServeMoreJobsInTime)
{
    constexpr double MinSlowShare = 0.5; ///< of the starts that a slow worker gets by its speed: it is not left idle
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const auto without = simulate(GetParam(), seed, false);
        const auto with = simulate(GetParam(), seed, true);
        print(GetParam(), seed, "without", without);
        print(GetParam(), seed, "with", with);
        if (GetParam().isUnequal) {
            EXPECT_GT(valueOf(with), valueOf(without)) << "seed " << seed;
            const auto bySpeed = with.fastStarts * SlowSpeed / FastSpeed / (SlowEvery - 1);
            EXPECT_GE(with.slowStarts, bySpeed * MinSlowShare) << "seed " << seed;
            continue;
        }
        for (std::size_t kind = 0; kind < JobKinds.size(); ++kind) {
            const auto &before = without.counts.at(kind);
            const auto &after = with.counts.at(kind);
            EXPECT_EQ(after.onTime, before.onTime) << JobKinds.at(kind).name << " seed " << seed;
            EXPECT_EQ(after.late, before.late) << JobKinds.at(kind).name << " seed " << seed;
            EXPECT_EQ(after.refused, before.refused) << JobKinds.at(kind).name << " seed " << seed;
            EXPECT_EQ(after.lost, before.lost) << JobKinds.at(kind).name << " seed " << seed;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Scenarios, PoolSpeedTest, testing::ValuesIn(Scenarios), [](const auto &test) { return test.param.name; });

} // namespace Sycamoremoor
