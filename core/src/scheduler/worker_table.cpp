// Workers as a scheduler knows them: free capacity, health, and the choice of a worker for a task.
#include "worker_table.h"

#include "fraction_func.h"
#include "worker_speed_func.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr double SlownessWeight = 0.3;        ///< weight of a new run in the moving mean: a change shows after five runs
constexpr double SlownessHalfLifeSeconds = 2; ///< decay of slowness while there are no runs; slow phases of upstreams last some seconds
constexpr double MaxSlowness = 16;
constexpr std::uint32_t FailuresToEject = 3; ///< consecutive, of different jobs: a single job that always fails must not eject a worker
constexpr Duration FirstEjectionTime = std::chrono::milliseconds(1000); ///< an upstream on which all runs fail does so for some seconds
constexpr std::uint32_t MaxEjectionDoublings = 3;                       ///< limit of the exponential increase of the ejection time
constexpr double DataLocalityBonus = 1.5; ///< factor by which a run takes longer on another rack than that of its data
constexpr double ScorePower = 4;          ///< of the free share in the weight of a worker: most of the choices are among the freest

constexpr double MaxStragglerRatio
    = 2; ///< that one run counts for where guards measure the speed: a straggler says little about the worker
constexpr Duration SlowLogInterval = std::chrono::seconds(10); ///< shortest time between two log lines about the speed of one worker

constexpr std::int64_t ClockDriftDivisor = 50; ///< two clocks drift apart by at most 2%

double currentSlowness(MonotonicTime now, const WorkerHealth &health)
{
    const std::chrono::duration<double> age = now - health.slownessAt;
    return 1 + (health.slowness - 1) * std::exp2(-age.count() / SlownessHalfLifeSeconds);
}

/** Returns whether a worker was ejected and has had no successful run since: when readmitted, it gets one task at a time. */
bool isOnTrial(const WorkerHealth &health)
{
    return health.ejections > 0;
}

/** Returns the total size of the tasks that may be sent to a worker now. @param queueShare of its cores that may be used beyond what is free */
TaskSize offeredCapacity(const ScheduledWorker &worker, double queueShare)
{
    auto offered = worker.report.free - worker.uncountedSize;
    offered.cores += MilliCores(static_cast<std::int64_t>(static_cast<double>(worker.report.capacity.cores.value()) * queueShare));
    return offered;
}

/** Returns the least by which the guard's clock is ahead of the scheduler's at @p now. */
Duration currentClockLead(MonotonicTime now, const ScheduledWorker &worker)
{
    return worker.clockLead - (now - worker.clockLeadAt) / ClockDriftDivisor;
}

/** Returns whether a worker accepts tasks. */
bool accepts(const ScheduledWorker &worker)
{
    return worker.isReporting && worker.report.accepting && !worker.isEvacuated;
}

/** Returns whether a worker accepts tasks of @p service. */
bool serves(const ScheduledWorker &worker, const ServiceName &service)
{
    return accepts(worker) && worker.report.service == service;
}

bool hasLabel(const CapacityReport &report, const std::string &label)
{
    return std::ranges::find(report.labels, label) != report.labels.end();
}

} // namespace

void WorkerTable::handleReport(MonotonicTime now, const CapacityReported &input)
{
    auto &worker = m_workers[input.agent];
    const bool isNewIncarnation = worker.report.incarnation != input.report.incarnation;
    if (input.report.clock != GuardTime(0) || isNewIncarnation) {
        // A report that was on its way for long says less about the clock than an earlier one.
        const auto clockLead = Duration(input.report.clock.value()) - now.time_since_epoch();
        worker.clockLead = isNewIncarnation ? clockLead : std::max(clockLead, currentClockLead(now, worker));
        worker.clockLeadAt = now;
    }
    if (isNewIncarnation) {
        worker.uncountedBatches.clear();
        worker.uncountedSize = ZeroTaskSize;
        worker.health = {};
    }
    const bool isComparedAnew
        = !worker.isReporting || worker.report.service != input.report.service || worker.report.runTimeRatio != input.report.runTimeRatio;
    worker.report = input.report;
    worker.isReporting = true;
    worker.zone = input.zone;
    worker.isEvacuated = m_evacuated.contains(input.zone);
    if (isComparedAnew) {
        updateRunTimeFactors(input.report.service);
    }
    while (!worker.uncountedBatches.empty() && worker.uncountedBatches.begin()->first <= input.report.lastCountedBatch) {
        worker.uncountedSize -= worker.uncountedBatches.begin()->second;
        worker.uncountedBatches.erase(worker.uncountedBatches.begin());
    }
}

