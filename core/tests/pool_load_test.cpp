// What callers get from schedulers and guards on the heaviest days: bursts, lost workers, slow and failing ones.
#include "pool_world.h"

#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <string>

namespace Sycamoremoor
{

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr double Unevenness = 0.15; ///< of the tasks of one job
constexpr double SlowFactor = 5;
constexpr std::uint64_t Seeds = 2;
constexpr Duration LoadFrom = seconds(2);
constexpr Duration BurstFrom = seconds(6);
constexpr Duration BurstUntil = seconds(10);
constexpr Duration LoadUntil = seconds(16);

/** The kinds of job of a deployment at its usual load. */
struct LoadKind {
    const char *name;
    std::uint32_t tasks;
    Duration runTime;
    double perSecond;
    std::uint32_t priority;
};

constexpr std::array LoadKinds{
    LoadKind{"quick", 8, milliseconds(60), 38, 0},
    LoadKind{"middle", 2, milliseconds(200), 110, 1},
    LoadKind{"heavy", 4, milliseconds(900), 6.9, 2},
};

/** A heavy day. */
struct HeavyDay {
    const char *name;
    std::uint32_t workers;                            ///< of 32 cores; thirteen are three quarters busy at the usual load
    double burst;                                     ///< times the usual load, for four seconds
    std::uint32_t slow;                               ///< workers that take five times as long during the burst
    std::uint32_t failing;                            ///< workers that fail everything during the burst
    double lostOrders;                                ///< share of orders to runners that are lost, or carried out late
    double lostAnswers;                               ///< share of orders to runners that are carried out without an answer
    std::array<double, LoadKinds.size()> leastOnTime; ///< by kind, over the whole day
};

PoolLoad loadOf(const LoadKind &kind, double factor)
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
    load.perSecond = kind.perSecond * factor;
    load.estimateError = 0.4;
    load.spread = 0.4;
    return load;
}

constexpr std::array HeavyDays{
    HeavyDay{"Usual", 13, 1, 0, 0, 0, 0, {0.95, 0.95, 0.95}},
    HeavyDay{"Burst", 11, 1.3, 0, 0, 0, 0, {0.7, 0.7, 0.7}},
    HeavyDay{"BurstOfTwice", 13, 1.8, 0, 0, 0, 0, {0.6, 0.6, 0.6}},
    HeavyDay{"Slow", 13, 1, 2, 0, 0, 0, {0.8, 0.8, 0.8}},
    HeavyDay{"Failing", 13, 1, 0, 2, 0, 0, {0.8, 0.8, 0.8}},
    HeavyDay{"LostOrders", 13, 1, 0, 0, 0.05, 0, {0.8, 0.8, 0.8}},
    HeavyDay{"LostAnswers", 13, 1, 0, 0, 0, 0.2, {0.9, 0.9, 0.9}},
};

/** Adds up what became of jobs on several days. */
PoolTally &operator+=(PoolTally &sum, const PoolTally &tally)
{
    sum.sent += tally.sent;
    sum.onTime += tally.onTime;
    sum.late += tally.late;
    sum.failed += tally.failed;
    sum.refused += tally.refused;
    sum.lost += tally.lost;
    return sum;
}

/** Plays @p day with a seed and adds what callers got, by kind. */
void play(const HeavyDay &day, std::uint64_t seed, std::array<PoolTally, LoadKinds.size()> &tallies)
{
    PoolSettings settings;
    settings.seed = seed;
    settings.schedulers = 4;
    settings.workers = day.workers;
    settings.lostOrders = day.lostOrders;
    settings.lostAnswers = day.lostAnswers;
    std::mt19937_64 runTimes(seed);
    PoolWorld *running = nullptr;
    settings.shapeRun = [&](const RunnerStart &start, RunnerRun &run) {
        const bool burst = running->time() >= BurstFrom && running->time() < BurstUntil;
        auto factor = std::uniform_real_distribution<double>(1 - Unevenness, 1 + Unevenness)(runTimes);
        factor *= burst && start.worker < day.slow ? SlowFactor : 1;
        run.endsAt += Duration(static_cast<std::int64_t>(std::stod(start.payload) * factor));
        run.outcome = burst && start.worker < day.failing ? RunOutcome::Failed : RunOutcome::Done;
    };
    PoolWorld world(settings);
    running = &world;
    for (const auto &kind : LoadKinds) {
        world.addLoad(loadOf(kind, 1), LoadFrom, BurstFrom);
        world.addLoad(loadOf(kind, day.burst), BurstFrom, BurstUntil);
        world.addLoad(loadOf(kind, 1), BurstUntil, LoadUntil);
    }
    world.runUntil(LoadUntil + seconds(8));
    EXPECT_EQ(world.broken(), std::vector<std::string>()) << "seed " << seed;
    for (std::size_t kind = 0; kind < LoadKinds.size(); ++kind) {
        tallies.at(kind) += world.tally(QueueName(LoadKinds.at(kind).name));
    }
}

} // namespace

class PoolLoadTest : public testing::TestWithParam<HeavyDay>
{
};

TEST_P(PoolLoadTest, CallersAreServedInTime)
{
    std::array<PoolTally, LoadKinds.size()> tallies;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        play(GetParam(), seed, tallies);
    }
    for (std::size_t kind = 0; kind < LoadKinds.size(); ++kind) {
        const auto &tally = tallies.at(kind);
        std::printf("%-14s %-7s sent %4u on time %.3f late %3u refused %3u failed %u lost %u\n",
                    GetParam().name,
                    LoadKinds.at(kind).name,
                    tally.sent,
                    tally.onTimeShare(),
                    tally.late,
                    tally.refused,
                    tally.failed,
                    tally.lost);
        EXPECT_GE(tally.onTimeShare(), GetParam().leastOnTime.at(kind)) << LoadKinds.at(kind).name;
    }
}

INSTANTIATE_TEST_SUITE_P(Days, PoolLoadTest, testing::ValuesIn(HeavyDays), [](const auto &test) { return test.param.name; });

} // namespace Sycamoremoor
