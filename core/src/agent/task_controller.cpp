// Start rules, queue of tasks that wait for a slot, and end of tasks.
#include "task_controller.h"

#include <algorithm>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr Duration FirstQueryDelay = std::chrono::seconds(2); ///< added to the declared run time

/** Returns the report of a task of which it is not known whether it ran. */
TaskReport unknownReport(const TaskId &task, TaskState state, ErrorKind error)
{
    TaskReport report;
    report.task = task;
    report.state = state;
    report.ran = RunState::Unknown;
    report.error = error;
    return report;
}

MonotonicTime stampTime(AgentStamp stamp)
{
    return MonotonicTime(Duration(stamp.value()));
}

} // namespace

TaskController::TaskController(AgentState &state, ReportController &reports)
    : m_state(state)
    , m_reports(reports)
{
}

OwnerIndex TaskController::registerSender(const OwnerClaim &claim)
{
    const auto index = m_state.owners.add(claim.owner, claim.incarnation);
    if (m_state.roster) {
        m_state.owners.updateFrom(*m_state.roster);
    }
    return index;
}

void TaskController::recordToken(const OwnerClaim &claim)
{
    m_state.tokens.raise(claim.slot, claim.token, claim.owner, claim.incarnation);
}

bool TaskController::isForOtherIncarnation(Incarnation incarnation) const
{
    return m_state.rules.checkIncarnation && incarnation != m_state.settings.incarnation;
}

bool TaskController::isFenced(const OwnerClaim &claim) const
{
    return m_state.rules.checkToken && claim.token < m_state.tokens.highest(claim.slot);
}

bool TaskController::isStale(AgentStep &step, AgentStamp stamp) const
{
    const auto madeAt = stampTime(stamp);
    const auto now = step.context.now;
    return m_state.rules.checkStamp && (madeAt < m_state.firstStep || madeAt > now || now - madeAt > m_state.settings.startMaxAge);
}

void TaskController::startTasks(AgentStep &step, StartTasks message)
{
    const auto owner = registerSender(message.claim);
    if (isForOtherIncarnation(message.agentIncarnation)) {
        refuseAll(step, owner, message, ErrorKind::WrongIncarnation);
        return;
    }
    m_reports.acknowledge(owner, message.acknowledged);
    if (isFenced(message.claim)) {
        step.outputs.emplace_back(Count{CounterMetric::FencedStarts, message.tasks.size()});
        refuseAll(step, owner, message, ErrorKind::OwnerFenced);
        return;
    }
    recordToken(message.claim);
    if (isStale(step, message.stamp)) {
        step.outputs.emplace_back(Count{CounterMetric::StaleStarts, message.tasks.size()});
        refuseAll(step, owner, message, ErrorKind::StaleMessage);
        return;
    }
    // An owner sends nothing to an agent that it has not received from for the failure timeout, so the message can't have been sent later.
    const auto sentBy = std::min(step.context.now, stampTime(message.stamp) + m_state.settings.failureTimeout);
    for (auto &task : message.tasks) {
        const auto startBy = sentBy + task.deadline;
        startOne(step, owner, message.claim, std::move(task), startBy);
    }
    fillSlots(step);
}

void TaskController::refuseAll(AgentStep &step, OwnerIndex owner, const StartTasks &message, ErrorKind error)
{
    for (const auto &task : message.tasks) {
        if (const auto *record = m_state.ledger.find(task.task); record != nullptr) {
            m_reports.answer(owner, task.task, *record);
        } else if (error == ErrorKind::StaleMessage) {
            answerUnknownTask(step, owner, message.claim.slot, task.task, error);
        } else if (error == ErrorKind::WrongIncarnation && m_state.rules.unknownAfterRestart) {
            // Another copy of the message may have reached the incarnation that it was for.
            m_reports.answer(owner, unknownReport(task.task, TaskState::Lost, error));
        } else {
            m_reports.answer(owner, unknownReport(task.task, TaskState::NeverStarted, error));
        }
    }
}

