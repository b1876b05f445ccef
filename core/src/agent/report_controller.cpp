// Task reports to owners: numbered, sent at once, and repeated until acknowledged.
#include "report_controller.h"

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

constexpr std::size_t MaxRepeatedReports = 64;
constexpr std::size_t MaxRepeatedBytes = 256U << 10U;

ReportSequence next(ReportSequence sequence)
{
    return ReportSequence(sequence.value() + 1);
}

} // namespace

ReportController::ReportController(AgentState &state)
    : m_state(state)
{
}

void ReportController::reportTaskEnd(AgentStep &step, const TaskId &task, const LedgerRecord &record)
{
    for (const auto index : {record.owner, record.newOwner}) {
        if (index == NoOwner) {
            continue;
        }
        auto &owner = m_state.owners.at(index);
        owner.lastSequence = next(owner.lastSequence);
        owner.unacknowledged.push_back({owner.lastSequence, task, step.context.now});
        owner.batch.push_back(reportFor(owner, task, record, owner.lastSequence));
    }
}

void ReportController::answer(OwnerIndex owner, const TaskId &task, const LedgerRecord &record)
{
    auto &receiver = m_state.owners.at(owner);
    const auto pending = std::ranges::find(receiver.unacknowledged, task, &PendingReport::task);
    const auto sequence = pending == receiver.unacknowledged.end() ? ReportSequence() : pending->sequence;
    receiver.batch.push_back(reportFor(receiver, task, record, sequence));
}

void ReportController::answer(OwnerIndex owner, TaskReport report)
{
    m_state.owners.at(owner).batch.push_back(std::move(report));
}

void ReportController::acknowledge(OwnerIndex owner, ReportSequence sequence)
{
    auto &pending = m_state.owners.at(owner).unacknowledged;
    while (!pending.empty() && pending.front().sequence <= sequence) {
        m_state.ledger.acknowledge(pending.front().task);
        pending.pop_front();
    }
}

void ReportController::deliveryFailed(const EntryName &owner)
{
    for (auto &candidate : m_state.owners.owners()) {
        if (candidate.name == owner) {
            for (auto &pending : candidate.unacknowledged) {
                pending.sentAt = MonotonicTime::min();
            }
        }
    }
}

std::vector<TaskReport> ReportController::collectDue(AgentStep &step, OwnerIndex owner)
{
    std::vector<TaskReport> reports;
    std::size_t bytes = 0;
    auto &receiver = m_state.owners.at(owner);
    for (auto &pending : receiver.unacknowledged) {
        if (reports.size() == MaxRepeatedReports || bytes > MaxRepeatedBytes) {
            break;
        }
        if (pending.sentAt > step.context.now - m_state.settings.reportRetryDelay) {
            continue;
        }
        if (const auto *record = m_state.ledger.find(pending.task); record != nullptr) {
            reports.push_back(reportFor(receiver, pending.task, *record, pending.sequence));
            bytes += record->result.size();
        }
        pending.sentAt = step.context.now;
    }
    return reports;
}

void ReportController::flush(AgentStep &step)
{
    for (auto &owner : m_state.owners.owners()) {
        if (owner.batch.empty()) {
            continue;
        }
        TaskReports reports;
        reports.agent = m_state.settings.name;
        reports.incarnation = m_state.settings.incarnation;
        reports.owner = owner.incarnation;
        reports.queued = static_cast<std::uint32_t>(m_state.queue.size());
        reports.running = m_state.running;
        reports.reports = std::exchange(owner.batch, {});
        step.outputs.emplace_back(ReportToOwner{owner.name, owner.endpoint, std::move(reports)});
    }
}

MonotonicTime ReportController::nextDue(const Owner &owner) const
{
    if (owner.unacknowledged.empty() || !owner.inRoster) {
        return MonotonicTime::max();
    }
    const auto sentAt = owner.unacknowledged.front().sentAt;
    return sentAt == MonotonicTime::min() ? sentAt : sentAt + m_state.settings.reportRetryDelay;
}

std::size_t ReportController::unacknowledged() const
{
    std::size_t count = 0;
    for (const auto &owner : m_state.owners.owners()) {
        count += owner.inRoster ? owner.unacknowledged.size() : 0;
    }
    return count;
}

TaskReport ReportController::reportFor(const Owner &owner, const TaskId &task, const LedgerRecord &record, ReportSequence sequence) const
{
    auto report = makeReport(task, record, sequence);
    const bool fenced = m_state.tokens.isFenced(record.slot, owner.name, owner.incarnation);
    if (m_state.rules.unknownToFencedOwner && fenced && record.state == TaskState::NeverStarted) {
        // The task never starts here, but the slot's new owner may start it on another agent.
        report.ran = RunState::Unknown;
        report.error = ErrorKind::OwnerFenced;
    }
    return report;
}

} // namespace Sycamoremoor
