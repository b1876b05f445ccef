// Keeps the platform's record of a slot's agents ahead of their use.
#include "slot_agents_controller.h"

#include <algorithm>

namespace Sycamoremoor
{

SlotAgentsController::SlotAgentsController(const EntrySettings &settings)
    : m_settings(settings)
{
}

void SlotAgentsController::follow(EntryStep &step, const std::vector<Tenure> &tenures)
{
    std::map<OwnerSlotIndex, Record> next;
    for (const auto &tenure : tenures) {
        if (!tenure.exclusive) {
            continue;
        }
        auto &record = next[tenure.slot];
        const auto known = m_records.find(tenure.slot);
        if (known != m_records.end() && known->second.token == tenure.token) {
            record = std::move(known->second);
        } else {
            record.token = tenure.token;
            read(step, tenure.slot, record);
        }
    }
    m_records = std::move(next);
    if (m_records.empty()) {
        m_wanted.clear();
    }
}

void SlotAgentsController::onRead(EntryStep &step, const SlotAgentsRead &readResult)
{
    const auto found = m_records.find(readResult.slot);
    if (found == m_records.end() || found->second.writing) {
        return;
    }
    auto &record = found->second;
    record.recorded.insert(readResult.agents.begin(), readResult.agents.end());
    record.modRevision = readResult.modRevision;
    record.current = true;
    if (!record.inherited) {
        record.inherited = readResult.agents;
    }
    write(step, found->first, record);
}

void SlotAgentsController::onWriteEnded(EntryStep &step, const SlotAgentsWriteEnded &ended)
{
    const auto found = m_records.find(ended.slot);
    if (found == m_records.end() || !found->second.writing) {
        return;
    }
    auto &record = found->second;
    record.writing = false;
    if (ended.outcome != WriteOutcome::Written) {
        read(step, found->first, record);
        return;
    }
    record.recorded.insert(record.written.begin(), record.written.end());
    record.modRevision = ended.modRevision;
    record.current = true;
    write(step, found->first, record);
}

void SlotAgentsController::want(EntryStep &step, const AgentName &agent)
{
    if (!m_wanted.insert(agent).second) {
        return;
    }
    for (auto &[slot, record] : m_records) {
        write(step, slot, record);
    }
}

bool SlotAgentsController::isRecorded(const AgentName &agent) const
{
    return !m_records.empty() && std::ranges::all_of(m_records, [&](const auto &item) { return item.second.recorded.contains(agent); });
}

const std::vector<AgentName> *SlotAgentsController::inherited(OwnerSlotIndex slot) const
{
    const auto found = m_records.find(slot);
    return found != m_records.end() && found->second.inherited ? &*found->second.inherited : nullptr;
}

void SlotAgentsController::onTime(EntryStep &step)
{
    for (auto &[slot, record] : m_records) {
        if (!record.current && !record.writing && step.now() >= record.retryAt) {
            read(step, slot, record);
        }
    }
}

std::optional<MonotonicTime> SlotAgentsController::nextWake() const
{
    std::optional<MonotonicTime> wake;
    for (const auto &[slot, record] : m_records) {
        if (!record.current && !record.writing && (!wake || record.retryAt < *wake)) {
            wake = record.retryAt;
        }
    }
    return wake;
}

void SlotAgentsController::read(EntryStep &step, OwnerSlotIndex slot, Record &record)
{
    record.current = false;
    record.retryAt = step.now() + m_settings.headReadInterval;
    step.emit(ReadSlotAgents{slot});
}

void SlotAgentsController::write(EntryStep &step, OwnerSlotIndex slot, Record &record)
{
    if (!record.current || record.writing) {
        return;
    }
    auto all = record.recorded;
    all.insert(m_wanted.begin(), m_wanted.end());
    if (all.size() == record.recorded.size()) {
        return;
    }
    record.written.assign(all.begin(), all.end());
    record.writing = true;
    record.current = false;
    step.emit(WriteSlotAgents{slot, record.written, record.modRevision});
}

} // namespace Sycamoremoor