GuardTime WorkerTable::earliestGuardTime(MonotonicTime now, const AgentName &agent) const
{
    return GuardTime((now.time_since_epoch() + currentClockLead(now, m_workers.at(agent))).count());
}

Incarnation WorkerTable::guardIncarnation(const AgentName &agent) const
{
    return m_workers.at(agent).report.incarnation;
}

std::vector<LogLine> WorkerTable::updateEvacuations(const EvacuationsRead &read)
{
    auto lines = m_evacuated.update(read);
    for (auto &[agent, worker] : m_workers) {
        worker.isEvacuated = m_evacuated.contains(worker.zone);
    }
    return lines;
}

bool WorkerTable::isEvacuated(const ZoneName &zone) const
{
    return m_evacuated.contains(zone);
}

bool WorkerTable::isEvacuated(const ServiceName &service) const
{
    bool anyEvacuated = false;
    for (const auto &[agent, worker] : m_workers) {
        if (serves(worker, service)) {
            return false;
        }
        anyEvacuated = anyEvacuated || (worker.isReporting && worker.isEvacuated && worker.report.service == service);
    }
    return anyEvacuated;
}

void WorkerTable::markUnreachable(const AgentName &agent)
{
    if (const auto found = m_workers.find(agent); found != m_workers.end()) {
        found->second.isReporting = false;
        found->second.uncountedBatches.clear();
        found->second.uncountedSize = ZeroTaskSize;
        updateRunTimeFactors(found->second.report.service);
    }
}

void WorkerTable::updateRunTimeFactors(const ServiceName &service)
{
    std::vector<ScheduledWorker *> peers;
    std::vector<RunTimeRatio> ratios;
    for (auto &[agent, worker] : m_workers) {
        if (!worker.isReporting || worker.report.service != service) {
            continue;
        }
        peers.push_back(&worker);
        if (worker.report.runTimeRatio > RunTimeRatio(0)) {
            ratios.push_back(worker.report.runTimeRatio);
        }
    }
    // The usual ratio of a few workers, as when the first of them report, may be far off: what was derived from it is not kept.
    const bool isSameSet = std::exchange(m_measuredWorkers[service], ratios.size()) == ratios.size();
    const auto usual = usualRatio(std::move(ratios));
    bool isUnequal = false;
    for (auto *worker : peers) {
        const auto before = worker->runTimeFactor;
        worker->runTimeFactor = runTimeFactorOf(worker->report, usual, isSameSet ? before : 1);
        isUnequal = isUnequal || worker->runTimeFactor != 1;
        if (worker->runTimeFactor != before) {
            // The short-term measure has seen the part of the slowness that the factor covers from now on.
            worker->health.slowness = std::max(1.0, worker->health.slowness * before / worker->runTimeFactor);
            m_hasSpeedChanges = true;
        }
    }
    for (auto *worker : peers) {
        worker->hasUnequalPeer = isUnequal;
    }
}

double WorkerTable::runTimeFactor(const AgentName &agent) const
{
    const auto found = m_workers.find(agent);
    return found == m_workers.end() ? 1 : found->second.runTimeFactor;
}

double WorkerTable::meanRunTimeFactor(const ServiceName &service) const
{
    double all = 0;
    double speed = 0;
    for (const auto &[agent, worker] : m_workers) {
        if (serves(worker, service)) {
            const auto cores = static_cast<double>(worker.report.capacity.cores.value());
            all += cores;
            speed += cores / worker.runTimeFactor;
        }
    }
    return speed > 0 ? all / speed : 1;
}

std::vector<AgentName> WorkerTable::takeSpeedChanges(MonotonicTime now)
{
    std::vector<AgentName> changed;
    if (!m_hasSpeedChanges) {
        return changed;
    }
    m_hasSpeedChanges = false;
    for (auto &[agent, worker] : m_workers) {
        const bool isSlow = worker.runTimeFactor > 1;
        if (isSlow == worker.isLoggedAsSlow) {
            continue;
        }
        if (worker.slowLoggedAt != MonotonicTime() && now < worker.slowLoggedAt + SlowLogInterval) {
            m_hasSpeedChanges = true;
            continue;
        }
        worker.isLoggedAsSlow = isSlow;
        worker.slowLoggedAt = now;
        changed.push_back(agent);
    }
    return changed;
}

