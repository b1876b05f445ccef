// Faults that may let a task run twice, and the load that they meet.
#pragma once

#include "pool_simulation.h"

#include <array>
#include <string>

namespace Sycamoremoor
{

inline constexpr std::uint64_t Seeds = 15; ///< each takes seconds in a build with sanitizers
inline constexpr std::uint32_t Schedulers = 3;
inline constexpr std::uint32_t Workers = 5;
inline constexpr Duration FaultTime = std::chrono::seconds(8);
inline constexpr Duration QuietTime = std::chrono::seconds(20); ///< longer than any job waits for its end
inline constexpr Duration ShortestFault = std::chrono::milliseconds(300);
inline constexpr Duration LongestFault = std::chrono::milliseconds(4'000);
inline constexpr Duration Recovery = std::chrono::milliseconds(300);      ///< until a guard gives a runner that answers again new work
inline constexpr Duration Retransmission = std::chrono::milliseconds(20); ///< from the end of a fault until messages arrive again

inline PoolLoad loadOf(const char *name, std::uint32_t tasks, Duration runTime, double jobsPerSecond)
{
    PoolLoad load;
    load.queue.name = QueueName(name);
    load.queue.service = ServiceName("service");
    load.queue.maxAttempts = 2;
    load.queue.stretch = 1.6;
    load.queue.latencyAllowance = std::chrono::milliseconds(60);
    load.tasks = tasks;
    load.runTime = runTime;
    load.jobsPerSecond = jobsPerSecond;
    load.estimateError = 0.4;
    return load;
}

inline Duration randomDuration(PoolSimulation &simulation)
{
    return Duration(std::uniform_int_distribution<std::int64_t>(ShortestFault.count(), LongestFault.count())(simulation.random()));
}

inline void holdUpAll(PoolSimulation &simulation, std::uint32_t worker, Duration duration)
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

inline constexpr std::array OnceFaults{
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
    OnceFault{"JobSentToOtherSchedulerAfterFirstVanishedAndGuardsFroze",
              0,
              [](PoolSimulation &simulation, std::uint32_t worker, std::uint32_t scheduler) {
                  simulation.killSchedulerUnseenByGuards(scheduler);
                  // Shortly before the leases of its batches end.
                  simulation.at(simulation.time() + std::chrono::milliseconds(800), [&simulation, worker] {
                      for (std::uint32_t number = 0; number < 3; ++number) {
                          simulation.freezeGuard((worker + number) % Workers, std::chrono::milliseconds(1'500));
                      }
                  });
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
    OnceFault{"JobSentAgainAtOnceToSameScheduler",
              0,
              [](PoolSimulation &simulation, std::uint32_t, std::uint32_t) {
                  for (const auto connection : simulation.openCallers()) {
                      if (simulation.random()() % 4 == 0) {
                          simulation.reconnectCaller(connection);
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
    OnceFault{"RunGoesOnBehindPathThatResetsAndRefuses",
              0,
              [](PoolSimulation &simulation, std::uint32_t worker, std::uint32_t) {
                  simulation.breakPathToRunner(worker, randomDuration(simulation));
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
                  const auto laterBoot = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::hours(1) + simulation.time());
                  simulation.deliverForeignAnnouncement(worker, laterBoot.count());
              }},
};

/** Returns the settings of a simulation for a fault. */
inline PoolSettings onceSettingsOf(const OnceFault &fault, std::uint64_t seed)
{
    PoolSettings settings;
    settings.seed = seed;
    settings.schedulers = Schedulers;
    settings.workers = Workers;
    settings.lostOrders = fault.lostOrders;
    settings.callersResubmit = true;
    settings.customizeRun = [runTimes = std::mt19937_64(seed)](const RunnerStart &start, RunnerRun &run) mutable {
        const auto mean = std::stod(start.payload);
        run.endsAt += Duration(static_cast<std::int64_t>(mean * std::uniform_real_distribution<double>(0.5, 1.5)(runTimes)));
        run.outcome = runTimes() % 50 == 0 ? RunOutcome::Failed : RunOutcome::Done;
    };
    return settings;
}

/** Schedules the load and the injections of a fault until FaultTime. */
inline void addOnceFault(PoolSimulation &simulation, const OnceFault &fault)
{
    simulation.addLoad(loadOf("quick", 8, std::chrono::milliseconds(60), 15), std::chrono::seconds(1), FaultTime);
    simulation.addLoad(loadOf("heavy", 4, std::chrono::milliseconds(700), 6), std::chrono::seconds(1), FaultTime);
    // Still running when its scheduler places its tasks again.
    simulation.addLoad(loadOf("long", 2, std::chrono::milliseconds(2'500), 2), std::chrono::seconds(1), FaultTime);
    for (Duration time = std::chrono::milliseconds(1'500); time < FaultTime; time += std::chrono::milliseconds(700)) {
        simulation.at(time, [&simulation, &fault] {
            const auto worker = static_cast<std::uint32_t>(simulation.random()() % Workers);
            const auto scheduler = static_cast<std::uint32_t>(simulation.random()() % Schedulers);
            fault.inject(simulation, worker, scheduler);
        });
    }
}

} // namespace Sycamoremoor
