// Plans of loads: seeded arrivals, job sizes and run times.
#include "load_type.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

namespace Sycamoremoor
{

namespace
{

using Random = std::mt19937_64;

constexpr double ShortLeastMs = 50;
constexpr double ShortMostMs = 1'000;
constexpr double LongLeastMs = 2'000;
constexpr double LongMostMs = 5'000;
constexpr double LongShare = 0.03;
constexpr double NonIdempotentShare = 0.05;
constexpr double DeclarationSpread = 0.7; ///< standard deviation of the logarithm of declared over real run time
constexpr Duration BurstPeriod = std::chrono::seconds(5);
constexpr Duration BurstLength = std::chrono::milliseconds(500);
constexpr std::int64_t ImpossibleMilliCores = 900'000;

/** Sizes of jobs and how often they come. */
struct JobSizeRow {
    double share;
    std::size_t least;
    std::size_t most;
};

constexpr std::array JobSizeTable{JobSizeRow{0.5, 1, 4}, JobSizeRow{0.4, 5, 16}, JobSizeRow{0.1, 17, 60}};

double draw(Random &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

std::int64_t drawWhole(Random &random, std::int64_t least, std::int64_t most)
{
    return std::uniform_int_distribution<std::int64_t>(least, most)(random);
}

double drawRunTimeMs(Random &random)
{
    if (draw(random) < LongShare) {
        return LongLeastMs + ((LongMostMs - LongLeastMs) * draw(random));
    }
    return ShortLeastMs * std::pow(ShortMostMs / ShortLeastMs, draw(random));
}

double meanRunTimeMs()
{
    const auto shortMean = (ShortMostMs - ShortLeastMs) / std::log(ShortMostMs / ShortLeastMs);
    return ((1 - LongShare) * shortMean) + (LongShare * (LongLeastMs + LongMostMs) / 2);
}

double meanTasks()
{
    double mean = 0;
    for (const auto &[share, least, most] : JobSizeTable) {
        mean += share * static_cast<double>(least + most) / 2;
    }
    return mean;
}

std::size_t drawTasks(Random &random)
{
    auto left = draw(random);
    for (const auto &[share, least, most] : JobSizeTable) {
        if (left < share) {
            return static_cast<std::size_t>(drawWhole(random, static_cast<std::int64_t>(least), static_cast<std::int64_t>(most)));
        }
        left -= share;
    }
    return JobSizeTable.back().most;
}

PlannedTask drawTask(Random &random)
{
    const auto runTimeMs = std::round(drawRunTimeMs(random));
    const auto declaredMs = runTimeMs * std::lognormal_distribution<double>(0, DeclarationSpread)(random);
    PlannedTask task;
    task.runTime = std::chrono::milliseconds(static_cast<std::int64_t>(runTimeMs));
    task.declaredRunTime = std::chrono::milliseconds(static_cast<std::int64_t>(declaredMs) + 1);
    task.milliCores = drawWhole(random, 500, 2'000);
    task.megabytes = drawWhole(random, 256, 2'048);
    task.idempotent = draw(random) >= NonIdempotentShare;
    return task;
}

bool isInBurst(Duration at)
{
    return at % BurstPeriod < BurstLength;
}

} // namespace

std::vector<PlannedJob> planLoad(const LoadSettings &settings)
{
    Random random(settings.seed);
    const auto burstShare = static_cast<double>(BurstLength.count()) / static_cast<double>(BurstPeriod.count());
    const auto workPerSecond = settings.load * static_cast<double>(settings.slots) * 1'000;
    const auto jobsPerSecond = workPerSecond / (meanTasks() * meanRunTimeMs());
    const auto calmRate = jobsPerSecond / (1 + (burstShare * (settings.burstFactor - 1)));
    std::vector<PlannedJob> plan;
    for (Duration at{}; at < settings.length;) {
        const auto rate = calmRate * (isInBurst(at) ? settings.burstFactor : 1);
        at += Duration(static_cast<std::int64_t>(std::exponential_distribution<double>(rate)(random) * 1e6));
        PlannedJob job;
        job.at = at;
        job.tasks.resize(drawTasks(random));
        std::generate(job.tasks.begin(), job.tasks.end(), [&random] { return drawTask(random); });
        job.resubmitted = draw(random) < settings.resubmitShare;
        job.cancelled = draw(random) < settings.cancelShare;
        job.impossible = draw(random) < settings.impossibleShare;
        if (job.impossible) {
            job.tasks.front().milliCores = ImpossibleMilliCores;
        }
        plan.push_back(std::move(job));
    }
    return plan;
}

} // namespace Sycamoremoor
