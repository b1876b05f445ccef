// Evacuations of zones and departures of runners, played with failures of processes and links.
#include "pool_simulation.h"

#include <gtest/gtest.h>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace Sycamoremoor
{

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::uint64_t Seeds = 4;
constexpr std::uint32_t Zones = 3;
constexpr std::uint32_t Workers = 9;
constexpr Duration LoadFrom = seconds(1);
constexpr Duration LoadUntil = seconds(14);
constexpr Duration EvacuatedFrom = seconds(3);
constexpr Duration EvacuatedUntil = seconds(9);
constexpr Duration Within = seconds(2);
constexpr Duration DisruptionInterval = milliseconds(450); ///< a killed process is back after 400 ms, and is not killed while it is down

/** Something that happens to random processes and links all the time. */
struct Disruption {
    const char *name;
    void (*happen)(PoolSimulation &simulation, std::uint32_t index);
    bool guardsReachStore = true;
    bool schedulersReachStore = true;
};

void nothing(PoolSimulation & /*simulation*/, std::uint32_t /*index*/) { }

constexpr std::array Disruptions{
    Disruption{"None", nothing},
    Disruption{"SchedulersDoNotReachTheStore", nothing, true, false},
    Disruption{"GuardsDoNotReachTheStore", nothing, false, true},
    Disruption{"GuardsAreKilled",
               [](PoolSimulation &simulation, std::uint32_t index) {
                   simulation.killGuard(index);
               }},
    Disruption{"GuardsFreeze",
               [](PoolSimulation &simulation, std::uint32_t index) {
                   simulation.freezeGuard(index, milliseconds(700));
               }},
    Disruption{"SchedulersAreKilled",
               [](PoolSimulation &simulation, std::uint32_t index) {
                   simulation.killScheduler(index % 3);
               }},
    Disruption{"RunnersCrash",
               [](PoolSimulation &simulation, std::uint32_t index) {
                   simulation.crashRunner(index);
               }},
    Disruption{"ConnectionsBreak",
               [](PoolSimulation &simulation, std::uint32_t) {
                   simulation.breakExchanges(0.2);
               }},
};

PoolLoad loadOf(std::uint32_t tasks, Duration runTime, double jobsPerSecond)
{
    PoolLoad load;
    load.queue.name = QueueName("queue");
    load.queue.service = ServiceName("service");
    load.queue.maxAttempts = 3;
    load.queue.stretch = 1.6;
    load.queue.latencyAllowance = milliseconds(60);
    load.tasks = tasks;
    load.runTime = runTime;
    load.jobsPerSecond = jobsPerSecond;
    return load;
}

PoolSettings settingsOf(std::uint64_t seed)
{
    PoolSettings settings;
    settings.seed = seed;
    settings.workers = Workers;
    settings.zones = Zones;
    settings.customizeRun = [](const RunnerStart &start, RunnerRun &run) {
        run.endsAt += Duration(std::stol(start.payload));
    };
    return settings;
}

/** Plays departures of runners, beside @p disruption. @return the share of the jobs that end in time */
double onTimeShareWithDepartures(PoolSettings settings, Duration drainWithin, const Disruption &disruption = Disruptions.front())
{
    const auto seed = settings.seed;
    settings.drainWithin = drainWithin;
    PoolSimulation simulation(settings);
    simulation.addLoad(loadOf(2, seconds(3), 6), LoadFrom, LoadUntil);
    for (Duration time = LoadFrom; time < LoadUntil; time += seconds(1)) {
        simulation.at(time, [&simulation, &disruption] {
            const auto remaining = std::uniform_int_distribution<std::int64_t>(1'500, 2'000)(simulation.random());
            simulation.retireRunner(static_cast<std::uint32_t>(simulation.random()() % Workers), milliseconds(remaining));
            disruption.happen(simulation, static_cast<std::uint32_t>(simulation.random()() % Workers));
        });
    }
    simulation.runUntil(LoadUntil + seconds(20));
    EXPECT_EQ(simulation.violations(), std::vector<std::string>()) << "seed " << seed;
    EXPECT_EQ(simulation.openCallerCount(), 0U) << "seed " << seed;
    return simulation.jobCounts(QueueName("queue")).onTimeShare();
}

} // namespace

