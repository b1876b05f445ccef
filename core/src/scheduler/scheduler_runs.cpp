// What a scheduler does with the reports of its runs, with crashes, and with the leases of its batches.
#include "../duration_func.h"
#include "scheduler_private.h"

#include <algorithm>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr double LongestLearned = 3;   ///< multiple of the expected run time up to which a run that took longer is learned from
constexpr std::size_t RenewGroups = 8; ///< guards are renewed in groups, so that no step sends to all of them

} // namespace

void SchedulerMachine::Private::handle(SchedulerStep &step, const CrashReported &input)
{
    const CrashKey key{input.agent, input.notice.guard, input.notice.number};
    if (input.notice.isRefuted) {
        crashRefuted(step, key);
        return;
    }
    if (!m_crashes.add(step.now(), input.agent, input.notice)) {
        return;
    }
    m_bulkhead.record(step.now(), key, input.notice);
    for (const auto &[id, isSuspect] : input.notice.runs) {
        if (const auto [job, task] = find(id); task != nullptr && !judge(step, *job, *task)) {
            enqueue(*job);
        }
    }
}

std::pair<ScheduledJob *, ScheduledTask *> SchedulerMachine::Private::find(const QueueTaskId &id)
{
    const auto known = m_byId.find(id.job);
    if (known == m_byId.end()) {
        return {};
    }
    auto &job = m_jobs.at(known->second);
    const auto task
        = std::ranges::find_if(job.tasks, [&id](const ScheduledTask &other) { return other.step == id.step && other.index == id.index; });
    return {&job, task == job.tasks.end() ? nullptr : &*task};
}

void SchedulerMachine::Private::crashRefuted(SchedulerStep &step, const CrashKey &crash)
{
    step.log(Severity::Info,
             "A crash was none: the upstream answers.",
             {{"worker", crash.agent.value()}, {"crash", std::to_string(crash.number.value())}});
    m_bulkhead.remove(step.now(), crash);
    for (const auto &id : m_crashes.remove(step.now(), crash)) {
        const auto [job, task] = find(id);
        if (task == nullptr || m_crashes.of(id).needsIsolation() || !std::exchange(task->isIsolated, false)) {
            continue;
        }
        step.log(Severity::Info,
                 "A task needs no worker to itself any more.",
                 {{"task", nameOf(*job, *task)},
                  {"worker", crash.agent.value()},
                  {"crash", std::to_string(crash.number.value())},
                  {"crashes", std::to_string(m_crashes.of(id).all)}});
        if (task->stage == ScheduledStage::Waiting) {
            --job->waitingIsolated;
            ++job->waiting;
        }
        enqueue(*job);
    }
}

bool SchedulerMachine::Private::judge(SchedulerStep &step, ScheduledJob &job, ScheduledTask &task)
{
    const auto crashes = m_crashes.of({job.spec->id, task.step, task.index});
    if (!crashes.needsIsolation() || task.stage == ScheduledStage::Done) {
        return false;
    }
    const std::vector<LogField> fields{{"task", nameOf(job, task)},
                                       {"crashes", std::to_string(crashes.all)},
                                       {"as_suspect", std::to_string(crashes.asSuspect)},
                                       {"as_the_only_one", std::to_string(crashes.asTheOnlyOne)}};
    if (crashes.isGivenUp()) {
        step.log(Severity::Warning, "A task is given up: the upstreams that start it crash.", fields);
        answer(step, job, QueueJobResult::Failed, ErrorKind::CrashesUpstreams);
        return true;
    }
    if (!std::exchange(task.isIsolated, true)) {
        step.log(Severity::Info, "A task may have crashed an upstream; its next run gets a worker to itself.", fields);
        if (task.stage == ScheduledStage::Waiting) {
            --job.waiting;
            ++job.waitingIsolated;
        }
    }
    return false;
}

