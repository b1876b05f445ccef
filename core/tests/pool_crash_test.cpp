// What callers get while tasks of one kind of job crash the runners that start them, and how many runners each such task crashes.
#include "pool_simulation.h"

#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <functional>
#include <map>
#include <string>

namespace Sycamoremoor
{

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::uint32_t Schedulers = 4;
constexpr std::uint32_t Workers = 11;
constexpr std::uint64_t Seeds = 3;
constexpr Duration LoadFrom = seconds(2);
constexpr Duration DeadlyFrom = seconds(6);
constexpr Duration DeadlyUntil = seconds(16);
constexpr Duration LoadUntil = seconds(36);
constexpr Duration ReturnTime = milliseconds(3'200);
constexpr std::uint32_t MostCrashesPerTask = 3;
constexpr double LeastShareOfUndisturbedDay = 0.85; ///< of the worth that the ordinary callers earn without deadly tasks

/** A kind of job, its usual load and the worth of a job that ends in time. */
struct JobKind {
    const char *name;
    std::uint32_t tasks;
    Duration runTime;
    double jobsPerSecond;
    std::uint32_t priority;
    double worth;
};

constexpr std::array JobKinds{
    JobKind{"quick", 8, milliseconds(60), 34, 0, 0.029},
    JobKind{"middle", 2, milliseconds(200), 100, 1, 0.01},
    JobKind{"heavy", 4, milliseconds(900), 6.25, 2, 0.16},
};

/** Which jobs have a task that crashes its runners, and when it does. */
struct CrashScenario {
    const char *name;
    const char *kind;
    double share;       ///< of the jobs of the kind, for ten seconds
    Duration fromStart; ///< from the start of the run to the crash
};

constexpr std::array CrashScenarios{
    CrashScenario{"OnePercentOfQuick", "quick", 0.01, milliseconds(10)},
    CrashScenario{"FivePercentOfQuick", "quick", 0.05, milliseconds(10)},
    CrashScenario{"TenPercentOfQuick", "quick", 0.1, milliseconds(10)},
    CrashScenario{"TwentyPercentOfQuick", "quick", 0.2, milliseconds(10)},
    CrashScenario{"FivePercentOfHeavy", "heavy", 0.05, milliseconds(10)},
    CrashScenario{"LateCrashes", "heavy", 0.05, milliseconds(300)},
};

PoolLoad loadOf(const JobKind &kind)
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
    load.jobsPerSecond = kind.jobsPerSecond;
    load.estimateError = 0.4;
    return load;
}

/** What a simulated day brought. */
struct DayResult {
    double worth = 0; ///< of the jobs that ended in time, but for those with a deadly task
    std::uint32_t crashes = 0;
    std::uint32_t mostCrashesPerTask = 0;
    std::uint32_t wronglyFailed = 0; ///< jobs without a deadly task that were told to have failed
};

/** Returns whether a job of @p scenario has a deadly task, by its name: the name's hash is as good as a random number. */
bool isDeadly(const CrashScenario &scenario, const QueueJobId &job, Duration at)
{
    constexpr std::size_t Parts = 10'000;
    return job.value().starts_with(scenario.kind) && at >= DeadlyFrom && at < DeadlyUntil
        && std::hash<std::string>()(job.value()) % Parts < static_cast<std::size_t>(scenario.share * Parts);
}

DayResult simulate(const CrashScenario &scenario, std::uint64_t seed)
{
    PoolSettings settings;
    settings.seed = seed;
    settings.schedulers = Schedulers;
    settings.workers = Workers;
    settings.runnerReturnTime = ReturnTime;
    settings.callersResubmit = true;
    PoolSimulation *running = nullptr;
    settings.customizeRun = [&](const RunnerStart &start, RunnerRun &run) {
        run.endsAt += Duration(std::stol(start.payload));
        if (start.run.task.index == 0 && isDeadly(scenario, start.run.task.job, running->time())) {
            run.crashesAfter = scenario.fromStart;
        }
    };
    PoolSimulation simulation(settings);
    running = &simulation;
    for (const auto &kind : JobKinds) {
        simulation.addLoad(loadOf(kind), LoadFrom, LoadUntil);
    }
    simulation.at(seconds(12), [&simulation] { simulation.killScheduler(0); });
    simulation.runUntil(LoadUntil + seconds(10));
    EXPECT_EQ(simulation.violations(), std::vector<std::string>()) << "seed " << seed;
    DayResult result;
    for (const auto &[task, crashes] : simulation.crashCounts()) {
        result.crashes += crashes;
        result.mostCrashesPerTask = std::max(result.mostCrashesPerTask, crashes);
    }
    for (const auto &kind : JobKinds) {
        const auto &counts = simulation.jobCounts(QueueName(kind.name));
        result.worth += counts.onTime * kind.worth;
        result.wronglyFailed += counts.toldAsFailed;
        std::printf("%-20s %-7s sent %4u on time %.3f late %3u refused %4u failed %3u lost %u\n",
                    scenario.name,
                    kind.name,
                    counts.sent,
                    counts.onTimeShare(),
                    counts.late,
                    counts.refused,
                    counts.failed,
                    counts.lost);
    }
    return result;
}

/** Returns what a day without deadly tasks brings. */
const DayResult &undisturbedDay(std::uint64_t seed)
{
    static std::map<std::uint64_t, DayResult> days;
    const auto found = days.find(seed);
    return found != days.end() ? found->second : days.emplace(seed, simulate({"NoDeadlyTasks", "quick", 0, {}}, seed)).first->second;
}

} // namespace

class PoolCrashTest : public testing::TestWithParam<CrashScenario>
{
};

TEST_P(PoolCrashTest, OtherCallersAreServedAndInnocentJobsDoNotFail)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const auto &undisturbed = undisturbedDay(seed);
        const auto day = simulate(GetParam(), seed);
        std::printf("%-20s worth %.1f of %.1f, %u crashes, at most %u for a task, %u jobs failed without a deadly task\n",
                    GetParam().name,
                    day.worth,
                    undisturbed.worth,
                    day.crashes,
                    day.mostCrashesPerTask,
                    day.wronglyFailed);
        EXPECT_GE(day.worth, undisturbed.worth * LeastShareOfUndisturbedDay) << "seed " << seed;
        EXPECT_LE(day.mostCrashesPerTask, MostCrashesPerTask) << "seed " << seed;
        EXPECT_EQ(day.wronglyFailed, 0U) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Scenarios, PoolCrashTest, testing::ValuesIn(CrashScenarios), [](const auto &test) { return test.param.name; });

} // namespace Sycamoremoor