void TaskController::startOne(AgentStep &step, OwnerIndex owner, const OwnerClaim &claim, StartTask task, MonotonicTime startBy)
{
    if (auto *record = m_state.ledger.find(task.task); record != nullptr && m_state.rules.checkLedger) {
        m_state.ledger.setNewOwner(*record, owner);
        m_reports.answer(owner, task.task, *record);
        return;
    }
    if (const auto error = refusalReason(step, task, startBy); error != ErrorKind::None) {
        tombstone(step, owner, claim.slot, task.task, error);
        return;
    }
    accept(step, owner, claim.slot, std::move(task), startBy);
}

ErrorKind TaskController::refusalReason(AgentStep &step, const StartTask &task, MonotonicTime startBy) const
{
    if (m_state.rules.checkLeaving && m_state.isLeaving()) {
        return ErrorKind::Draining;
    }
    if (m_state.rules.checkDeadline && startBy <= step.context.now) {
        return ErrorKind::DeadlineUnreachable;
    }
    if (m_state.rules.checkCapacity && (!m_state.upstreamHealthy || !fits(task))) {
        return ErrorKind::NoCapacity;
    }
    return ErrorKind::None;
}

bool TaskController::fits(const StartTask &task) const
{
    const auto &capacity = m_state.settings.capacity;
    const auto &size = task.spec.size;
    const bool sizeFits = size.cores <= capacity.cores && size.memory <= capacity.memory && size.accelerators <= capacity.accelerators;
    const auto occupied = m_state.running + m_state.queue.size();
    return sizeFits && occupied < static_cast<std::size_t>(capacity.slots.value()) + queueLimit();
}

std::size_t TaskController::queueLimit() const
{
    return m_state.config ? m_state.config->policy.agentQueue : m_state.settings.agentQueue;
}

void TaskController::accept(AgentStep &step, OwnerIndex owner, OwnerSlotIndex slot, StartTask task, MonotonicTime startBy)
{
    LedgerRecord record;
    record.slot = slot;
    record.owner = owner;
    record.digest = task.digest;
    record.state = TaskState::Queued;
    m_state.ledger.insert(step.context.now, task.task, std::move(record));
    ActiveTask active;
    active.expectedRunTime = task.spec.declaredRunTime;
    active.spec = std::move(task.spec);
    active.startBy = startBy;
    m_state.active[task.task] = std::move(active);
    m_state.queue.push_back(task.task);
}

void TaskController::tombstone(AgentStep &step, OwnerIndex owner, OwnerSlotIndex slot, const TaskId &task, ErrorKind error)
{
    LedgerRecord record;
    record.slot = slot;
    record.owner = owner;
    record.error = error;
    if (!m_state.rules.tombstoneRefused && error != ErrorKind::Tombstoned) {
        m_reports.answer(owner, task, record);
        return;
    }
    step.outputs.emplace_back(Count{CounterMetric::TombstonesSet, 1});
    m_reports.reportTaskEnd(step, task, m_state.ledger.insert(step.context.now, task, std::move(record)));
}

void TaskController::answerUnknownTask(AgentStep &step, OwnerIndex owner, OwnerSlotIndex slot, const TaskId &task, ErrorKind error)
{
    if (m_state.rules.unknownIfDropped && m_state.ledger.mayHaveDropped(task)) {
        m_reports.answer(owner, unknownReport(task, TaskState::Lost, ErrorKind::AgentLost));
        return;
    }
    if (!m_state.rules.tombstoneQueried) {
        m_reports.answer(owner, task, LedgerRecord{});
        return;
    }
    tombstone(step, owner, slot, task, error);
}

void TaskController::stopTasks(AgentStep &step, const StopTasks &message)
{
    const auto owner = registerSender(message.claim);
    recordToken(message.claim);
    for (const auto &task : message.tasks) {
        stopOne(step, owner, message, task);
    }
    fillSlots(step);
}

void TaskController::stopOne(AgentStep &step, OwnerIndex owner, const StopTasks &message, const TaskId &task)
{
    auto *record = m_state.ledger.find(task);
    if (record == nullptr) {
        if (isForOtherIncarnation(message.agentIncarnation)) {
            m_reports.answer(owner, unknownReport(task, TaskState::Lost, ErrorKind::WrongIncarnation));
        } else if (isFenced(message.claim)) {
            m_reports.answer(owner, unknownReport(task, TaskState::NeverStarted, ErrorKind::OwnerFenced));
        } else {
            answerUnknownTask(step, owner, message.claim.slot, task, message.reason);
        }
        return;
    }
    if (isFinal(record->state) || isFenced(message.claim)) {
        m_reports.answer(owner, task, *record);
        return;
    }
    m_state.ledger.setNewOwner(*record, owner);
    auto &active = m_state.active.at(task);
    active.stopReason = message.reason;
    if (record->state == TaskState::Queued) {
        endUnstarted(step, task, message.reason);
        return;
    }
    step.outputs.emplace_back(StopOnUpstream{task});
    m_reports.answer(owner, task, *record);
}