bool SchedulerMachine::Private::runCrashed(
    SchedulerStep &step, ScheduledJob &job, ScheduledTask &task, const CrashKey &crash, bool isSuspect)
{
    // A run that had the worker to itself can blame no other.
    m_crashes.add(step.now(), crash, {job.spec->id, task.step, task.index}, isSuspect, isSuspect && task.wasSentIsolated);
    return judge(step, job, task);
}

void SchedulerMachine::Private::updateBulkhead(SchedulerStep &step)
{
    const auto workers = m_workers.reportingCount();
    if (!m_bulkhead.update(step.now(), workers)) {
        return;
    }
    m_workers.keepForConfined(m_bulkhead.share(workers));
    std::string names;
    for (const auto &queue : m_bulkhead.confined()) {
        names.append(names.empty() ? "" : " ").append(queue.value());
    }
    step.log(Severity::Warning,
             names.empty() ? "No queue is confined any more." : "Queues whose tasks crash their upstreams are confined to some workers.",
             {{"queues", names}, {"workers", std::to_string(m_bulkhead.share(workers))}, {"of", std::to_string(workers)}});
    for (auto &[number, job] : m_jobs) {
        m_order.remove(number);
        m_confinedOrder.remove(number);
        enqueue(job);
    }
}

void SchedulerMachine::Private::handle(SchedulerStep &step, const RunReported &input)
{
    const auto found = m_batches.find(input.batch);
    const auto order = input.report.order;
    if (found == m_batches.end() || order >= found->second.tasks.size() || found->second.reported[order]) {
        return; // the batch was cancelled or has ended, or the run was reported before
    }
    found->second.reported[order] = true;
    auto &job = m_jobs.at(found->second.job);
    const auto agent = found->second.agent;
    const CrashKey crash{agent, found->second.guard, input.report.crash};
    const auto task = found->second.tasks[order];
    // The runs of a recalled batch are reported as cancelled, too.
    const bool wasCutShort = input.report.outcome != RunOutcome::Done && input.report.outcome != RunOutcome::Failed;
    const bool isCancelled = wasCutShort && input.report.error == ErrorKind::Cancelled && !found->second.recalled;
    if (std::ranges::find(found->second.reported, false) == found->second.reported.end()) {
        job.batches.erase(input.batch);
        m_batches.erase(found);
    }
    m_workers.removeTasks(agent, 1);
    if (isCancelled) {
        --job.placed[job.tasks[task].step][agent];
        setWaiting(step, job, job.tasks[task]);
        step.emit(Count{CounterMetric::JobsCancelled, 1});
        cancel(step, job.spec->id);
        return;
    }
    if (input.report.crash != CrashNumber() && runCrashed(step, job, job.tasks[task], crash, input.report.isSuspect)) {
        return;
    }
    runEnded(step, job, job.tasks[task], agent, input.report);
}

void SchedulerMachine::Private::handle(SchedulerStep &step, const RunProjected &input)
{
    const auto found = m_batches.find(input.batch);
    const auto &[order, runTime] = input.projection;
    if (found == m_batches.end() || order >= found->second.tasks.size() || found->second.reported[order]) {
        return; // the batch was cancelled or has ended, or the run was reported before
    }
    auto &job = m_jobs.at(found->second.job);
    auto &task = job.tasks[found->second.tasks[order]];
    if (job.connections.empty() || task.stage != ScheduledStage::Sent) {
        return;
    }
    task.isLong = true;
    // A slow worker lengthens the run, but not the work.
    const auto needed = scaled(runTime, 1 / m_workers.runTimeFactor(found->second.agent));
    job.needed[task.step] = std::max(job.needed[task.step], needed);
    const auto before = job.objective;
    setTimes(job);
    step.log(Severity::Info,
             "A task needs longer than expected; the objective of its job grows.",
             {{"task", nameOf(job, task)},
              {"worker", found->second.agent.value()},
              {"expected_ms", inMilliseconds(job.expected[task.step])},
              {"projected_ms", inMilliseconds(runTime)},
              {"objective_before_ms", inMilliseconds(before)},
              {"objective_ms", inMilliseconds(job.objective)}});
    scheduleCheck(job, deadlineUnreachableAt(job));
    enqueue(job);
}

