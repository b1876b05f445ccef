// Ejection and readmission of workers.
#include "dispatch/ejection_controller.h"

#include <algorithm>
#include <limits>

namespace Sycamoremoor
{

namespace
{

constexpr std::int64_t NoLimit = std::numeric_limits<std::int64_t>::max();

/** A job or kind that failed on this many workers is at fault itself. */
constexpr std::size_t MinWorkersForFault = 3;

constexpr std::size_t MaxKinds = 2'000;
constexpr std::uint32_t MaxDoublings = 6;

/** With at least this many workers one may be ejected, even where the permitted share rounds down to none. */
constexpr std::size_t MinWorkersForEjection = 3;

constexpr std::size_t Percent = 100;

std::string kindName(const JobEntry &job, TaskIndex task)
{
    return job.job->service.value() + '\n' + job.job->tasks[task.value()].kind.value();
}

/** Adds a worker to the list if it is missing and the list is not full. Returns the number of workers in the list. */
std::size_t addWorker(std::vector<AgentName> &workers, const AgentName &agent)
{
    if (workers.size() < MinWorkersForFault && std::ranges::find(workers, agent) == workers.end()) {
        workers.push_back(agent);
    }
    return workers.size();
}

} // namespace

EjectionController::EjectionController(EventHandler handler)
    : m_eventHandler(std::move(handler))
{
}

void EjectionController::configure(const PolicyRecord &policy)
{
    m_policy = policy;
}

void EjectionController::recordSuccess(Worker &worker, const JobEntry &job, TaskIndex task)
{
    if (!m_kindFailures.empty()) {
        m_kindFailures.erase(kindName(job, task));
    }
    auto &health = worker.health;
    health.failures = 0;
    if (health.ejectedUntil || worker.slotLimit == NoLimit) {
        return;
    }
    worker.slotLimit *= 2;
    if (worker.slotLimit > resourcesOf(worker.state.capacity).slots) {
        worker.slotLimit = NoLimit;
        health.ejections = 0;
    }
}

void EjectionController::recordFailure(MonotonicTime now, Worker &worker, JobEntry &job, TaskIndex task, std::size_t workers)
{
    auto &health = worker.health;
    if (health.ejectedUntil || isFaultOfJob(worker, job, task)) {
        return;
    }
    if (health.failures > 0 && health.lastFailed == job.job->key) {
        return;
    }
    health.lastFailed = job.job->key;
    ++health.failures;
    const bool onProbation = health.ejections > 0;
    if ((onProbation || health.failures >= m_policy.ejectAfterFailures) && mayEject(worker.state.service, workers)) {
        eject(now, worker);
        return;
    }
    const auto limit = std::min(worker.slotLimit, resourcesOf(worker.state.capacity).slots);
    worker.slotLimit = std::max<std::int64_t>(1, limit / 2);
}

void EjectionController::recordRestart(Worker &worker)
{
    if (worker.health.ejectedUntil) {
        readmitWorker(worker, "its agent restarted");
    }
    worker.health.failures = 0;
}

void EjectionController::clearEjection(Worker &worker)
{
    if (!worker.health.ejectedUntil) {
        return;
    }
    m_due.erase({*worker.health.ejectedUntil, worker.state.agent});
    m_ejected.erase(worker.state.agent);
    worker.health.ejectedUntil.reset();
    worker.slotLimit = 1;
}

void EjectionController::readmit(MonotonicTime now, const std::function<void(Worker &)> &changed)
{
    while (!m_due.empty() && m_due.begin()->first <= now) {
        auto &worker = *m_ejected.at(m_due.begin()->second);
        readmitWorker(worker, "its time is over, one task at a time");
        changed(worker);
    }
}

std::optional<MonotonicTime> EjectionController::nextReadmission() const
{
    return m_due.empty() ? std::nullopt : std::optional(m_due.begin()->first);
}

bool EjectionController::isFaultOfJob(const Worker &worker, JobEntry &job, TaskIndex task)
{
    if (m_kindFailures.size() >= MaxKinds) {
        m_kindFailures.clear();
    }
    const bool faultyJob = addWorker(job.failedOn, worker.state.agent) >= MinWorkersForFault;
    const bool faultyKind = addWorker(m_kindFailures[kindName(job, task)], worker.state.agent) >= MinWorkersForFault;
    return faultyJob || faultyKind;
}

bool EjectionController::mayEject(const ServiceName &service, std::size_t workers) const
{
    const auto ofService
        = std::ranges::count_if(m_ejected, [&service](const auto &ejected) { return ejected.second->state.service == service; });
    const std::size_t minCount = workers >= MinWorkersForEjection && m_policy.maxEjectedPercent > 0 ? 1 : 0;
    const auto maxCount = std::max(minCount, workers * m_policy.maxEjectedPercent / Percent);
    return static_cast<std::size_t>(ofService) < maxCount;
}

void EjectionController::eject(MonotonicTime now, Worker &worker)
{
    auto &health = worker.health;
    const auto doublings = std::min(health.ejections, MaxDoublings);
    health.ejectedUntil = now + m_policy.ejectionTime * (std::int64_t{1} << doublings);
    ++health.ejections;
    worker.slotLimit = 0;
    m_due.emplace(*health.ejectedUntil, worker.state.agent);
    m_ejected[worker.state.agent] = &worker;
    if (m_eventHandler) {
        m_eventHandler({worker.state.agent, true, std::to_string(health.failures) + " failures in a row of different jobs"});
    }
}

void EjectionController::readmitWorker(Worker &worker, const char *reason)
{
    clearEjection(worker);
    worker.health.failures = 0;
    if (m_eventHandler) {
        m_eventHandler({worker.state.agent, false, reason});
    }
}

} // namespace Sycamoremoor