class PoolEvacuationTest : public testing::TestWithParam<Disruption>
{
};

/** Guards against runs that start in an evacuated zone, whichever process has just failed, and against a zone that stays unused afterwards. */
TEST_P(PoolEvacuationTest, NoRunStartsInAnEvacuatedZone)
{
    for (std::uint64_t seed = 1; seed <= Seeds && !HasFailure(); ++seed) {
        PoolSimulation *playing = nullptr;
        const ZoneName zone("zone-0");
        std::size_t startsBefore = 0;
        std::size_t startsMeanwhile = 0;
        std::size_t startsElsewhere = 0;
        std::size_t startsAfterwards = 0;
        auto settings = settingsOf(seed);
        settings.evacuateWithin = Within;
        settings.guardsReachStore = GetParam().guardsReachStore;
        settings.schedulersReachStore = GetParam().schedulersReachStore;
        settings.customizeRun = [&, customize = settings.customizeRun](const RunnerStart &start, RunnerRun &run) {
            customize(start, run);
            const auto time = playing->time();
            const bool isMeanwhile = time >= EvacuatedFrom + Within && time < EvacuatedUntil;
            if (playing->zoneOf(start.worker) != zone) {
                startsElsewhere += isMeanwhile ? 1 : 0;
            } else if (isMeanwhile) {
                ++startsMeanwhile;
            } else {
                ++(time < EvacuatedFrom ? startsBefore : startsAfterwards);
            }
        };
        PoolSimulation simulation(settings);
        playing = &simulation;
        simulation.addLoad(loadOf(6, milliseconds(200), 20), LoadFrom, LoadUntil);
        simulation.at(EvacuatedFrom, [&] { simulation.evacuate(zone, true); });
        simulation.at(EvacuatedUntil, [&] { simulation.evacuate(zone, false); });
        for (Duration time = LoadFrom; time < LoadUntil; time += DisruptionInterval) {
            simulation.at(time,
                          [&simulation] { GetParam().happen(simulation, static_cast<std::uint32_t>(simulation.random()() % Workers)); });
        }
        simulation.runUntil(LoadUntil + seconds(10));
        EXPECT_EQ(startsMeanwhile, 0U) << "seed " << seed;
        EXPECT_GT(startsBefore, 0U) << "seed " << seed;
        EXPECT_GT(startsElsewhere, 0U) << "seed " << seed;
        EXPECT_GT(startsAfterwards, 0U) << "seed " << seed;
        EXPECT_EQ(simulation.violations(), std::vector<std::string>()) << "seed " << seed;
        EXPECT_EQ(simulation.openCallerCount(), 0U) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Disruptions, PoolEvacuationTest, testing::ValuesIn(Disruptions), [](const auto &test) { return test.param.name; });

/** Guards against long runs that are lost with their runner although it had announced its end. */
TEST(PoolDepartureTest, MoreJobsEndInTimeIfRunsMoveOffALeavingRunner)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const auto before = onTimeShareWithDepartures(settingsOf(seed), Duration::zero());
        const auto after = onTimeShareWithDepartures(settingsOf(seed), seconds(3));
        RecordProperty("seed_" + std::to_string(seed), std::to_string(before) + " " + std::to_string(after));
        EXPECT_GT(after, before) << "seed " << seed;
    }
}

class PoolDepartureRulesTest : public testing::TestWithParam<Disruption>
{
};

/** Guards against two runs of a task at a time when runs are stopped on a leaving runner, and orders or answers are lost on their way. */
TEST_P(PoolDepartureRulesTest, NoTaskRunsTwiceAtATime)
{
    for (std::uint64_t seed = 1; seed <= Seeds && !HasFailure(); ++seed) {
        auto settings = settingsOf(seed);
        settings.lostOrders = 0.05;
        settings.lostAnswers = 0.05;
        (void)onTimeShareWithDepartures(settings, seconds(3), GetParam()); // checks the violations of the rules
    }
}

INSTANTIATE_TEST_SUITE_P(Disruptions, PoolDepartureRulesTest, testing::ValuesIn(Disruptions), [](const auto &test) {
    return test.param.name;
});

} // namespace Sycamoremoor
