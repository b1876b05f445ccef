// That a task never runs on two workers at once, although schedulers and guards learn of the end of an exchange at different times.
#include "pool_simulation.h"

#include <gtest/gtest.h>

#include <array>
#include <string>

namespace Sycamoremoor
{

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::uint64_t Seeds = 15; ///< each takes seconds in a build with sanitizers
constexpr std::uint32_t Schedulers = 3;
constexpr std::uint32_t Workers = 5;
constexpr Duration FaultTime = seconds(8);
constexpr Duration QuietTime = seconds(20); ///< longer than any job waits for its end
constexpr Duration ShortestFault = milliseconds(300);
constexpr Duration LongestFault = milliseconds(4'000);
constexpr Duration Recovery = milliseconds(300);      ///< until a guard gives a runner that answers again new work
constexpr Duration Retransmission = milliseconds(20); ///< from the end of a fault until messages arrive again

PoolLoad loadOf(const char *name, std::uint32_t tasks, Duration runTime, double jobsPerSecond)
{
    PoolLoad load;
    load.queue.name = QueueName(name);
    load.queue.service = ServiceName("service");
    load.queue.maxAttempts = 2;
    load.queue.stretch = 1.6;
    load.queue.latencyAllowance = milliseconds(60);
    load.tasks = tasks;
    load.runTime = runTime;
    load.jobsPerSecond = jobsPerSecond;
    load.estimateError = 0.4;
    return load;
}

Duration randomDuration(PoolSimulation &simulation)
{
    return Duration(std::uniform_int_distribution<std::int64_t>(ShortestFault.count(), LongestFault.count())(simulation.random()));
}

void holdUpAll(PoolSimulation &simulation, std::uint32_t worker, Duration duration)
{
    for (std::uint32_t scheduler = 0; scheduler < Schedulers; ++scheduler) {
        simulation.holdUpMessages(scheduler, worker, duration);
    }
}

/** A fault that may let a task run twice, injected into random schedulers and workers. */
struct OnceFault {
    const char *name; ///< what is guarded against
    double lostOrders;
    void (*inject)(PoolSimulation &simulation, std::uint32_t worker, std::uint32_t scheduler);
};

constexpr std::array OnceFaults{
    OnceFault{"RunGoesOnAfterBreakThatOnlySchedulerSaw",
              0,
              [](PoolSimulation &simulation, std::uint32_t, std::uint32_t) {
                  simulation.breakExchangesUnseenByGuard(0.2);
              }},
    OnceFault{"RunGoesOnAfterBreakThatGuardSawLate",
              0,
              [](PoolSimulation &simulation, std::uint32_t, std::uint32_t) {
                  simulation.breakExchangesUnseenByGuard(0.2, randomDuration(simulation));
              }},
    OnceFault{"BatchArrivesAfterItWasGivenUp",
              0,
              [](PoolSimulation &simulation, std::uint32_t worker, std::uint32_t scheduler) {
                  for (std::uint32_t number = 0; number < 3; ++number) {
                      simulation.holdUpMessages(scheduler, (worker + number) % Workers, randomDuration(simulation));
                  }
              }},
    OnceFault{"BatchArrivesAfterZoneWasCutOff",
              0,
              [](PoolSimulation &simulation, std::uint32_t worker, std::uint32_t) {
                  const auto duration = randomDuration(simulation);
                  holdUpAll(simulation, worker, duration);
                  holdUpAll(simulation, (worker + 1) % Workers, duration);
              }},
    OnceFault{"GuardWakesAfterBatchWasGivenUp",
              0,
              [](PoolSimulation &simulation, std::uint32_t worker, std::uint32_t) {
                  simulation.freezeGuard(worker, randomDuration(simulation));
              }},
    OnceFault{"BatchArrivesAfterGuardWoke",
              0,
              [](PoolSimulation &simulation, std::uint32_t worker, std::uint32_t) {
                  const auto duration = randomDuration(simulation);
                  simulation.freezeGuard(worker, duration);
                  holdUpAll(simulation, worker, duration + Retransmission);
              }},
    OnceFault{"BatchArrivesAfterSilentRunnerAnswersAgain",
              0,
              [](PoolSimulation &simulation, std::uint32_t worker, std::uint32_t) {
                  const auto duration = randomDuration(simulation);
                  simulation.silenceRunner(worker, duration);
                  holdUpAll(simulation, worker, duration + Recovery);
              }},
    OnceFault{"JobSentToOtherSchedulerWhileFirstIsFrozen",
              0,
              [](PoolSimulation &simulation, std::uint32_t, std::uint32_t scheduler) {
                  simulation.freezeScheduler(scheduler, randomDuration(simulation));
              }},
    OnceFault{"JobSentToOtherSchedulerAfterFirstWasKilled",
              0,
              [](PoolSimulation &simulation, std::uint32_t, std::uint32_t scheduler) {
                  simulation.killScheduler(scheduler);
              }},
    OnceFault{"JobSentToOtherSchedulerAfterFirstVanished",
              0,
              [](PoolSimulation &simulation, std::uint32_t, std::uint32_t scheduler) {
                  simulation.killSchedulerUnseenByGuards(scheduler);
              }},
    OnceFault{"JobSentToOtherSchedulerWhileCancelIsHeldUp",
              0,
              [](PoolSimulation &simulation, std::uint32_t worker, std::uint32_t scheduler) {
                  simulation.holdUpMessages(scheduler, worker, randomDuration(simulation));
                  for (const auto connection : simulation.openCallers()) {
                      if (simulation.random()() % 4 == 0) {
                          simulation.disconnectCaller(connection);
                      }
                  }
              }},
    OnceFault{"StopArrivesLateAfterBreakThatBothSaw",
              0.08,
              [](PoolSimulation &simulation, std::uint32_t, std::uint32_t) {
                  simulation.breakExchanges(0.2);
              }},
    OnceFault{"StopArrivesLateAfterBreakThatGuardSawLate",
              0.08,
              [](PoolSimulation &simulation, std::uint32_t, std::uint32_t) {
                  simulation.breakExchangesUnseenByGuard(0.2, randomDuration(simulation));
              }},
    OnceFault{"StartArrivesLateAtSilentRunner",
              0,
              [](PoolSimulation &simulation, std::uint32_t worker, std::uint32_t) {
                  simulation.silenceRunner(worker, randomDuration(simulation));
                  simulation.silenceRunner((worker + 1) % Workers, randomDuration(simulation));
              }},
    OnceFault{"StopArrivesLateAtSilentRunner",
              0,
              [](PoolSimulation &simulation, std::uint32_t worker, std::uint32_t) {
                  simulation.silenceRunner(worker, randomDuration(simulation));
                  simulation.breakExchanges(0.2);
              }},
    OnceFault{"GoodbyeOfEarlierBootArrivesWhileRunnerLives",
              0,
              [](PoolSimulation &simulation, std::uint32_t worker, std::uint32_t) {
                  simulation.deliverDelayedGoodbye(worker);
              }},
    OnceFault{"AnnouncementWithoutStartTimeArrivesWhileRunnerLives",
              0,
              [](PoolSimulation &simulation, std::uint32_t worker, std::uint32_t) {
                  simulation.deliverForeignAnnouncement(worker, 0);
              }},
    OnceFault{"AnnouncementOfLaterBootArrivesWhileRunnerLives",
              0,
              [](PoolSimulation &simulation, std::uint32_t worker, std::uint32_t) {
                  const auto laterBoot = std::chrono::duration_cast<milliseconds>(std::chrono::hours(1) + simulation.time());
                  simulation.deliverForeignAnnouncement(worker, laterBoot.count());
              }},
};

} // namespace

class PoolOnceTest : public testing::TestWithParam<OnceFault>
{
};

TEST_P(PoolOnceTest, HoldsInvariants)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        PoolSettings settings;
        settings.seed = seed;
        settings.schedulers = Schedulers;
        settings.workers = Workers;
        settings.lostOrders = GetParam().lostOrders;
        settings.callersResubmit = true;
        std::mt19937_64 runTimes(seed);
        settings.customizeRun = [&runTimes](const RunnerStart &start, RunnerRun &run) {
            const auto mean = std::stod(start.payload);
            run.endsAt += Duration(static_cast<std::int64_t>(mean * std::uniform_real_distribution<double>(0.5, 1.5)(runTimes)));
            run.outcome = runTimes() % 50 == 0 ? RunOutcome::Failed : RunOutcome::Done;
        };
        PoolSimulation simulation(settings);
        simulation.addLoad(loadOf("quick", 8, milliseconds(60), 15), seconds(1), FaultTime);
        simulation.addLoad(loadOf("heavy", 4, milliseconds(700), 6), seconds(1), FaultTime);
        // Still running when its scheduler places its tasks again.
        simulation.addLoad(loadOf("long", 2, milliseconds(2'500), 2), seconds(1), FaultTime);
        for (auto time = milliseconds(1'500); time < FaultTime; time += milliseconds(700)) {
            simulation.at(time, [&simulation] {
                const auto worker = static_cast<std::uint32_t>(simulation.random()() % Workers);
                const auto scheduler = static_cast<std::uint32_t>(simulation.random()() % Schedulers);
                GetParam().inject(simulation, worker, scheduler);
            });
        }
        simulation.runUntil(FaultTime + QuietTime);
        EXPECT_EQ(simulation.violations(), std::vector<std::string>()) << "seed " << seed;
        EXPECT_EQ(simulation.openCallerCount(), 0U) << "seed " << seed;
        for (std::uint32_t worker = 0; worker < Workers; ++worker) {
            EXPECT_EQ(simulation.runCount(worker), 0U) << "seed " << seed;
        }
        if (HasFailure()) {
            return;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Faults, PoolOnceTest, testing::ValuesIn(OnceFaults), [](const auto &test) { return test.param.name; });

} // namespace Sycamoremoor
