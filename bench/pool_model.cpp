// Simulates schedulers and guards at the size of a deployment, and prints what callers get and what it costs.
// Usage: pool_model [--schedulers=N] [--workers=N] [--load=X] [--seconds=N] [--burst=X] [--thin=X] [--followed=N] [--zones=N] [--cores=N] [--seed=N] [--free]
#include "../core/tests/pool_simulation.h"

#include <getopt.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace Sycamoremoor
{

namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration LoadFrom = seconds(2);

/** Processor time on an eighth of a core. */
constexpr SchedulerCosts ThinCosts{microseconds(200), microseconds(400), microseconds(600), microseconds(400)};
constexpr double WideFactor = 0.25; ///< of the costs, on half a core

/** A kind of job; rates are for one worker, and tasks of one core. */
struct JobKind {
    const char *name;
    std::uint32_t tasks;
    Duration runTime;
    double jobsPerSecond;
    std::uint32_t priority;
};

constexpr std::array JobKinds{
    JobKind{"quick", 8, milliseconds(60), 10.6, 0},
    JobKind{"middle", 2, milliseconds(200), 30.8, 1},
    JobKind{"heavy", 4, milliseconds(900), 2.4, 2},
};

struct ModelSettings {
    std::uint32_t schedulers = 55;
    std::uint32_t workers = 240;
    double load = 1;
    double burst = 1;
    double thinShare = 0.67;
    std::int64_t milliCores = 7'600; ///< of a task
    int seconds = 6;
    std::uint64_t seed = 1;
    std::uint32_t followed = 1'000'000; ///< workers that a scheduler follows
    std::uint32_t zones = 6;
    bool isFree = false; ///< messages take no processor time
};

PoolLoad loadOf(const JobKind &kind, std::int64_t milliCores, double jobsPerSecond)
{
    PoolLoad load;
    load.queue.name = QueueName(kind.name);
    load.queue.service = ServiceName("service");
    load.queue.priority = kind.priority;
    load.queue.maxAttempts = 4;
    load.queue.stretch = 1.6;
    load.queue.latencyAllowance = milliseconds(60);
    load.cores = MilliCores(milliCores);
    load.coresDeviation = 0.2;
    load.tasks = kind.tasks;
    load.runTime = kind.runTime;
    load.estimateError = 0.4;
    load.logDeviation = 0.4;
    load.jobsPerSecond = jobsPerSecond;
    return load;
}

PoolSettings poolSettings(const ModelSettings &model)
{
    PoolSettings settings;
    settings.seed = model.seed;
    settings.schedulers = model.schedulers;
    settings.workers = model.workers;
    settings.followedWorkers = model.followed;
    settings.zones = model.zones;
    settings.capacity = {MilliCores(32'000), Megabytes(65'536), Accelerators(0)};
    settings.capacityFactor = [](std::uint32_t worker) {
        return worker % 3 == 2 ? 1.5 : 1.0;
    };
    if (!model.isFree) {
        settings.schedulerCosts = ThinCosts;
        settings.costFactor = [model](std::uint32_t scheduler) {
            return scheduler < static_cast<std::uint32_t>(model.thinShare * model.schedulers) ? 1.0 : WideFactor;
        };
    } else {
        settings.schedulerCosts.batch = microseconds(1); // still read by rounds
    }
    settings.customizeRun = [](const RunnerStart &start, RunnerRun &run) {
        run.endsAt += Duration(std::stol(start.payload));
    };
    return settings;
}

void run(const ModelSettings &model)
{
    PoolSimulation pool(poolSettings(model));
    const auto until = LoadFrom + seconds(model.seconds);
    for (const auto &kind : JobKinds) {
        const auto rate = kind.jobsPerSecond * model.workers * model.load * 1'000 / static_cast<double>(model.milliCores);
        pool.addLoad(loadOf(kind, model.milliCores, rate), LoadFrom, until);
        if (model.burst > 1) {
            pool.addLoad(loadOf(kind, model.milliCores, rate * (model.burst - 1)), LoadFrom + seconds(2), LoadFrom + seconds(4));
        }
    }
    pool.runUntil(until + seconds(4));
    std::printf("%u schedulers, %u workers, load %.2f, burst %.2f, seed %llu%s\n",
                model.schedulers,
                model.workers,
                model.load,
                model.burst,
                static_cast<unsigned long long>(model.seed),
                model.isFree ? ", no processor time" : "");
    for (const auto &kind : JobKinds) {
        const auto &counts = pool.jobCounts(QueueName(kind.name));
        std::printf("  %-7s sent %6u in time %.3f late %5u refused %5u lost %5u\n",
                    kind.name,
                    counts.sent,
                    counts.onTimeShare(),
                    counts.late,
                    counts.refused,
                    counts.lost);
    }
    auto waits = pool.guardWaits();
    std::ranges::sort(waits);
    const auto quantile = [&waits](double share) {
        const auto index = static_cast<std::size_t>(share * static_cast<double>(waits.size() - 1));
        return waits.empty() ? 0.0 : static_cast<double>(waits[index].count()) / 1'000;
    };
    std::printf("  waits at guards, ms: half %.1f, 90%% %.1f, 95%% %.1f, 99%% %.1f; starts %zu\n",
                quantile(0.5),
                quantile(0.9),
                quantile(0.95),
                quantile(0.99),
                waits.size());
    SchedulerUsage sum;
    double mostBusy = 0;
    const auto simulated = std::chrono::duration<double>(until - LoadFrom).count();
    for (std::uint32_t scheduler = 0; scheduler < model.schedulers; ++scheduler) {
        const auto &usage = pool.usage(scheduler);
        sum.reports += usage.reports;
        sum.decoded += usage.decoded;
        sum.batches += usage.batches;
        sum.renewals += usage.renewals;
        sum.runReports += usage.runReports;
        sum.busy += usage.busy;
        mostBusy = std::max(mostBusy, std::chrono::duration<double>(usage.busy).count() / simulated);
    }
    const auto perSecond = 1 / (simulated * model.schedulers);
    std::printf(
        "  each scheduler, a second: reports %.0f, decoded %.0f, batches %.0f, renewals %.0f, run reports %.0f; busy %.2f, most %.2f\n",
        static_cast<double>(sum.reports) * perSecond,
        static_cast<double>(sum.decoded) * perSecond,
        static_cast<double>(sum.batches) * perSecond,
        static_cast<double>(sum.renewals) * perSecond,
        static_cast<double>(sum.runReports) * perSecond,
        std::chrono::duration<double>(sum.busy).count() * perSecond,
        mostBusy);
    for (std::size_t violation = 0; violation < std::min<std::size_t>(3, pool.violations().size()); ++violation) {
        std::printf("  violated: %s\n", pool.violations()[violation].c_str());
    }
}

ModelSettings readOptions(int argc, char **argv)
{
    constexpr std::array Options{
        option{"schedulers", required_argument, nullptr, 's'},
        option{"workers", required_argument, nullptr, 'w'},
        option{"load", required_argument, nullptr, 'l'},
        option{"followed", required_argument, nullptr, 'n'},
        option{"zones", required_argument, nullptr, 'z'},
        option{"burst", required_argument, nullptr, 'b'},
        option{"thin", required_argument, nullptr, 't'},
        option{"cores", required_argument, nullptr, 'c'},
        option{"seconds", required_argument, nullptr, 'd'},
        option{"seed", required_argument, nullptr, 'r'},
        option{"free", no_argument, nullptr, 'f'},
        option{nullptr, 0, nullptr, 0},
    };
    ModelSettings model;
    for (int found = 0; (found = getopt_long(argc, argv, "", Options.data(), nullptr)) != -1;) { // NOLINT(concurrency-mt-unsafe)
        switch (found) {
        case 's':
            model.schedulers = static_cast<std::uint32_t>(std::stoul(optarg));
            break;
        case 'w':
            model.workers = static_cast<std::uint32_t>(std::stoul(optarg));
            break;
        case 'l':
            model.load = std::stod(optarg);
            break;
        case 'n':
            model.followed = static_cast<std::uint32_t>(std::stoul(optarg));
            break;
        case 'z':
            model.zones = static_cast<std::uint32_t>(std::stoul(optarg));
            break;
        case 'b':
            model.burst = std::stod(optarg);
            break;
        case 't':
            model.thinShare = std::stod(optarg);
            break;
        case 'c':
            model.milliCores = std::stol(optarg);
            break;
        case 'd':
            model.seconds = std::stoi(optarg);
            break;
        case 'r':
            model.seed = std::stoull(optarg);
            break;
        case 'f':
            model.isFree = true;
            break;
        default:
            std::exit(2); // NOLINT(concurrency-mt-unsafe)
        }
    }
    return model;
}

} // namespace

} // namespace Sycamoremoor

int main(int argc, char **argv)
{
    Sycamoremoor::run(Sycamoremoor::readOptions(argc, argv));
    return 0;
}
