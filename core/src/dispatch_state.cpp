// Records of jobs and workers in the dispatcher.
#include "dispatch/dispatcher_private.h"

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

/** A job ranks as if it arrived later, by this many times the time that all slots need for its queued tasks. */
constexpr double RunTimeFactor = 50;

/** A job ranks no later than its deadline minus its longest task and this many times the time that all slots need for it. */
constexpr double UrgencyFactor = 2;

/** Delay until a retry checks a spent budget again. A busy worker makes several starts in it, which add to the budget. */
constexpr Duration BudgetCheckInterval = std::chrono::milliseconds(100);

/** Returns whether @p left is placed after @p right: shorter tasks later, equal ones by ascending index. */
bool isPlacedLater(const WaitingTask &left, const WaitingTask &right)
{
    return left.expected != right.expected ? left.expected < right.expected : left.index > right.index;
}

} // namespace

JobEntry &Dispatcher::Private::jobEntry(MonotonicTime now, const JobSpecPointer &job)
{
    const auto [found, isNew] = jobs.try_emplace(job->key);
    auto &entry = found->second;
    if (isNew) {
        entry.job = job;
        entry.service = &services[job->service];
        entry.queue = &entry.service->queue;
        entry.team = &quotas.usage(job->team);
        entry.arrival = now;
    }
    return entry;
}

void Dispatcher::Private::addWaiting(JobEntry &entry, TaskIndex task)
{
    const auto &spec = entry.job->tasks[task.value()];
    const auto &service = entry.job->service;
    const WaitingTask waiting{
        task, estimator.expected(service, spec.kind, spec.declaredRunTime), estimator.lowerBound(service, spec.kind, spec.declaredRunTime)};
    entry.waiting.insert(std::ranges::upper_bound(entry.waiting, waiting, isPlacedLater), waiting);
    countWaiting(entry, waiting, 1);
}

void Dispatcher::Private::countWaiting(JobEntry &entry, const WaitingTask &task, std::int32_t sign)
{
    const auto delta = static_cast<std::uint32_t>(sign);
    queuedTasks += delta;
    entry.team->queued += delta;
    entry.totalRunTime += sign * task.expected;
    entry.queue->countWaiting(entry.job->tasks[task.index.value()], task.expected, sign);
}

void Dispatcher::Private::removeWaiting(JobEntry &entry, std::size_t position)
{
    const auto task = entry.waiting[position];
    entry.waiting.erase(entry.waiting.begin() + static_cast<std::ptrdiff_t>(position));
    countWaiting(entry, task, -1);
}

std::vector<TaskIndex> Dispatcher::Private::removeAllWaiting(JobEntry &entry)
{
    std::vector<TaskIndex> tasks;
    for (const auto &[due, task] : entry.delayed) {
        tasks.push_back(task.index);
        delayed.erase({due, {entry.job->key, task.index}});
        countWaiting(entry, task, -1);
    }
    entry.delayed.clear();
    while (!entry.waiting.empty()) {
        tasks.push_back(entry.waiting.back().index);
        removeWaiting(entry, entry.waiting.size() - 1);
    }
    refresh(entry);
    return tasks;
}

MonotonicTime Dispatcher::Private::rankTime(
    const Service &service, MonotonicTime arrival, MonotonicTime deadline, Duration totalRunTime, Duration longest) const
{
    const auto slots = std::max<std::int64_t>(1, service.pool.slots());
    const auto perSlot = static_cast<double>(totalRunTime.count()) / static_cast<double>(slots);
    const auto byRunTime = arrival + Duration(static_cast<std::int64_t>(RunTimeFactor * perSlot));
    const auto byDeadline = deadline - longest - Duration(static_cast<std::int64_t>(UrgencyFactor * perSlot));
    return std::min(byRunTime, byDeadline);
}

JobRank Dispatcher::Private::rankOf(JobEntry &entry) const
{
    const auto longest = entry.waiting.empty() ? Duration::zero() : entry.waiting.back().expected;
    return {rankTime(*entry.service, entry.arrival, entry.deadline, entry.totalRunTime, longest), entry.job->key, &entry};
}

void Dispatcher::Private::refresh(JobEntry &entry)
{
    if (entry.waiting.empty() && entry.service->reservedFor == &entry) {
        endReservation(*entry.service);
    }
    entry.queue->refresh(entry, rankOf(entry));
    const auto lowerBound = entry.waiting.empty() ? Duration::zero() : entry.waiting.back().lowerBound;
    const JobRank expiry{entry.deadline - lowerBound, entry.job->key, &entry};
    const bool isQueued = !entry.waiting.empty() || !entry.delayed.empty();
    if (entry.expiry.entry != nullptr && (!isQueued || entry.expiry.at != expiry.at)) {
        expiries.erase(entry.expiry);
        entry.expiry = {};
    }
    if (entry.expiry.entry == nullptr && isQueued) {
        entry.expiry = expiry;
        expiries.insert(expiry);
    }
}