bool WorkerTable::isInRack(const AgentName &agent, const std::string &rack) const
{
    return hasLabel(m_workers.at(agent).report, rack);
}

void WorkerTable::keepForConfined(std::size_t count)
{
    std::vector<std::pair<std::uint64_t, ScheduledWorker *>> byHash;
    for (auto &[agent, worker] : m_workers) {
        worker.isForConfined = false;
        if (worker.isReporting) {
            byHash.emplace_back(XXH3_64bits(agent.value().data(), agent.value().size()), &worker);
        }
    }
    std::ranges::sort(byHash, {}, &std::pair<std::uint64_t, ScheduledWorker *>::first);
    for (std::size_t index = 0; index < std::min(count, byHash.size()); ++index) {
        byHash[index].second->isForConfined = true;
    }
}

bool WorkerTable::hasWorker(const ServiceName &service, bool isConfined) const
{
    return std::ranges::any_of(m_workers,
                               [&](const auto &item) { return serves(item.second, service) && item.second.isForConfined == isConfined; });
}

TaskSize WorkerTable::capacity(const AgentName &agent) const
{
    return m_workers.at(agent).report.capacity;
}

double WorkerTable::score(MonotonicTime now, const ScheduledWorker &worker, const TaskNeed &need) const
{
    const auto &health = worker.health;
    const auto offered = offeredCapacity(worker, need.queueShare);
    if (!serves(worker, need.service) || worker.isForConfined != need.isConfined || !fits(need.size, offered)) {
        return 0;
    }
    if (need.isIsolated && !fits(worker.report.capacity, worker.report.free - worker.uncountedSize)) {
        return 0;
    }
    if (!need.label.empty() && !hasLabel(worker.report, need.label)) {
        return 0;
    }
    if ((health.ejectedUntil && *health.ejectedUntil > now) || (isOnTrial(health) && worker.running > 0)) {
        return 0;
    }
    const auto slowness = currentSlowness(now, health);
    if (slowness * worker.runTimeFactor > need.slowestAllowed) {
        return 0;
    }
    const auto share
        = static_cast<double>(offered.cores.value()) / static_cast<double>(std::max<std::int64_t>(1, worker.report.capacity.cores.value()));
    const auto near = !need.rack.empty() && hasLabel(worker.report, need.rack) ? DataLocalityBonus : 1;
    const auto preference = speedPreference(worker.runTimeFactor, need.tolerance);
    return share * near * preference / (slowness * slowness);
}

const AgentName *WorkerTable::choose(
    MonotonicTime now, const TaskNeed &need, const std::vector<AgentName> &avoided, const Counts &ofStep, std::uint64_t entropy) const
{
    const AgentName *best = nullptr;
    double bestTime = 0;
    std::uint64_t index = 0;
    for (const auto &[agent, worker] : m_workers) {
        ++index;
        const auto placed = ofStep.find(agent);
        const bool isFull = need.mostPerWorker > 0 && placed != ofStep.end() && placed->second >= need.mostPerWorker;
        if (isFull || std::ranges::find(avoided, agent) != avoided.end()) {
            continue;
        }
        const auto weight = std::pow(score(now, worker, need), ScorePower);
        if (weight <= 0) {
            continue;
        }
        // The least of exponential variables with these rates is the one of a worker with a probability in proportion to its weight.
        const auto time = -std::log(fractionOf(entropy, index)) / weight;
        if (best == nullptr || time < bestTime) {
            best = &agent;
            bestTime = time;
        }
    }
    return best;
}

void WorkerTable::addBatch(const AgentName &agent, BatchNumber batch, const TaskSize &size, std::uint32_t tasks)
{
    auto &worker = m_workers[agent];
    auto &batchSize = worker.uncountedBatches.try_emplace(batch, ZeroTaskSize).first->second;
    batchSize += size;
    worker.uncountedSize += size;
    worker.running += tasks;
}

void WorkerTable::removeTasks(const AgentName &agent, std::uint32_t tasks)
{
    auto &worker = m_workers[agent];
    worker.running -= std::min(worker.running, tasks);
}

