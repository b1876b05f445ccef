// Jobs that schedulers complete on time with a fixed budget of processor time, above it and after the load has fallen below it.
#include "pool_simulation.h"

#include <gtest/gtest.h>

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

constexpr std::uint32_t Schedulers = 4;
constexpr std::uint32_t Workers = 61;
constexpr Duration LoadFrom = seconds(2);
constexpr Duration OverloadFrom = seconds(5);
constexpr Duration OverloadUntil = seconds(9);
constexpr Duration RecoveredFrom = seconds(11); ///< a scheduler is on time again within two seconds
constexpr Duration LoadUntil = seconds(15);

/** Processor time of a scheduler on a VM with an eighth of a core, and on one with half a core. */
constexpr SchedulerCosts ThinCosts{microseconds(200), microseconds(400), microseconds(600), microseconds(400)};
constexpr SchedulerCosts WideCosts{microseconds(50), microseconds(100), microseconds(150), microseconds(100)};

/** A kind of job and its share of all jobs. */
struct JobKind {
    const char *name;
    std::uint32_t tasks;
    Duration runTime;
    double share;
    std::uint32_t priority;
};

constexpr std::array JobKinds{
    JobKind{"quick", 8, milliseconds(60), 0.24, 0},
    JobKind{"middle", 2, milliseconds(200), 0.705, 1},
    JobKind{"heavy", 4, milliseconds(900), 0.055, 2},
};

/** A phase of the load. Jobs are counted by the phase in which they are sent. */
struct Phase {
    const char *name;
    Duration from;
    Duration until;
};

constexpr Phase Before{"before", LoadFrom, OverloadFrom};
constexpr Phase During{"during", OverloadFrom, OverloadUntil};
constexpr Phase Recovering{"recovering", OverloadUntil, RecoveredFrom};
constexpr Phase After{"after", RecoveredFrom, LoadUntil};

constexpr double Stretch = 1.6;
constexpr Duration LatencyAllowance = milliseconds(60);

Duration objectiveOf(const JobKind &kind)
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(kind.runTime.count()) * Stretch)) + LatencyAllowance;
}

PoolLoad loadOf(const JobKind &kind, const Phase &phase, double jobsPerSecond)
{
    PoolLoad load;
    load.queue.name = QueueName(std::string(kind.name) + "-" + phase.name);
    load.queue.service = ServiceName("service");
    load.queue.priority = kind.priority;
    load.queue.maxAttempts = 3;
    load.queue.stretch = Stretch;
    load.queue.latencyAllowance = LatencyAllowance;
    load.cores = MilliCores(2'900);
    load.tasks = kind.tasks;
    load.runTime = kind.runTime;
    load.jobsPerSecond = jobsPerSecond * kind.share;
    return load;
}

/** Load of all schedulers together: usual, then an overload of four seconds, then usual again. */
struct OverloadScenario {
    const char *name;
    double usualJobsPerSecond;
    double overload;          ///< factor on the usual load
    double minOnTimeUsual;    ///< lowest share of jobs on time at the usual load, before the overload and after it
    double minOnTimeOverload; ///< lowest number of jobs on time during the overload, as a share of those on time at the usual load
};

constexpr std::array OverloadScenarios{
    OverloadScenario{"Usual", 400, 1, 0.9, 0.9},
    OverloadScenario{"Twice", 400, 2, 0.9, 0.7},
    OverloadScenario{"FourTimes", 400, 4, 0.9, 0.5},
};

PoolSettings settingsOf(std::uint32_t schedulers, const SchedulerCosts &costs)
{
    PoolSettings settings;
    settings.schedulers = schedulers;
    settings.workers = Workers;
    settings.schedulerCosts = costs;
    settings.customizeRun = [](const RunnerStart &start, RunnerRun &run) {
        run.endsAt += Duration(std::stol(start.payload));
    };
    return settings;
}

} // namespace

class PoolOverloadTest : public testing::TestWithParam<OverloadScenario>
{
protected:
    PoolOverloadTest()
        : m_pool(settingsOf(Schedulers, ThinCosts))
    {
    }

    void addLoad(const Phase &phase, double jobsPerSecond)
    {
        for (const auto &kind : JobKinds) {
            m_pool.addLoad(loadOf(kind, phase, jobsPerSecond), phase.from, phase.until);
        }
    }

    /** Returns the sum of the counts of all kinds of job sent in a phase. */
    PoolJobCounts countsOf(const Phase &phase)
    {
        PoolJobCounts sum;
        for (const auto &kind : JobKinds) {
            const auto &counts = m_pool.jobCounts(loadOf(kind, phase, 1).queue.name);
            std::printf("%-10s %-10s %-7s sent %5u on time %.3f late %4u refused %4u lost %u\n",
                        GetParam().name,
                        phase.name,
                        kind.name,
                        counts.sent,
                        counts.onTimeShare(),
                        counts.late,
                        counts.refused,
                        counts.lost);
            sum.sent += counts.sent;
            sum.onTime += counts.onTime;
            EXPECT_LE(counts.longestRefusal, objectiveOf(kind)) << kind.name << " " << phase.name;
        }
        return sum;
    }

    PoolSimulation m_pool;
};

TEST_P(PoolOverloadTest, CallersAreServedUpToTheBudgetAndInTimeAgainAfterwards)
{
    const auto &scenario = GetParam();
    addLoad(Before, scenario.usualJobsPerSecond);
    addLoad(During, scenario.usualJobsPerSecond * scenario.overload);
    addLoad(Recovering, scenario.usualJobsPerSecond);
    addLoad(After, scenario.usualJobsPerSecond);
    m_pool.runUntil(LoadUntil + seconds(5));
    const auto before = countsOf(Before);
    const auto during = countsOf(During);
    const auto after = countsOf(After);
    EXPECT_EQ(m_pool.violations(), std::vector<std::string>());
    EXPECT_GE(before.onTimeShare(), scenario.minOnTimeUsual);
    EXPECT_GE(after.onTimeShare(), scenario.minOnTimeUsual);
    const auto usual = scenario.usualJobsPerSecond * std::chrono::duration<double>(During.until - During.from).count();
    EXPECT_GE(during.onTime, scenario.minOnTimeOverload * usual);
}

TEST(PoolReportTest, SchedulersWithTimeToSpareHearOfCapacityBeforeTheyMeetOnTheSameWorkers)
{
    constexpr std::uint32_t ManySchedulers = 10;
    constexpr double JobsPerSecond = 850; // three quarters of the workers
    constexpr double MinOnTime = 0.95;
    constexpr Phase Usual{"usual", LoadFrom, OverloadFrom};
    PoolSimulation pool(settingsOf(ManySchedulers, WideCosts));
    for (const auto &kind : JobKinds) {
        auto load = loadOf(kind, Usual, JobsPerSecond);
        load.estimateError = 0.4;
        load.logDeviation = 0.4;
        pool.addLoad(load, Usual.from, Usual.until);
    }
    pool.runUntil(Usual.until + seconds(5));
    for (const auto &kind : JobKinds) {
        EXPECT_GE(pool.jobCounts(loadOf(kind, Usual, 1).queue.name).onTimeShare(), MinOnTime) << kind.name;
    }
    EXPECT_EQ(pool.violations(), std::vector<std::string>());
}

INSTANTIATE_TEST_SUITE_P(Loads, PoolOverloadTest, testing::ValuesIn(OverloadScenarios), [](const auto &test) { return test.param.name; });

} // namespace Sycamoremoor
