// Admission: whether a submission can be accepted, and the time to retry after if not.
#include "dispatch/dispatcher_private.h"

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

/** Share of its deadline within which a job must be expected to end. The rest is left for jobs that arrive later and rank before it. */
constexpr double DeadlineShare = 0.5;

constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);

} // namespace

Admission Dispatcher::admit(MonotonicTime now, const JobSpec &job, Duration deadline) const
{
    const auto *record = d->serviceRecord(job.service);
    if (record == nullptr) {
        return {ErrorKind::UnknownService, job.service.value(), {}};
    }
    if (const auto error = d->quotas.checkQueue(job.team, job.tasks.size()); error == ErrorKind::UnknownTeam) {
        return {error, job.team.value(), {}};
    }
    if (deadline <= Duration::zero()) {
        return {ErrorKind::DeadlineUnreachable, "the deadline has passed", {}};
    }
    const auto found = d->services.find(job.service);
    if (found == d->services.end()) {
        return d->checkBounds(*record, job, {});
    }
    const auto &service = found->second;
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        if (!service.pool.fitsEmptyWorker(resourcesOf(job.tasks[index].size))) {
            return {ErrorKind::NeverFits, "task " + std::to_string(index) + " is larger than any worker", {}};
        }
    }
    const auto demand = d->demandOf(job);
    if (demand.lowerBound > deadline) {
        return {ErrorKind::DeadlineUnreachable, "its tasks run longer than the deadline", {}};
    }
    const auto drainTime = d->runTimePerSlot(service, service.queue.waitingRunTime());
    if (auto bounds = d->checkBounds(*record, job, drainTime); bounds.error != ErrorKind::None) {
        return bounds;
    }
    return d->checkWait(now, service, demand, deadline);
}

Dispatcher::Private::Demand Dispatcher::Private::demandOf(const JobSpec &job) const
{
    Demand demand;
    for (const auto &task : job.tasks) {
        const auto expected = estimator.expected(job.service, task.kind, task.declaredRunTime);
        demand.totalRunTime += expected;
        demand.longest = std::max(demand.longest, expected);
        demand.lowerBound = std::max(demand.lowerBound, estimator.lowerBound(job.service, task.kind, task.declaredRunTime));
    }
    return demand;
}

Duration Dispatcher::Private::runTimePerSlot(const Service &service, Duration totalRunTime) const
{
    return totalRunTime / std::max<std::int64_t>(1, service.pool.slots());
}

Admission Dispatcher::Private::checkWait(MonotonicTime now, const Service &service, const Demand &demand, Duration deadline) const
{
    const Duration allowed(static_cast<std::int64_t>(DeadlineShare * static_cast<double>(deadline.count())));
    if (service.pool.slots() == 0 || runTimePerSlot(service, service.queue.waitingRunTime() + demand.totalRunTime) <= allowed) {
        return {};
    }
    const auto rank = rankTime(service, now, now + deadline, demand.totalRunTime, demand.longest);
    const auto expectedEnd = runTimePerSlot(service, service.queue.waitingRunTimeUpTo(rank) + demand.totalRunTime);
    if (expectedEnd <= allowed) {
        return {};
    }
    return {ErrorKind::QueueFull, "the expected wait is too long for the deadline", std::max(MinRetryAfter, expectedEnd - allowed)};
}

const ServiceRecord *Dispatcher::Private::serviceRecord(const ServiceName &name) const
{
    if (!config) {
        return nullptr;
    }
    const auto found = config->services.find(name);
    return found == config->services.end() ? nullptr : &found->second;
}

Admission Dispatcher::Private::checkBounds(const ServiceRecord &record, const JobSpec &job, Duration drainTime) const
{
    const auto retryAfter = std::max(MinRetryAfter, drainTime / 2);
    if (const auto error = quotas.checkQueue(job.team, job.tasks.size()); error != ErrorKind::None) {
        return {error, "the team's queue is full", retryAfter};
    }
    std::int64_t bytes = 0;
    for (const auto &task : job.tasks) {
        bytes += static_cast<std::int64_t>(task.payload.size());
    }
    std::size_t tasks = job.tasks.size();
    if (const auto service = services.find(job.service); service != services.end()) {
        bytes += service->second.queue.waitingBytes();
        tasks += service->second.queue.waitingTasks();
    }
    if (bytes > record.maxQueueBytes.value()) {
        return {ErrorKind::QueueFull, "the queue is full by bytes", retryAfter};
    }
    if (tasks > record.maxQueueTasks) {
        return {ErrorKind::QueueFull, "the queue is full by tasks", retryAfter};
    }
    return {};
}

} // namespace Sycamoremoor
