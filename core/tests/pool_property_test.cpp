// Invariants of schedulers and guards under random faults, such as that a task never runs on two workers at once.
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

constexpr std::uint64_t Seeds = 25; ///< each takes seconds in a build with sanitizers
constexpr Duration FaultTime = seconds(8);
constexpr Duration QuietTime = seconds(20);

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

/** A kind of fault, injected into random schedulers and workers. */
struct PoolFault {
    const char *name;
    double lostOrders;
    void (*inject)(PoolSimulation &simulation, std::uint32_t worker, std::uint32_t scheduler);
};

constexpr std::array PoolFaults{
    PoolFault{"None",
              0,
              [](PoolSimulation &, std::uint32_t, std::uint32_t) {
              }},
    PoolFault{"LostOrders",
              0.08,
              [](PoolSimulation &, std::uint32_t, std::uint32_t) {
              }},
    PoolFault{"BrokenExchanges",
              0.03,
              [](PoolSimulation &simulation, std::uint32_t, std::uint32_t) {
                  simulation.breakExchanges(0.4);
              }},
    PoolFault{"KilledSchedulers",
              0.03,
              [](PoolSimulation &simulation, std::uint32_t, std::uint32_t scheduler) {
                  simulation.killScheduler(scheduler);
              }},
    PoolFault{"KilledGuards",
              0.03,
              [](PoolSimulation &simulation, std::uint32_t worker, std::uint32_t) {
                  simulation.killGuard(worker);
              }},
    PoolFault{"CrashedRunners",
              0.03,
              [](PoolSimulation &simulation, std::uint32_t worker, std::uint32_t) {
                  simulation.crashRunner(worker);
              }},
    PoolFault{"CallersHangUp",
              0.03,
              [](PoolSimulation &simulation, std::uint32_t, std::uint32_t) {
                  for (const auto connection : simulation.openCallers()) {
                      simulation.disconnectCaller(connection);
                  }
              }},
};

} // namespace

class PoolFaultTest : public testing::TestWithParam<PoolFault>
{
};

TEST_P(PoolFaultTest, HoldsInvariants)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        PoolSettings settings;
        settings.seed = seed;
        settings.workers = 5;
        settings.lostOrders = GetParam().lostOrders;
        std::mt19937_64 runTimes(seed);
        settings.customizeRun = [&runTimes](const RunnerStart &start, RunnerRun &run) {
            const auto mean = std::stod(start.payload);
            run.endsAt += Duration(static_cast<std::int64_t>(mean * std::uniform_real_distribution<double>(0.5, 1.5)(runTimes)));
            run.outcome = runTimes() % 50 == 0 ? RunOutcome::Failed : RunOutcome::Done;
        };
        PoolSimulation simulation(settings);
        simulation.addLoad(loadOf("quick", 8, milliseconds(60), 15), seconds(1), FaultTime);
        simulation.addLoad(loadOf("heavy", 4, milliseconds(700), 6), seconds(1), FaultTime);
        for (auto time = milliseconds(1'500); time < FaultTime; time += milliseconds(700)) {
            simulation.at(time, [&simulation, &settings] {
                const auto worker = static_cast<std::uint32_t>(simulation.random()() % settings.workers);
                const auto scheduler = static_cast<std::uint32_t>(simulation.random()() % settings.schedulers);
                GetParam().inject(simulation, worker, scheduler);
            });
        }
        simulation.runUntil(FaultTime + QuietTime);
        EXPECT_EQ(simulation.violations(), std::vector<std::string>()) << "seed " << seed;
        EXPECT_EQ(simulation.openCallerCount(), 0U) << "seed " << seed;
        for (std::uint32_t worker = 0; worker < settings.workers; ++worker) {
            EXPECT_EQ(simulation.runCount(worker), 0U) << "seed " << seed;
        }
        if (HasFailure()) {
            return;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Faults, PoolFaultTest, testing::ValuesIn(PoolFaults), [](const auto &test) { return test.param.name; });

} // namespace Sycamoremoor
