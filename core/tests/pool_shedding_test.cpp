// Which jobs are served, delayed and refused while bursts take more capacity than there is.
#include "pool_simulation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace Sycamoremoor
{

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::uint32_t Workers = 74;
constexpr std::uint32_t Schedulers = 14;
constexpr std::uint32_t WideSchedulers = 8; ///< with half a core; the others have an eighth
constexpr Duration LoadFrom = seconds(2);
constexpr Duration BurstFrom = seconds(4);
constexpr Duration LoadUntil = seconds(11);

constexpr SchedulerCosts ThinCosts{microseconds(200), microseconds(400), microseconds(600), microseconds(400)};
constexpr double UsualLoad = 1.2; ///< of the rates of the table: takes nine tenths of the cores, as jobs differ in size
constexpr double AmpleLoad = 0.5; ///< of the rates of the table: every job finds room
constexpr std::uint64_t Seeds = 2;
constexpr double WideFactor = 0.25; ///< of the costs, on half a core

/** A queue of the first deployment. */
struct QueueLoad {
    const char *name;
    std::uint32_t tasks;
    Duration runTime;
    double jobsPerSecond;
    std::uint32_t priority;
};

using QueueLoads = std::array<QueueLoad, 3>;

constexpr QueueLoads FirstDeployment{
    QueueLoad{"quick", 8, milliseconds(60), 206, 0},
    QueueLoad{"medium", 2, milliseconds(200), 600, 1},
    QueueLoad{"long", 4, milliseconds(900), 37.5, 2},
};

/** A burst of one queue. */
struct BurstScenario {
    const char *name;
    const char *queue;
    double factor;
    Duration duration;
    std::array<double, 3> minOnTime; ///< of each queue, of the jobs that were sent during the burst
    std::array<std::uint32_t, 3> priorities{0, 1, 2};
};

constexpr double Always = 0.95;   ///< target at the usual load, see docs/MEASURES.md
constexpr double Bursting = 0.6;  ///< target through a burst of 1.8, see there
constexpr double Starving = 0.05; ///< of a queue that others leave hardly anything: one of twenty jobs, so that its callers see progress

constexpr std::array BurstScenarios{
    BurstScenario{"Usual", "", 1, seconds(0), {Always, Always, Always}},
    BurstScenario{"QuickBurst", "quick", 2.5, seconds(5), {Bursting, Bursting, Bursting}},
    BurstScenario{"MediumBurst", "medium", 1.6, seconds(7), {Bursting, Bursting, Bursting}},
    BurstScenario{"MediumBurstOfTwice", "medium", 2.2, seconds(5), {Starving, Starving, Starving}},
    BurstScenario{"LongBurst", "long", 2.5, seconds(5), {Bursting, Bursting, Bursting}},
    BurstScenario{"EqualPriorities", "medium", 2.2, seconds(5), {Starving, Starving, Starving}, {0, 1, 1}},
    BurstScenario{"QuickTakesAll", "quick", 8, seconds(5), {Starving, Starving, Starving}},
};

PoolLoad loadOf(const QueueLoad &queue, std::uint32_t priority, double factor)
{
    PoolLoad load;
    load.queue.name = QueueName(queue.name);
    load.queue.service = ServiceName("service");
    load.queue.priority = priority;
    load.queue.maxAttempts = 3;
    load.queue.stretch = 1.6;
    load.queue.latencyAllowance = milliseconds(60);
    load.cores = MilliCores(1'700);
    load.tasks = queue.tasks;
    load.runTime = queue.runTime;
    load.jobsPerSecond = queue.jobsPerSecond * factor;
    load.estimateLogDeviation = 0.4;
    load.logDeviation = 0.5;
    load.maxFactor = 4;
    return load;
}

/** Share of jobs in time, of all and by size, and what became of the others. */
struct Service {
    std::uint32_t sent = 0;
    std::uint32_t onTime = 0;
    std::uint32_t late = 0;
    std::uint32_t refusedAtOnce = 0; ///< within a tenth of the slack
    std::uint32_t refusedHeld = 0;
    std::uint32_t other = 0;
    Duration heldSum{};
    double wastedCoreSeconds = 0; ///< of runs of jobs that earned nothing
    double neededCoreSeconds = 0;
    std::vector<std::pair<double, bool>> bySize; ///< processor time that a job needs, and whether it was in time
    double largest = 0;                          ///< share in time of the largest tenth
    double next = 0;                             ///< share in time of the next fifth
    double smaller = 0;                          ///< share in time of the rest

    [[nodiscard]] double share() const
    {
        return static_cast<double>(onTime) / std::max(1U, sent);
    }
};

/** Adds the jobs of a queue that were sent between two times. */
void addJobs(Service &service, const PoolSimulation &pool, const std::string &queue, MonotonicTime from, MonotonicTime until)
{
    for (const auto &record : pool.jobRecords()) {
        if (record.queue.value() != queue || record.sentAt < from || record.sentAt >= until) {
            continue;
        }
        ++service.sent;
        service.onTime += record.onTime ? 1 : 0;
        service.neededCoreSeconds += record.coreSeconds;
        service.bySize.emplace_back(record.coreSeconds, record.onTime);
        if (record.result == QueueJobResult::Complete) {
            service.late += record.onTime ? 0 : 1;
        } else if (record.result == QueueJobResult::Refused) {
            const bool isHeld = record.held * 10 >= record.slack;
            ++(isHeld ? service.refusedHeld : service.refusedAtOnce);
            service.heldSum += isHeld ? record.held : Duration::zero();
        } else {
            ++service.other;
        }
        if (record.result != QueueJobResult::Complete) {
            service.wastedCoreSeconds += pool.ranCoreSeconds(record.job);
        }
    }
}

/** Computes the shares by size. */
void sortBySize(Service &service)
{
    auto &bySize = service.bySize;
    std::ranges::sort(bySize, std::ranges::greater(), &std::pair<double, bool>::first);
    const auto shareOf = [&](std::size_t first, std::size_t last) {
        const auto jobs = std::span(bySize).subspan(first, last - first);
        const auto served = std::ranges::count(jobs, true, &std::pair<double, bool>::second);
        return static_cast<double>(served) / static_cast<double>(std::max<std::size_t>(1, jobs.size()));
    };
    const auto tenth = bySize.size() / 10;
    service.largest = shareOf(0, tenth);
    service.next = shareOf(tenth, tenth * 3);
    service.smaller = shareOf(tenth * 3, bySize.size());
}

PoolSettings settingsOf(SheddingMode shedding, std::uint64_t seed)
{
    PoolSettings settings;
    settings.seed = seed;
    settings.shedding = shedding;
    settings.schedulers = Schedulers;
    settings.workers = Workers;
    settings.zones = 4;
    settings.followedWorkers = 40;
    settings.capacity = {MilliCores(16'000), Megabytes(65'536), Accelerators(0)};
    settings.schedulerCosts = ThinCosts;
    settings.costFactor = [](std::uint32_t scheduler) {
        return scheduler < WideSchedulers ? WideFactor : 1;
    };
    settings.capacityFactor = [](std::uint32_t worker) {
        return worker % 3 == 2 ? 1.5 : 1.0;
    };
    settings.customizeRun = [](const RunnerStart &start, RunnerRun &run) {
        run.endsAt += Duration(std::stol(start.payload));
    };
    return settings;
}

/** Simulates a scenario. @param usual load, in multiples of the rates of the table */
void play(PoolSimulation &pool, const BurstScenario &scenario, double usual)
{
    for (std::size_t index = 0; index < FirstDeployment.size(); ++index) {
        const auto &queue = FirstDeployment.at(index);
        pool.addLoad(loadOf(queue, scenario.priorities.at(index), usual), LoadFrom, LoadUntil);
        if (scenario.queue == std::string(queue.name)) {
            pool.addLoad(
                loadOf(queue, scenario.priorities.at(index), usual * (scenario.factor - 1)), BurstFrom, BurstFrom + scenario.duration);
        }
    }
    pool.runUntil(LoadUntil + seconds(8));
    EXPECT_EQ(pool.violations(), std::vector<std::string>());
}

void print(const BurstScenario &scenario, const char *mode, const char *queue, const Service &service)
{
    std::printf(
        "%-18s %-5s %-6s sent %5u on time %.3f largest %.3f next %.3f rest %.3f late %4u refused at once %4u held %4u (mean %.0f ms) "
        "other %3u wasted %.3f\n",
        scenario.name,
        mode,
        queue,
        service.sent,
        service.share(),
        service.largest,
        service.next,
        service.smaller,
        service.late,
        service.refusedAtOnce,
        service.refusedHeld,
        std::chrono::duration<double, std::milli>(service.heldSum).count() / std::max(1U, service.refusedHeld),
        service.other,
        service.wastedCoreSeconds / service.neededCoreSeconds);
}

} // namespace

class PoolSheddingTest : public testing::TestWithParam<BurstScenario>
{
};

// Guards against a burst of one queue that starves another one, or the wide jobs of any.
TEST_P(PoolSheddingTest, NoQueueAndNoSizeStarves)
{
    const auto &scenario = GetParam();
    const MonotonicTime start{std::chrono::hours(1)}; // of the simulation
    const auto burstUntil = scenario.duration > seconds(0) ? start + BurstFrom + scenario.duration : start + LoadUntil;
    std::array<Service, 3> services;
    for (const auto &[mode, name] : {std::pair(SheddingMode::LatestStart, "start"), std::pair(SheddingMode::Value, "value")}) {
        services = {};
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            PoolSimulation pool(settingsOf(mode, seed));
            play(pool, scenario, UsualLoad);
            for (std::size_t index = 0; index < services.size(); ++index) {
                addJobs(services.at(index), pool, FirstDeployment.at(index).name, start + BurstFrom, burstUntil);
            }
        }
        for (std::size_t index = 0; index < services.size(); ++index) {
            sortBySize(services.at(index));
            print(scenario, name, FirstDeployment.at(index).name, services.at(index));
        }
    }
    for (std::size_t index = 0; index < services.size(); ++index) {
        const auto &service = services.at(index);
        const auto *queue = FirstDeployment.at(index).name;
        EXPECT_GE(service.largest, service.share() / 2) << queue;
        EXPECT_GE(service.next, service.share() / 2) << queue;
        EXPECT_GE(service.share(), scenario.minOnTime.at(index)) << queue;
        for (std::size_t other = 0; other < services.size(); ++other) {
            if (scenario.priorities.at(other) == scenario.priorities.at(index)) {
                EXPECT_GE(service.share(), services.at(other).share() / 2) << queue << " beside " << FirstDeployment.at(other).name;
            }
        }
    }
}

