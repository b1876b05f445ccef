// Enqueueing, cancelling, expiry and end of tasks.
#include <sycamoremoor/core/dispatcher.h>

#include "dispatch/dispatcher_private.h"

#include <algorithm>
#include <utility>

namespace Sycamoremoor
{

Dispatcher::Private::Private(ZoneName ownZone, DispatcherHooks dispatcherHooks)
    : zone(std::move(ownZone))
    , hooks(std::move(dispatcherHooks))
    , ejections(hooks.workerEvent)
{
}

Dispatcher::Dispatcher(ZoneName zone, DispatcherHooks hooks)
    : d(std::make_unique<Private>(std::move(zone), std::move(hooks)))
{
}

Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher &&) noexcept = default;
Dispatcher &Dispatcher::operator=(Dispatcher &&) noexcept = default;

void Dispatcher::configure(const std::shared_ptr<const ConfigSet> &config, double ownerShare)
{
    d->config = config;
    if (config) {
        d->quotas.configure(*config, ownerShare);
        d->ejections.configure(config->policy);
        d->retries.configure(config->policy);
    }
}

void Dispatcher::enqueue(MonotonicTime now, const JobSpecPointer &job, const std::vector<TaskIndex> &tasks, MonotonicTime deadline)
{
    if (tasks.empty()) {
        return;
    }
    auto &entry = d->jobEntry(now, job);
    entry.deadline = deadline;
    for (const auto task : tasks) {
        d->addWaiting(entry, task);
    }
    d->refresh(entry);
}

void Dispatcher::adopt(MonotonicTime now, const JobSpecPointer &job, TaskIndex task, const AgentName &agent, MonotonicTime deadline)
{
    auto &entry = d->jobEntry(now, job);
    entry.deadline = deadline;
    auto &worker = d->workerEntry(agent);
    const Private::PlacedTask placed{&entry, &worker, worker.generation, resourcesOf(job->tasks[task.value()].size), now};
    if (d->placed.try_emplace({job->key, task}, placed).second) {
        d->countPlaced(entry, worker, placed);
    }
}

std::vector<TaskIndex> Dispatcher::cancel(const SubmissionKey &job)
{
    const auto found = d->jobs.find(job);
    if (found == d->jobs.end()) {
        return {};
    }
    auto &entry = found->second;
    entry.cancelled = true;
    auto tasks = d->removeAllWaiting(entry);
    d->releaseIfDone(entry);
    return tasks;
}

std::vector<TaskId> Dispatcher::expire(MonotonicTime now)
{
    std::vector<TaskId> tasks;
    while (!d->expiries.empty() && d->expiries.begin()->at <= now) {
        auto &entry = *d->expiries.begin()->entry;
        const auto key = entry.job->key;
        for (const auto index : d->removeAllWaiting(entry)) {
            tasks.push_back({key, index});
        }
        d->releaseIfDone(entry);
    }
    return tasks;
}

bool Dispatcher::ended(MonotonicTime now, const TaskId &task, const PlacementEnd &end)
{
    const auto found = d->placed.find(task);
    if (found == d->placed.end()) {
        return false;
    }
    const auto placed = found->second;
    auto &entry = *placed.entry;
    d->placed.erase(found);
    d->recordOutcome(now, placed, task.index, end);
    const bool isRefused = end.kind == PlacementEnd::Kind::Refused;
    const bool mayRetry = (isRefused || end.kind == PlacementEnd::Kind::NotStarted) && !entry.cancelled;
    if (isRefused && mayRetry) {
        entry.refusals[task.index].insert(Refusal{placed.worker->state.agent, placed.generation});
    }
    d->countEnded(placed);
    const bool isRetried = mayRetry && d->scheduleRetry(now, entry, task.index);
    d->releaseIfDone(entry);
    return isRetried;
}

Duration Dispatcher::expectedRunTime(const ServiceName &service, const TaskKind &kind, Duration declared) const
{
    return d->estimator.expected(service, kind, declared);
}

std::optional<MonotonicTime> Dispatcher::nextWake() const
{
    auto wake = d->ejections.nextReadmission();
    const auto consider = [&wake](MonotonicTime at) {
        wake = wake ? std::min(*wake, at) : at;
    };
    if (!d->expiries.empty()) {
        consider(d->expiries.begin()->at);
    }
    if (!d->delayed.empty()) {
        consider(d->delayed.begin()->first);
    }
    return wake;
}

std::uint32_t Dispatcher::queuedTasks() const
{
    return d->queuedTasks;
}

std::uint32_t Dispatcher::placedTasks() const
{
    return static_cast<std::uint32_t>(d->placed.size());
}

bool Dispatcher::isEjected(const AgentName &agent) const
{
    const auto worker = d->workers.find(agent);
    return worker != d->workers.end() && worker->second.health.ejectedUntil.has_value();
}

} // namespace Sycamoremoor
