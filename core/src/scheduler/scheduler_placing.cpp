// Which jobs are tried for capacity, and how their tasks are sent.
#include "../duration_func.h"
#include "scheduler_private.h"

#include <algorithm>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr double RunLimitFactor = 4; ///< run limit per expected run time; declared and estimated times are off by less
constexpr Duration RunLimitSlack = std::chrono::milliseconds(200); ///< added to the scaled run limit
constexpr Duration MaxJobTime = std::chrono::hours(24); ///< of a job whose caller sets no limit; its batches end with their leases
constexpr Duration DeliveryLimit = std::chrono::milliseconds(250); ///< of a batch; a guard that is busier gets no new work
static_assert(leaseTimesOf(SchedulerSettings::LeastResubmitAfter).lease >= DeliveryLimit + RenewalDelivery);
constexpr Duration MaxGuardWait = std::chrono::milliseconds(80); ///< a run that waits longer at its guard would start sooner elsewhere
constexpr Duration ShortGuardWait
    = std::chrono::milliseconds(1);        ///< of a run for which capacity should be free: if it is not, another worker has some sooner
constexpr std::uint32_t MaxShortWaits = 4; ///< runs of a task that were refused so; then it waits for its turn at a guard
constexpr std::size_t MaxBackfill = 4;     ///< jobs that are tried after the first one that does not fit
constexpr std::size_t MaxJobsTriedPerStep = 24;   ///< limit on the jobs that are tried for placement per step
constexpr std::uint64_t EntropyStride = 1'000;    ///< more than the tasks of most jobs
constexpr std::size_t MaxIsolatedJobsPerStep = 8; ///< limit on the jobs with isolated tasks that are tried per step
constexpr std::size_t MaxTasksPlacedPerStep = 32; ///< limit on the tasks that are sent before further inputs are read

} // namespace

void SchedulerMachine::Private::place(SchedulerStep &step)
{
    m_placedInStep = 0;
    const bool hasMore = place(step, m_order);
    m_placesMore = place(step, m_confinedOrder) || hasMore;
    placeIsolated(step);
}

bool SchedulerMachine::Private::place(SchedulerStep &step, const JobOrder &order)
{
    // In a burst, every input would otherwise try all jobs on every worker.
    std::size_t tried = 0;
    std::size_t withoutCapacity = 0;
    const auto isLimited = [&] {
        return tried >= MaxJobsTriedPerStep || m_placedInStep >= MaxTasksPlacedPerStep;
    };
    auto position = order.jobs().begin();
    while (position != order.jobs().end() && withoutCapacity <= MaxBackfill && !isLimited()) {
        ++tried;
        const auto key = position->first;
        withoutCapacity += placeJob(step, m_jobs.at(key.job)) ? 0 : 1;
        position = order.jobs().upper_bound(key); // a job that is placed in part has another key from then on
    }
    return withoutCapacity == 0 && !order.jobs().empty();
}

bool SchedulerMachine::Private::placeJob(SchedulerStep &step, ScheduledJob &job)
{
    const auto placed = m_placement.place(contextOf(step, job), job);
    if (placed) {
        sendPlaced(step, job, *placed);
    }
    return placed && job.waiting == 0;
}

PlacementContext SchedulerMachine::Private::contextOf(SchedulerStep &step, const ScheduledJob &job) const
{
    return {step.now(), step.context.entropy + job.number.value() * EntropyStride, m_bulkhead.isConfined(job.queue->name)};
}

void SchedulerMachine::Private::placeIsolated(SchedulerStep &step)
{
    std::size_t tried = 0;
    const auto jobs = m_isolatingJobs;
    for (const auto number : jobs) {
        if (++tried > MaxIsolatedJobsPerStep) {
            return;
        }
        auto &job = m_jobs.at(number);
        sendPlaced(step, job, m_placement.placeIsolated(contextOf(step, job), job));
    }
}