// Guards against a policy that changes what works: where every job finds room, all are to be served as without it.
TEST(PoolSheddingModeTest, NothingChangesWhileCapacityIsNotShort)
{
    const auto results = [](SheddingMode mode) {
        PoolSimulation pool(settingsOf(mode, 1));
        play(pool, BurstScenarios.front(), AmpleLoad);
        std::vector<std::string> lines;
        for (const auto &record : pool.jobRecords()) {
            lines.push_back(record.job.value() + " " + std::string(queueJobResultName(record.result)) + " "
                            + std::to_string(record.held.count()));
        }
        return lines;
    };
    const auto before = results(SheddingMode::LatestStart);
    EXPECT_FALSE(before.empty());
    const auto after = results(SheddingMode::Value);
    ASSERT_EQ(before.size(), after.size());
    EXPECT_EQ(std::ranges::mismatch(before, after).in1, before.end()) << *std::ranges::mismatch(before, after).in1;
}

// Guards against jobs that are held for nothing after a loss of power, when schedulers know no worker yet.
TEST(PoolSheddingModeTest, JobsAreRefusedAtOnceWhileNoWorkerAccepts)
{
    constexpr Duration LostAt = seconds(4);
    constexpr Duration Restart = milliseconds(410); // schedulers are back after 400 ms, runners after 900 ms
    constexpr Duration RunnersBack = milliseconds(900);
    auto settings = settingsOf(SheddingMode::Value, 1);
    settings.schedulerCosts = {};
    PoolSimulation pool(settings);
    pool.at(LostAt, [&pool] {
        for (std::uint32_t worker = 0; worker < Workers; ++worker) {
            pool.crashRunner(worker);
            pool.killGuard(worker);
        }
        for (std::uint32_t scheduler = 0; scheduler < Schedulers; ++scheduler) {
            pool.killScheduler(scheduler);
        }
    });
    play(pool, BurstScenarios.front(), AmpleLoad);
    const MonotonicTime start{std::chrono::hours(1)};
    std::uint32_t refused = 0;
    std::uint32_t servedLater = 0;
    for (const auto &record : pool.jobRecords()) {
        if (record.sentAt >= start + LostAt + Restart && record.sentAt < start + LostAt + RunnersBack) {
            ++refused;
            EXPECT_EQ(record.result, QueueJobResult::Refused) << record.job.value();
            EXPECT_EQ(record.held, Duration::zero()) << record.job.value();
            EXPECT_LE(record.retryAfter, seconds(2)) << record.job.value();
        }
        servedLater += record.sentAt >= start + LostAt + seconds(4) && record.onTime ? 1 : 0;
    }
    EXPECT_GT(refused, 0U);
    EXPECT_GT(servedLater, 0U);
}

INSTANTIATE_TEST_SUITE_P(Scenarios, PoolSheddingTest, testing::ValuesIn(BurstScenarios), [](const auto &test) { return test.param.name; });

} // namespace Sycamoremoor
