// Sends the ledger records of a slot's submissions to the slot's new owner.
#include "ledger_report_controller.h"

#include <sycamoremoor/core/roster_func.h>

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

constexpr std::size_t MaxPartEntries = 256;
constexpr std::size_t MaxPartBytes = 512U << 10U;
constexpr Duration RepeatDelay = std::chrono::seconds(2);

} // namespace

LedgerReportController::LedgerReportController(AgentState &state)
    : m_state(state)
{
}

void LedgerReportController::handleRosterChange()
{
    auto bySlot = tasksBySlot();
    const auto &roster = *m_state.roster;
    std::erase_if(m_transfers, [this](const auto &transfer) { return !m_state.owners.at(transfer.second.owner).inRoster; });
    for (std::uint32_t index = 0; index < roster.slots.size(); ++index) {
        const OwnerSlotIndex slot(index);
        const auto &entry = roster.slots[index];
        auto &reported = m_reportedTokens[slot];
        if (entry.token <= reported || ownerOf(roster, slot) == nullptr) {
            continue;
        }
        reported = entry.token;
        m_transfers.erase(slot);
        if (!entry.former.empty() && (isAssignedTo(slot) || bySlot.contains(slot))) {
            beginTransfer(slot, std::move(bySlot[slot]));
        }
    }
}

std::map<OwnerSlotIndex, std::vector<TaskId>> LedgerReportController::tasksBySlot() const
{
    std::map<OwnerSlotIndex, std::vector<TaskId>> bySlot;
    const auto slots = m_state.roster->slots.size();
    if (slots == 0) {
        return bySlot;
    }
    for (const auto &[task, record] : m_state.ledger.records()) {
        bySlot[slotOfKey(task.submission, slots)].push_back(task);
    }
    for (auto &[slot, tasks] : bySlot) {
        std::ranges::sort(tasks);
    }
    return bySlot;
}

bool LedgerReportController::isAssignedTo(OwnerSlotIndex slot) const
{
    const auto &settings = m_state.settings;
    return assignedSlot(*m_state.roster, settings.name, settings.zone, settings.region) == slot;
}

void LedgerReportController::beginTransfer(OwnerSlotIndex slot, std::vector<TaskId> tasks)
{
    const auto &entry = m_state.roster->slots[slot.value()];
    Transfer transfer;
    transfer.token = entry.token;
    transfer.owner = m_state.owners.add(entry.owner, entry.incarnation);
    for (const auto &task : tasks) {
        // The end of the task is then reported to the new owner as well.
        if (auto *record = m_state.ledger.find(task); !isFinal(record->state)) {
            m_state.ledger.setNewOwner(*record, transfer.owner);
        }
    }
    transfer.partBegins = splitParts(tasks);
    transfer.tasks = std::move(tasks);
    m_transfers[slot] = std::move(transfer);
}

std::vector<std::size_t> LedgerReportController::splitParts(const std::vector<TaskId> &tasks) const
{
    std::vector<std::size_t> begins{0};
    std::size_t bytes = 0;
    for (std::size_t position = 0; position < tasks.size(); ++position) {
        bytes += m_state.ledger.find(tasks[position])->result.size();
        if (position - begins.back() == MaxPartEntries || bytes > MaxPartBytes) {
            begins.push_back(position);
            bytes = 0;
        }
    }
    return begins;
}

void LedgerReportController::handleReply(AgentStep &step, const LedgerReportReply &reply)
{
    const auto found = m_transfers.find(reply.slot);
    if (found == m_transfers.end() || found->second.token != reply.token || found->second.part != reply.part) {
        return;
    }
    auto &transfer = found->second;
    ++transfer.part;
    transfer.sendAt = step.context.now;
    if (transfer.part == transfer.partBegins.size()) {
        m_transfers.erase(found);
    }
}

void LedgerReportController::tick(AgentStep &step)
{
    for (auto &[slot, transfer] : m_transfers) {
        if (transfer.sendAt <= step.context.now) {
            send(step, slot, transfer);
        }
    }
}

void LedgerReportController::send(AgentStep &step, OwnerSlotIndex slot, Transfer &transfer)
{
    transfer.sendAt = step.context.now + RepeatDelay;
    const auto &owner = m_state.owners.at(transfer.owner);
    LedgerReport report;
    report.agent = m_state.settings.name;
    report.incarnation = m_state.settings.incarnation;
    // Dropped records count as older than the ledger.
    report.startedAt = std::max(m_state.startedAt, m_state.ledger.droppedUpTo());
    report.slot = slot;
    report.token = transfer.token;
    report.part = transfer.part;
    report.parts = static_cast<std::uint32_t>(transfer.partBegins.size());
    const auto begin = transfer.partBegins[transfer.part];
    const auto end = transfer.part + 1 < transfer.partBegins.size() ? transfer.partBegins[transfer.part + 1] : transfer.tasks.size();
    for (auto position = begin; position < end; ++position) {
        const auto &task = transfer.tasks[position];
        if (const auto *record = m_state.ledger.find(task); record != nullptr) {
            report.entries.push_back(makeReport(task, *record, ReportSequence()));
        }
    }
    step.outputs.emplace_back(SendLedgerReport{owner.endpoint, std::move(report)});
}

MonotonicTime LedgerReportController::nextWake() const
{
    auto wake = MonotonicTime::max();
    for (const auto &[slot, transfer] : m_transfers) {
        wake = std::min(wake, transfer.sendAt);
    }
    return wake;
}

bool LedgerReportController::isPending() const
{
    return !m_transfers.empty();
}

} // namespace Sycamoremoor