void TaskController::queryTasks(AgentStep &step, const QueryTasks &message)
{
    const auto owner = registerSender(message.claim);
    recordToken(message.claim);
    for (const auto &task : message.tasks) {
        if (auto *record = m_state.ledger.find(task); record != nullptr) {
            if (!isFenced(message.claim)) {
                m_state.ledger.setNewOwner(*record, owner);
            }
            m_reports.answer(owner, task, *record);
        } else if (isForOtherIncarnation(message.agentIncarnation)) {
            m_reports.answer(owner, unknownReport(task, TaskState::Lost, ErrorKind::WrongIncarnation));
        } else if (isFenced(message.claim)) {
            m_reports.answer(owner, unknownReport(task, TaskState::NeverStarted, ErrorKind::OwnerFenced));
        } else {
            answerUnknownTask(step, owner, message.claim.slot, task, ErrorKind::Tombstoned);
        }
    }
}

void TaskController::fillSlots(AgentStep &step)
{
    const auto slots = static_cast<std::uint32_t>(m_state.settings.capacity.slots.value());
    const bool startable = m_state.upstreamHealthy && !m_state.upstreamLeaving;
    for (std::size_t position = 0; position < m_state.queue.size();) {
        const auto task = m_state.queue[position];
        if (m_state.rules.checkDeadline && m_state.active.at(task).startBy <= step.context.now) {
            endUnstarted(step, task, ErrorKind::DeadlineUnreachable);
        } else if (!startable) {
            endUnstarted(step, task, m_state.upstreamLeaving ? ErrorKind::Draining : ErrorKind::NoCapacity);
        } else if (m_state.running < slots || !m_state.rules.checkCapacity) {
            startOnUpstream(step, task);
        } else {
            ++position;
        }
    }
}

void TaskController::endUnstarted(AgentStep &step, const TaskId &task, ErrorKind error)
{
    std::erase(m_state.queue, task);
    m_state.active.erase(task);
    auto &record = *m_state.ledger.find(task);
    TaskReport end;
    end.error = error;
    m_state.ledger.finish(step.context.now, task, record, end);
    m_reports.reportTaskEnd(step, task, record);
}

void TaskController::startOnUpstream(AgentStep &step, const TaskId &task)
{
    std::erase(m_state.queue, task);
    auto &record = *m_state.ledger.find(task);
    record.state = TaskState::Running;
    record.ran = RunState::Unknown;
    record.startedAt = step.context.wall;
    auto &active = m_state.active.at(task);
    active.startedAt = step.context.now;
    active.queryDelay = FirstQueryDelay;
    active.queryAt = step.context.now + active.expectedRunTime + active.queryDelay;
    ++m_state.running;
    step.outputs.emplace_back(StartOnUpstream{task, std::exchange(active.spec, {})});
}

void TaskController::finish(AgentStep &step, const TaskId &task, const TaskReport &end)
{
    const auto active = m_state.active.find(task);
    auto *found = m_state.ledger.find(task);
    if (active == m_state.active.end() || found == nullptr || found->state != TaskState::Running) {
        return;
    }
    auto &record = *found;
    if (end.ran == RunState::Ran) {
        const std::chrono::duration<double> seconds = step.context.now - active->second.startedAt;
        step.outputs.emplace_back(Observation{HistogramMetric::TaskRunSeconds, seconds.count()});
    }
    m_state.active.erase(active);
    --m_state.running;
    m_state.ledger.finish(step.context.now, task, record, end);
    m_reports.reportTaskEnd(step, task, record);
    fillSlots(step);
}

MonotonicTime TaskController::nextWake() const
{
    auto wake = MonotonicTime::max();
    for (const auto &task : m_state.queue) {
        wake = std::min(wake, m_state.active.at(task).startBy);
    }
    return wake;
}

} // namespace Sycamoremoor
