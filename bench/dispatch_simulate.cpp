// Prints response over ideal of the dispatcher's policy and of the baseline, from the offline simulation.
// Usage: dispatch_simulate [JOBS]
#include "dispatch_simulation.h"
#include "ideal_bound.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace Sycamoremoor
{

namespace
{

constexpr Duration CallerHop = std::chrono::milliseconds(3);
constexpr std::uint32_t NoBound = 1'000'000'000;

/** A deployment as sized in the capacity targets. */
struct DeploymentRow {
    const char *name;
    std::size_t zones;
    Duration oneWay;
};

constexpr std::array DeploymentTable{
    DeploymentRow{"sk-west", 4, Duration(500)},
    DeploymentRow{"sul", 3, Duration(1'500)},
};

/** A policy to compare. */
struct PolicyRow {
    const char *name;
    bool baseline;  ///< random worker, queue at the runner
    bool roundTrip; ///< else messages take no time: what hiding the round trip could gain at most
};

constexpr std::array PolicyTable{
    PolicyRow{"standard", false, true},
    PolicyRow{"standard, no round trip", false, false},
    PolicyRow{"baseline", true, true},
};

constexpr std::array Loads{0.7, 0.95};

ConfigSet makeConfig(std::uint32_t agentQueue, std::size_t teams)
{
    ConfigSet config;
    auto &service = config.services[ServiceName("reclaim-desk")];
    service.name = ServiceName("reclaim-desk");
    for (std::size_t team = 0; team < teams; ++team) {
        const TeamName name("team-" + std::to_string(team));
        config.teams[name] = {name};
    }
    config.policy.agentQueue = agentQueue;
    return config;
}

double quantile(std::vector<double> &sorted, double share)
{
    return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

void printRow(const char *deployment, const char *policy, double load, const SimulationResult &result, const std::vector<Duration> &ideal)
{
    std::vector<double> ratios;
    std::size_t failed = 0;
    for (std::size_t job = 0; job < ideal.size(); ++job) {
        if (result.jobs[job].error != ErrorKind::None) {
            ++failed;
            continue;
        }
        const auto hops = 2 * CallerHop;
        ratios.push_back(static_cast<double>((result.jobs[job].response + hops).count())
                         / static_cast<double>((ideal[job] + hops).count()));
    }
    std::ranges::sort(ratios);
    std::printf("| %s | %s | %.2f | %.3f | %.3f | %.3f | %.1f | %zu |\n",
                deployment,
                policy,
                load,
                quantile(ratios, 0.5),
                quantile(ratios, 0.9),
                quantile(ratios, 0.99),
                ratios.empty() ? 0 : ratios.back(),
                failed);
}

void run(std::size_t jobs)
{
    std::printf("| deployment | policy | load | p50 | p90 | p99 | max | not complete of %zu |\n", jobs);
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const auto &deployment : DeploymentTable) {
        for (const auto load : Loads) {
            WorkloadSettings workload;
            workload.jobs = jobs;
            workload.load = load;

            const auto work = makeWorkload(workload);
            const auto ideal = idealResponses(work, workload.slots);
            for (const auto &policy : PolicyTable) {
                SimulationSettings settings;
                settings.zones = deployment.zones;
                settings.oneWay = policy.roundTrip ? deployment.oneWay : Duration::zero();
                settings.oneWayOwnZone = policy.roundTrip ? settings.oneWayOwnZone : Duration::zero();
                settings.config = makeConfig(policy.baseline ? NoBound : ConfigSet().policy.agentQueue, workload.teams);
                if (policy.baseline) {
                    settings.hooks.chooseWorker = [](const std::vector<AgentName> & /*candidates*/, std::uint64_t entropy) {
                        return static_cast<std::size_t>(entropy >> 8U);
                    };
                }
                printRow(deployment.name, policy.name, load, simulate(settings, work), ideal);
            }
        }
    }
}

SimulationSettings sulSettings(const WorkloadSettings &workload)
{
    const auto &deployment = DeploymentTable.back();
    SimulationSettings settings;
    settings.zones = deployment.zones;
    settings.oneWay = deployment.oneWay;
    settings.config = makeConfig(ConfigSet().policy.agentQueue, workload.teams);
    return settings;
}

/** One worker fails everything at once, with and without ejection. */
void runFailingWorker(std::size_t jobs)
{
    std::printf(
        "\n| one worker fails all | load | failed tasks | jobs not complete of %zu | ejections |\n| --- | --- | --- | --- | --- |\n", jobs);
    WorkloadSettings workload;
    workload.jobs = jobs;
    const auto work = makeWorkload(workload);
    for (const bool ejects : {false, true}) {
        auto settings = sulSettings(workload);
        settings.config.policy.ejectAfterFailures = ejects ? settings.config.policy.ejectAfterFailures : NoBound;
        settings.config.policy.maxEjectedPercent = ejects ? settings.config.policy.maxEjectedPercent : 0;
        settings.outcome = [](std::size_t worker, const TaskId & /*task*/) {
            return worker == 1 ? PlacementEnd::Kind::Failed : PlacementEnd::Kind::Succeeded;
        };
        const auto result = simulate(settings, work);
        const auto failed = std::ranges::count_if(result.jobs, [](const JobOutcome &job) { return job.error != ErrorKind::None; });
        std::printf("| %s | %.2f | %llu | %td | %u |\n",
                    ejects ? "set aside" : "not set aside",
                    workload.load,
                    static_cast<unsigned long long>(result.failedTasks),
                    failed,
                    result.ejections);
    }
}

/** Goodput below, at and above capacity: work of jobs that completed in time over what the slots can do while jobs arrive. */
void runOverload(std::size_t jobs)
{
    std::printf("\n| load | goodput | complete | refused | late or expired | wasted work | most queued |\n| --- | --- | --- | --- | --- | "
                "--- | --- |\n");
    for (const double load : {0.7, 0.95, 1.0, 1.5, 2.0, 3.0}) {
        WorkloadSettings workload;
        workload.jobs = jobs;
        workload.load = load;
        const auto work = makeWorkload(workload);
        const auto result = simulate(sulSettings(workload), work);
        const auto span = work.back().arrival - work.front().arrival;
        const auto capacity = static_cast<double>(span.count()) * static_cast<double>(workload.slots);
        std::size_t complete = 0;
        std::size_t refused = 0;
        for (const auto &job : result.jobs) {
            complete += job.error == ErrorKind::None ? 1 : 0;
            refused += job.error != ErrorKind::None && job.response == Duration::zero() ? 1 : 0;
        }
        std::printf("| %.2f | %.3f | %zu | %zu | %zu | %.3f | %u |\n",
                    load,
                    static_cast<double>(result.usefulWork) / capacity,
                    complete,
                    refused,
                    result.jobs.size() - complete - refused,
                    static_cast<double>(result.wastedWork) / capacity,
                    result.mostQueued);
    }
}

} // namespace

} // namespace Sycamoremoor

int main(int argc, char **argv)
{
    constexpr std::size_t DefaultJobs = 20'000;
    const auto jobs = argc > 1 ? static_cast<std::size_t>(std::strtoul(argv[1], nullptr, 10)) : DefaultJobs;
    Sycamoremoor::run(jobs);
    Sycamoremoor::runFailingWorker(jobs);
    Sycamoremoor::runOverload(jobs);
    return 0;
}