void WorkerTable::forgetBatch(const AgentName &agent, BatchNumber batch)
{
    auto &worker = m_workers[agent];
    if (const auto found = worker.uncountedBatches.find(batch); found != worker.uncountedBatches.end()) {
        worker.uncountedSize -= found->second;
        worker.uncountedBatches.erase(found);
    }
}

void WorkerTable::recordSuccess(MonotonicTime now, const AgentName &agent, Duration expected, Duration runTime)
{
    auto &worker = m_workers[agent];
    auto &health = worker.health;
    health.failures = 0;
    health.ejections = 0;
    health.ejectedUntil.reset();
    const auto observed = static_cast<double>(runTime.count()) / static_cast<double>(std::max<std::int64_t>(1, expected.count()));
    const auto ratio = worker.hasUnequalPeer ? std::min(observed, MaxStragglerRatio) : observed;
    const auto before = currentSlowness(now, health);
    health.slowness = std::clamp(before + SlownessWeight * (ratio - before), 1.0, MaxSlowness);
    health.slownessAt = now;
}

bool WorkerTable::recordFailure(MonotonicTime now, const AgentName &agent, std::uint64_t job)
{
    auto &health = m_workers[agent].health;
    if (health.ejectedUntil && *health.ejectedUntil > now) {
        return false;
    }
    if (health.failures > 0 && health.lastFailedJob == job) {
        return false;
    }
    ++health.failures;
    health.lastFailedJob = job;
    if (health.failures < FailuresToEject && !isOnTrial(health)) {
        return false;
    }
    health.ejectedUntil = now + FirstEjectionTime * (1U << std::min(health.ejections, MaxEjectionDoublings));
    ++health.ejections;
    return true;
}

bool WorkerTable::mayEverFit(const ServiceName &service, const TaskSize &size) const
{
    bool anyReporting = false;
    for (const auto &[agent, worker] : m_workers) {
        if (!serves(worker, service)) {
            continue;
        }
        if (fits(size, worker.report.capacity)) {
            return true;
        }
        anyReporting = true;
    }
    return !anyReporting;
}

std::size_t WorkerTable::acceptingCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_workers, [](const auto &item) { return accepts(item.second); }));
}

std::size_t WorkerTable::fittingCount(const ServiceName &service, const TaskSize &size, const std::string &label) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_workers, [&](const auto &item) {
        const auto &worker = item.second;
        return serves(worker, service) && fits(size, worker.report.capacity) && (label.empty() || hasLabel(worker.report, label));
    }));
}

bool WorkerTable::hasTasks(const AgentName &agent) const
{
    const auto found = m_workers.find(agent);
    return found != m_workers.end() && found->second.running > 0;
}

std::size_t WorkerTable::reportingCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_workers, [](const auto &item) { return item.second.isReporting; }));
}

bool WorkerTable::hasWorker() const
{
    return std::ranges::any_of(m_workers, [](const auto &item) { return accepts(item.second); });
}

MilliCores WorkerTable::cores(const ServiceName &service) const
{
    MilliCores sum{0};
    for (const auto &[agent, worker] : m_workers) {
        if (serves(worker, service)) {
            sum += worker.report.capacity.cores;
        }
    }
    return sum;
}

MilliCores WorkerTable::usableCores(const ServiceName &service, bool isConfined, MilliCores taskCores) const
{
    const auto unit = std::max<std::int64_t>(1, taskCores.value());
    MilliCores sum{0};
    for (const auto &[agent, worker] : m_workers) {
        const auto free = (worker.report.free.cores - worker.uncountedSize.cores).value();
        if (free >= unit && serves(worker, service) && worker.isForConfined == isConfined) {
            sum += MilliCores(free / unit * unit);
        }
    }
    return sum;
}

double WorkerTable::meanCores(const ServiceName &service) const
{
    const auto count = std::ranges::count_if(m_workers, [&service](const auto &item) { return serves(item.second, service); });
    return count == 0 ? 1 : static_cast<double>(cores(service).value()) / static_cast<double>(count);
}

std::optional<MonotonicTime> WorkerTable::nextReadmission(MonotonicTime now) const
{
    std::optional<MonotonicTime> next;
    for (const auto &[agent, worker] : m_workers) {
        if (const auto &until = worker.health.ejectedUntil; until && *until > now) {
            next = next ? std::min(*next, *until) : *until;
        }
    }
    return next;
}

} // namespace Sycamoremoor