bool Dispatcher::Private::scheduleRetry(MonotonicTime now, JobEntry &entry, TaskIndex task)
{
    const auto due = now + retries.backOff(entry, task);
    if (due >= entry.deadline) {
        return false;
    }
    const auto &spec = entry.job->tasks[task.value()];
    const WaitingTask waiting{task, estimator.expected(entry.job->service, spec.kind, spec.declaredRunTime)};
    entry.delayed.push_back({due, waiting});
    delayed.emplace(due, TaskId{entry.job->key, task});
    countWaiting(entry, waiting, 1);
    refresh(entry);
    return true;
}

void Dispatcher::Private::enqueueDue(MonotonicTime now)
{
    while (!delayed.empty() && delayed.begin()->first <= now) {
        const auto id = delayed.begin()->second;
        delayed.erase(delayed.begin());
        auto &entry = jobs.at(id.submission);
        const auto found = std::ranges::find(entry.delayed, id.index, [](const DelayedTask &task) { return task.task.index; });
        if (!retries.spend()) {
            found->due = now + BudgetCheckInterval;
            delayed.emplace(found->due, id);
            continue;
        }
        countWaiting(entry, found->task, -1);
        entry.delayed.erase(found);
        addWaiting(entry, id.index);
        refresh(entry);
    }
}

void Dispatcher::Private::recordOutcome(MonotonicTime now, const PlacedTask &task, TaskIndex index, const PlacementEnd &end)
{
    auto &entry = *task.entry;
    auto &worker = *task.worker;
    if (entry.cancelled) {
        return; // it may have been stopped, so its end is no measure of its run time or its worker
    }
    const auto &spec = entry.job->tasks[index.value()];
    if (end.kind == PlacementEnd::Kind::Succeeded && end.runTime > Duration::zero()) {
        estimator.learn(entry.job->service, spec.kind, spec.declaredRunTime, end.runTime);
    }
    if (!worker.inPool || task.generation != worker.generation) {
        return;
    }
    if (end.kind == PlacementEnd::Kind::Succeeded) {
        ejections.recordSuccess(worker, entry, index);
    } else if (end.kind == PlacementEnd::Kind::Failed || end.kind == PlacementEnd::Kind::Lost) {
        ejections.recordFailure(now, worker, entry, index, services[worker.state.service].pool.size());
    }
}

void Dispatcher::Private::releaseIfDone(JobEntry &entry)
{
    if (entry.waiting.empty() && entry.delayed.empty() && entry.placed == 0) {
        const auto key = entry.job->key;
        jobs.erase(key);
    }
}

Worker &Dispatcher::Private::workerEntry(const AgentName &agent)
{
    auto &worker = workers[agent];
    worker.state.agent = agent;
    return worker;
}

void Dispatcher::Private::removeFromPool(Worker &worker)
{
    if (worker.inPool) {
        auto &service = services[worker.state.service];
        if (service.reservedWorker == &worker) {
            endReservation(service);
        }
        service.pool.remove(worker);
        ejections.clearEjection(worker);
        worker.inPool = false;
    }
}

void Dispatcher::Private::countPlaced(JobEntry &entry, Worker &worker, const PlacedTask &task)
{
    ++entry.placed;
    ++entry.team->placed;
    entry.queue->countPlaced(*entry.team, 1);
    ++worker.tasks;
    worker.used += task.resources;
    if (worker.inPool) {
        services[worker.state.service].pool.refresh(worker);
    }
}

void Dispatcher::Private::countEnded(const PlacedTask &task)
{
    auto &entry = *task.entry;
    --entry.placed;
    --entry.team->placed;
    entry.queue->countPlaced(*entry.team, -1);
    auto &worker = *task.worker;
    --worker.tasks;
    if (task.generation == worker.generation) {
        worker.used -= task.resources;
        if (worker.inPool) {
            services[worker.state.service].pool.refresh(worker);
        }
    }
    if (!worker.inPool && worker.tasks == 0) {
        const auto agent = worker.state.agent;
        workers.erase(agent);
    }
}

void Dispatcher::updateWorker(MonotonicTime /*now*/, const WorkerState &state)
{
    auto &worker = d->workerEntry(state.agent);
    const bool isSameIncarnation = worker.state.incarnation == state.incarnation || worker.state.incarnation == Incarnation();
    if (!isSameIncarnation) {
        ++worker.generation;
        d->ejections.recordRestart(worker);
        worker.used = {};
    }
    if (worker.inPool && (worker.state.service != state.service || worker.state.zone != state.zone)) {
        d->removeFromPool(worker);
    }
    worker.state = state;
    worker.ownZone = state.zone == d->zone;
    updateUsageRatios(worker);
    auto &pool = d->services[state.service].pool;
    if (worker.inPool) {
        pool.refresh(worker);
        return;
    }
    worker.inPool = true;
    pool.add(worker);
}

void Dispatcher::removeWorker(const AgentName &agent)
{
    const auto found = d->workers.find(agent);
    if (found == d->workers.end()) {
        return;
    }
    d->removeFromPool(found->second);
    if (found->second.tasks == 0) {
        d->workers.erase(found);
    }
}

} // namespace Sycamoremoor
