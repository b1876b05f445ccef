// Makes the jobs of the dispatch simulation from the mix of the capacity targets.
#include "simulation_workload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <random>
#include <string>

namespace Sycamoremoor
{

namespace
{

/** A kind of task: how long it runs and how wrong its declarations are. */
struct KindRow {
    const char *name;
    double medianSeconds;
    double declaredFactor; ///< declared over true run time, in the median
    double weight;         ///< share of the jobs that are mostly of this kind
};

/** The kind of the few tasks that run for several seconds; any job may have some. */
constexpr KindRow LongKind{"full-survey", 3.0, 0.3, 0};
constexpr double LongTaskShare = 0.015;

constexpr std::array KindTable{
    KindRow{"wear-scan", 0.05, 4.0, 2},
    KindRow{"hoop-check", 0.08, 0.2, 2},
    KindRow{"film-grade", 0.12, 1.0, 2},
    KindRow{"adhesive-test", 0.2, 8.0, 2},
    KindRow{"price-batch", 0.3, 0.5, 2},
    KindRow{"route-plan", 0.5, 0.1, 1},
    KindRow{"book-run", 0.8, 3.0, 1},
};

/** How many tasks a job has: a share of the jobs and a range. */
struct JobSizeRow {
    double weight;
    std::size_t least;
    std::size_t most;
};

constexpr std::array JobSizeTable{
    JobSizeRow{0.35, 1, 1},
    JobSizeRow{0.35, 2, 10},
    JobSizeRow{0.25, 11, 60},
    JobSizeRow{0.05, 61, 300},
};

constexpr double RunTimeSigma = 0.35;    ///< of the logarithm, within a kind
constexpr double DeclarationSigma = 0.5; ///< of the logarithm, from task to task
constexpr double OtherKindShare = 0.15;  ///< tasks of a job that are not of its main kind
constexpr double BurstShare = 0.02;      ///< arrivals that bring a burst
constexpr std::size_t BurstJobs = 8;     ///< jobs of a burst
constexpr double LongestRunSeconds = 8;
constexpr double ShortestRunSeconds = 0.02;

Duration fromSeconds(double seconds)
{
    return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

template<typename Table>
std::size_t drawRow(const Table &table, std::mt19937_64 &random)
{
    std::vector<double> weights;
    weights.reserve(table.size());
    for (const auto &row : table) {
        weights.push_back(row.weight);
    }
    return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
}

void addTask(const KindRow &kind, const WorkloadSettings &settings, std::mt19937_64 &random, JobSpec &spec, WorkloadJob &job)
{
    const double run = kind.medianSeconds * std::lognormal_distribution<double>(0, RunTimeSigma)(random);
    const double declared = run * kind.declaredFactor * std::lognormal_distribution<double>(0, DeclarationSigma)(random);
    const auto runTime = fromSeconds(std::clamp(run, ShortestRunSeconds, LongestRunSeconds));
    TaskSpec task;
    task.kind = TaskKind(kind.name);
    task.declaredRunTime = settings.exactDeclarations ? runTime : fromSeconds(declared);
    spec.tasks.push_back(std::move(task));
    job.runTimes.push_back(runTime);
}

WorkloadJob makeJob(const WorkloadSettings &settings, std::uint64_t number, std::mt19937_64 &random)
{
    auto spec = std::make_shared<JobSpec>();
    spec->key = SubmissionKey(number, random());
    spec->service = ServiceName("reclaim-desk");
    spec->deadline = settings.deadline;
    spec->team = TeamName("team-" + std::to_string(number % settings.teams));
    const auto &size = JobSizeTable.at(drawRow(JobSizeTable, random));
    const auto tasks = std::uniform_int_distribution<std::size_t>(size.least, size.most)(random);
    const auto &mainKind = KindTable.at(drawRow(KindTable, random));
    WorkloadJob job;
    for (std::size_t index = 0; index < tasks; ++index) {
        const auto draw = std::uniform_real_distribution<double>(0, 1)(random);
        const auto &otherKind = KindTable.at(drawRow(KindTable, random));
        const auto &kind = draw < LongTaskShare ? LongKind : draw < LongTaskShare + OtherKindShare ? otherKind : mainKind;
        addTask(kind, settings, random, *spec, job);
    }
    job.spec = std::move(spec);
    return job;
}

} // namespace

Duration WorkloadJob::work() const
{
    return std::accumulate(runTimes.begin(), runTimes.end(), Duration::zero());
}

Duration WorkloadJob::longest() const
{
    return *std::ranges::max_element(runTimes);
}

std::vector<WorkloadJob> makeWorkload(const WorkloadSettings &settings)
{
    std::mt19937_64 random(settings.seed);
    std::vector<WorkloadJob> jobs;
    Duration work{};
    for (std::uint64_t number = 0; number < settings.jobs; ++number) {
        jobs.push_back(makeJob(settings, number, random));
        work += jobs.back().work();
    }
    const double span = static_cast<double>(work.count()) / (static_cast<double>(settings.slots) * settings.load);
    const double jobsPerArrival = 1 + BurstShare * (BurstJobs - 1);
    std::exponential_distribution<double> gap(static_cast<double>(settings.jobs) / (span * jobsPerArrival));
    MonotonicTime now{std::chrono::hours(1)};
    std::size_t burstLeft = 0;
    for (auto &job : jobs) {
        if (burstLeft > 0) {
            --burstLeft;
        } else {
            now += Duration(static_cast<std::int64_t>(gap(random)));
            burstLeft = std::uniform_real_distribution<double>(0, 1)(random) < BurstShare ? BurstJobs - 1 : 0;
        }
        job.arrival = now;
    }
    return jobs;
}

} // namespace Sycamoremoor