void SchedulerMachine::Private::runEnded(
    SchedulerStep &step, ScheduledJob &job, ScheduledTask &task, const AgentName &agent, const RunReport &report)
{
    --job.placed[task.step][agent];
    const bool wasLong = std::exchange(task.isLong, false);
    task.mayHaveRun = task.mayHaveRun || report.outcome != RunOutcome::NotStarted;
    switch (report.outcome) {
    case RunOutcome::Done: {
        const auto declared = job.spec->steps[task.step].declaredRunTime;
        const auto factor = m_workers.runTimeFactor(agent);
        const auto expected = scaled(job.expected[task.step], factor);
        // A single long task says nothing about the worker, and little about the others of its queue.
        const auto runTime = wasLong ? std::min(report.runTime, scaled(expected, LongestLearned)) : report.runTime;
        const auto onUsualWorker = scaled(runTime, 1 / factor);
        m_workers.recordSuccess(step.now(), agent, expected, runTime);
        m_placement.recordRun(runTime);
        m_runTimes.learn(job.queue->service, TaskKind(job.queue->name.value()), declared, onUsualWorker);
        const bool isFirstOfStep = job.openTasks[task.step] == job.spec->steps[task.step].count;
        if (isFirstOfStep && tellsSpeed(job, task, agent)) {
            m_references.learn(job.queue->name, declared, onUsualWorker);
        }
        task.stage = ScheduledStage::Done;
        if (--job.openTasks[task.step] == 0) {
            unblockSteps(step, job);
        }
        if (std::ranges::all_of(job.openTasks, [](std::uint32_t open) { return open == 0; })) {
            answer(step, job, QueueJobResult::Complete, ErrorKind::None);
            return;
        }
        break;
    }
    case RunOutcome::Failed: {
        const bool isLast = ++task.failures >= job.queue->maxAttempts;
        step.log(Severity::Info,
                 isLast ? "A task failed for the last time." : "A task failed; it is placed again.",
                 {{"task", nameOf(job, task)},
                  {"worker", agent.value()},
                  {"failures", std::to_string(task.failures)},
                  {"most_failures", std::to_string(job.queue->maxAttempts)}});
        runFailed(step, job, task, agent);
        if (isLast) {
            answer(step, job, QueueJobResult::Failed, ErrorKind::TaskFailed);
            return;
        }
        setWaiting(step, job, task);
        break;
    }
    case RunOutcome::Stopped:
    case RunOutcome::Lapsed:
        step.log(Severity::Info,
                 "A run was cut short; its task is placed again.",
                 {{"task", nameOf(job, task)},
                  {"run", std::to_string(task.runs)},
                  {"worker", agent.value()},
                  {"outcome", std::string(runOutcomeName(report.outcome))},
                  {"error", std::string(errorRow(report.error).code)},
                  {"ran_ms", inMilliseconds(report.runTime)},
                  {"expected_ms", inMilliseconds(job.expected[task.step])}});
        if (report.crash != CrashNumber() || (report.error != ErrorKind::None && report.error != ErrorKind::RunLimitReached)) {
            task.avoided.push_back(
                agent); // a crash, a lost connection or answer, or an expired job, says nothing about the worker's health
        } else {
            runFailed(step, job, task, agent);
        }
        setWaiting(step, job, task);
        break;
    default:
        step.log(Severity::Info,
                 "A worker did not start a task; the task is placed again.",
                 {{"task", nameOf(job, task)},
                  {"run", std::to_string(task.runs)},
                  {"worker", agent.value()},
                  {"error", std::string(errorRow(report.error).code)}});
        if (report.error != ErrorKind::DeadlineUnreachable) {
            task.avoided.push_back(agent);
        }
        if (m_policy.isByValue()) {
            m_order.recordReturned(step.now(), coreTimeOf(job, task));
        }
        setWaiting(step, job, task);
        break;
    }
    continueJob(step, job);
}