void SchedulerMachine::Private::sendPlaced(SchedulerStep &step, ScheduledJob &job, const std::vector<PlacedTask> &placed)
{
    std::map<AgentName, PlacedBatch> batches;
    for (const auto &[task, agent, batch, queuesAtGuard] : placed) {
        auto &content = batches[agent];
        content.number = batch;
        content.tasks.push_back(task);
        job.tasks[task].queuesAtGuard = queuesAtGuard;
    }
    for (const auto &[agent, batch] : batches) {
        send(step, job, agent, batch);
    }
    enqueue(job);
}

bool SchedulerMachine::Private::tellsSpeed(const ScheduledJob &job, const ScheduledTask &task, const AgentName &agent) const
{
    // A run that is far from its data takes longer, and one that has the worker to itself may take less.
    const auto &rack = job.spec->steps[task.step].dataRack;
    return !task.wasSentIsolated && (rack.empty() || m_workers.isInRack(agent, rack));
}

void SchedulerMachine::Private::send(SchedulerStep &step, ScheduledJob &job, const AgentName &agent, const PlacedBatch &batch)
{
    SendBatch output;
    output.agent = agent;
    output.batch.scheduler = m_settings.name;
    output.batch.schedulerIncarnation = m_settings.incarnation;
    output.batch.batch = batch.number;
    output.batch.guard = m_workers.guardIncarnation(agent);
    const auto guardTime = m_workers.earliestGuardTime(step.now(), agent);
    output.batch.receiveBy = guardTime + GuardTime(DeliveryLimit.count());
    output.batch.leaseUntil = guardTime + GuardTime(m_leaseTimes.lease.count());
    // The job expires later if a run turns out to need longer. Until then this scheduler ends its batches.
    const auto latestExpiry = job.callerTimeout > Duration::zero() ? job.arrivedAt + job.callerTimeout : step.now() + MaxJobTime;
    output.batch.expiresAt = guardTime + GuardTime((latestExpiry - step.now()).count());
    output.batch.reportInterval = reportInterval();
    output.batch.queue = job.queue->name;
    output.batch.payload = job.spec->payload;
    const auto runTimeFactor = m_workers.runTimeFactor(agent);
    for (const auto index : batch.tasks) {
        auto &task = job.tasks[index];
        task.stage = ScheduledStage::Sent;
        task.wasSentIsolated = task.isIsolated;
        --(task.isIsolated ? job.waitingIsolated : job.waiting);
        ++m_placedInStep;
        if (++task.runs > 1) {
            step.log(Severity::Info,
                     "A task is sent again.",
                     {{"task", nameOf(job, task)},
                      {"run", std::to_string(task.runs)},
                      {"worker", agent.value()},
                      {"batch", std::to_string(batch.number.value())}});
        }
        m_order.recordSent(step.now(), coreTimeOf(job, task));
        RunOrder order;
        order.run = {{job.spec->id, task.step, task.index}, task.runs};
        order.size = m_placement.sizeOn(agent, job, task);
        order.urgency = {job.rank.isOrdinary, job.rank.turn - step.now()};
        const bool waitsShortly = !task.queuesAtGuard && task.runs <= MaxShortWaits;
        order.expected = scaled(job.expected[task.step], runTimeFactor);
        order.startWithin
            = std::clamp(job.expiresAt - order.expected - step.now(), Duration::zero(), waitsShortly ? ShortGuardWait : MaxGuardWait);
        order.runLimit = scaled(order.expected, RunLimitFactor) + RunLimitSlack;
        const auto declared = job.spec->steps[task.step].declaredRunTime;
        order.reference = tellsSpeed(job, task, agent) ? m_references.reference(job.queue->name, declared) : Duration::zero();
        output.batch.orders.push_back(std::move(order));
    }
    if (!std::exchange(job.started, true)) {
        job.startedAt = step.now();
        m_policy.recordOutcome(job.queue->priority, true);
    }
    job.batches.insert(batch.number);
    m_batches[batch.number]
        = {job.number, agent, m_workers.guardIncarnation(agent), step.now(), batch.tasks, std::vector<bool>(batch.tasks.size(), false)};
    step.emit(Count{CounterMetric::TasksSent, batch.tasks.size()});
    step.emit(std::move(output));
}

} // namespace Sycamoremoor
