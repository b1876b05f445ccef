// Ledger of an agent: the tasks that it received and their results.
#include "ledger.h"

#include <algorithm>
#include <utility>

namespace Sycamoremoor
{

TaskReport makeReport(const TaskId &task, const LedgerRecord &record, ReportSequence sequence)
{
    TaskReport report;
    report.task = task;
    report.sequence = sequence;
    report.digest = record.digest;
    report.state = record.state;
    report.ran = record.ran;
    report.error = record.error;
    report.result = record.result;
    report.resultReleased = record.resultReleased;
    report.startedAt = record.startedAt;
    report.finishedAt = record.finishedAt;
    return report;
}

Ledger::Ledger(const AgentSettings &settings, const LedgerRules &rules, OwnerTable &owners)
    : m_owners(owners)
    , m_retention(rules.retainBeyondStartMaxAge ? settings.ledgerRetention : Duration(0))
    , m_minRetention(2 * settings.startMaxAge)
    , m_maxEnded(settings.ledgerRecords)
    , m_resultRetention(settings.resultRetention)
    , m_maxResultBytes(static_cast<std::size_t>(settings.resultBytes.value()))
{
}

LedgerRecord *Ledger::find(const TaskId &task)
{
    const auto found = m_records.find(task);
    return found == m_records.end() ? nullptr : &found->second;
}

LedgerRecord &Ledger::insert(MonotonicTime now, const TaskId &task, LedgerRecord record)
{
    auto &stored = m_records[task];
    stored = std::move(record);
    if (stored.owner != NoOwner) {
        ++m_owners.at(stored.owner).records;
    }
    if (isFinal(stored.state)) {
        beginRetention(now, task, stored);
    } else {
        countHeld(stored, 1);
    }
    return stored;
}

void Ledger::setNewOwner(LedgerRecord &record, OwnerIndex owner)
{
    if (record.owner == owner || record.newOwner == owner) {
        return;
    }
    if (record.newOwner != NoOwner) {
        auto &former = m_owners.at(record.newOwner);
        --former.records;
        former.held -= isFinal(record.state) ? 0 : 1;
    }
    record.newOwner = owner;
    auto &newOwner = m_owners.at(owner);
    ++newOwner.records;
    newOwner.held += isFinal(record.state) ? 0 : 1;
}

void Ledger::finish(MonotonicTime now, const TaskId &task, LedgerRecord &record, const TaskReport &end)
{
    countHeld(record, -1);
    record.state = end.state;
    record.ran = end.ran;
    record.error = end.error;
    record.result = end.result;
    record.finishedAt = end.finishedAt;
    beginRetention(now, task, record);
}

void Ledger::acknowledge(const TaskId &task)
{
    if (auto *record = find(task); record != nullptr) {
        record->acknowledged = true;
    }
}

void Ledger::release(MonotonicTime now)
{
    while (mustDropOldest(now)) {
        dropRecord(m_ended.front().task);
        m_ended.pop_front();
    }
    releaseResults(now);
}

bool Ledger::mustDropOldest(MonotonicTime now) const
{
    if (m_ended.empty()) {
        return false;
    }
    const auto endedAt = m_ended.front().at;
    return endedAt + m_retention <= now || (m_ended.size() > m_maxEnded && endedAt + m_minRetention <= now);
}

bool Ledger::mayHaveDropped(const TaskId &task) const
{
    return task.submission.created() <= m_droppedUpTo;
}

WallTime Ledger::droppedUpTo() const
{
    return m_droppedUpTo;
}

MonotonicTime Ledger::nextRelease() const
{
    return m_ended.empty() ? MonotonicTime::max() : m_ended.front().at + m_retention;
}

const std::unordered_map<TaskId, LedgerRecord> &Ledger::records() const
{
    return m_records;
}

std::size_t Ledger::resultBytes() const
{
    return m_resultBytes;
}

void Ledger::beginRetention(MonotonicTime now, const TaskId &task, LedgerRecord &record)
{
    m_ended.push_back({now, task});
    if (!record.result.empty()) {
        record.result.shrink_to_fit();
        m_resultBytes += record.result.size();
        m_withResults.push_back({now, task});
    }
}

void Ledger::dropResult(LedgerRecord &record)
{
    m_resultBytes -= record.result.size();
    record.result = std::string();
    record.resultReleased = true;
}

void Ledger::releaseResults(MonotonicTime now)
{
    // Drops the oldest results first: those acknowledged whose retention has expired, and any while the byte limit is exceeded.
    while (!m_withResults.empty()) {
        auto *record = find(m_withResults.front().task);
        const bool over = m_resultBytes > m_maxResultBytes;
        const bool old = m_withResults.front().at + m_resultRetention <= now;
        const bool hasResult = record != nullptr && !record->result.empty();
        if (hasResult && !over && !(old && record->acknowledged)) {
            return;
        }
        if (hasResult) {
            dropResult(*record);
        }
        m_withResults.pop_front();
    }
}

void Ledger::dropRecord(const TaskId &task)
{
    const auto found = m_records.find(task);
    if (found == m_records.end()) {
        return;
    }
    auto &record = found->second;
    if (!record.result.empty()) {
        dropResult(record);
    }
    for (const auto index : {record.owner, record.newOwner}) {
        if (index != NoOwner) {
            --m_owners.at(index).records;
        }
    }
    m_droppedUpTo = std::max(m_droppedUpTo, task.submission.created());
    m_records.erase(found);
}

void Ledger::countHeld(const LedgerRecord &record, int by)
{
    for (const auto index : {record.owner, record.newOwner}) {
        if (index != NoOwner) {
            m_owners.at(index).held += static_cast<std::uint32_t>(by);
        }
    }
}

} // namespace Sycamoremoor