void SchedulerMachine::Private::runFailed(SchedulerStep &step, ScheduledJob &job, ScheduledTask &task, const AgentName &agent)
{
    task.avoided.push_back(agent);
    if (m_workers.recordFailure(step.now(), agent, job.number.value())) {
        step.emit(Count{CounterMetric::WorkersEjected, 1});
        step.log(Severity::Warning, "A worker is ejected: tasks of several jobs failed on it in a row.", {{"worker", agent.value()}});
    }
}

void SchedulerMachine::Private::handle(SchedulerStep &step, const BatchInterrupted &input)
{
    const auto found = m_batches.find(input.batch);
    if (found == m_batches.end()) {
        return;
    }
    auto &batch = found->second;
    auto &job = m_jobs.at(batch.job);
    m_workers.forgetBatch(batch.agent, input.batch);
    const bool mayHaveArrived = input.delivery != Delivery::NotSent;
    step.log(Severity::Warning,
             mayHaveArrived ? "The connection of a batch was lost; the batch is recalled." : "A batch could not be sent.",
             {{"job", job.spec->id.value()},
              {"worker", batch.agent.value()},
              {"batch", std::to_string(input.batch.value())},
              {"tasks", std::to_string(batch.tasks.size())}});
    if (mayHaveArrived) {
        recall(step, job, input.batch, batch);
    } else {
        for (const auto index : batch.tasks) {
            auto &task = job.tasks[index];
            m_workers.removeTasks(batch.agent, 1);
            --job.placed[task.step][batch.agent];
            task.avoided.push_back(batch.agent);
            setWaiting(step, job, task);
        }
        job.batches.erase(input.batch);
        m_batches.erase(found);
    }
    continueJob(step, job);
}

void SchedulerMachine::Private::recall(SchedulerStep &step, ScheduledJob &job, BatchNumber number, OpenBatch &batch)
{
    batch.recalled = true;
    for (std::size_t order = 0; order < batch.tasks.size(); ++order) {
        if (!batch.reported[order]) {
            auto &task = job.tasks[batch.tasks[order]];
            task.stage = ScheduledStage::Recalled;
            task.readyAt = step.now();
        }
    }
    const auto orders = static_cast<std::uint32_t>(batch.tasks.size());
    step.emit(RecallBatch{batch.agent, {m_settings.name, m_settings.incarnation, number, batch.guard, orders}});
}

void SchedulerMachine::Private::renewBatches(SchedulerStep &step)
{
    if (step.now() < m_renewAt) {
        return;
    }
    const auto groupInterval = m_leaseTimes.renewInterval / RenewGroups;
    std::size_t groups = 0;
    for (; m_renewAt <= step.now() && groups < RenewGroups; m_renewAt += groupInterval) {
        ++groups;
    }
    if (m_renewAt <= step.now()) {
        m_renewAt = step.now() + groupInterval;
    }
    const auto firstGroup = std::exchange(m_renewGroup, (m_renewGroup + groups) % RenewGroups);
    const auto isDue = [&](const AgentName &agent) {
        const auto group = std::hash<AgentName>()(agent) % RenewGroups;
        return (group + RenewGroups - firstGroup) % RenewGroups < groups;
    };
    std::map<AgentName, BatchRenewal> renewals;
    for (const auto &[number, batch] : m_batches) {
        if (!batch.recalled && batch.sentAt + m_leaseTimes.minRenewAge <= step.now() && isDue(batch.agent)) {
            renewals[batch.agent].batches.push_back(number);
        }
    }
    for (auto &[agent, renewal] : renewals) {
        renewal.scheduler = m_settings.name;
        renewal.schedulerIncarnation = m_settings.incarnation;
        renewal.leaseUntil = m_workers.earliestGuardTime(step.now(), agent) + GuardTime(m_leaseTimes.lease.count());
        step.emit(RenewBatches{agent, std::move(renewal)});
    }
}

} // namespace Sycamoremoor
