// Ledger of an agent: the tasks that it received and their results.
#pragma once

#include "owner_table.h"

#include <sycamoremoor/core/agent_settings_type.h>
#include <sycamoremoor/core/ledger_rules_type.h>
#include <sycamoremoor/core/task_type.h>

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

namespace Sycamoremoor
{

/** Ledger record of one task. It is kept small since a ledger has up to AgentSettings::ledgerRecords of them. */
struct LedgerRecord {
    WallTime startedAt{};
    WallTime finishedAt{};
    std::uint64_t digest = 0; ///< digest of the job's body
    std::string result;
    OwnerSlotIndex slot; ///< owner slot named by the start
    OwnerIndex owner = NoOwner;
    OwnerIndex newOwner = NoOwner; ///< newer owner, which receives the task's reports as well
    ErrorKind error = ErrorKind::None;
    TaskState state = TaskState::NeverStarted;
    RunState ran = RunState::NotRun;
    bool acknowledged = false;   ///< an owner has acknowledged the final report
    bool resultReleased = false; ///< the task ended, but its result is no longer stored
};

/** Builds the report of a record. */
TaskReport makeReport(const TaskId &task, const LedgerRecord &record, ReportSequence sequence);

/** Ledger records by task. Records are retained for a time after the task's end, and results within a limit of bytes. */
class Ledger
{
public:
    Ledger(const AgentSettings &settings, const LedgerRules &rules, OwnerTable &owners);

    /** Returns the record, or nullptr. */
    LedgerRecord *find(const TaskId &task);

    /** Adds a record. If its state is final, its retention starts. */
    LedgerRecord &insert(MonotonicTime now, const TaskId &task, LedgerRecord record);

    /** Sets a further owner that receives the task's end; it replaces an earlier new owner. */
    void setNewOwner(LedgerRecord &record, OwnerIndex owner);

    /** Sets a final state, which never changes again, and starts the record's retention. */
    void finish(MonotonicTime now, const TaskId &task, LedgerRecord &record, const TaskReport &end);

    /** Marks the final report of the task as acknowledged. */
    void acknowledge(const TaskId &task);

    /** Drops records and results whose retention has expired, and the oldest ones over the limits. */
    void release(MonotonicTime now);

    /** Returns whether a task that is not in the ledger may have had a record that was dropped. */
    [[nodiscard]] bool mayHaveDropped(const TaskId &task) const;

    /** Returns the newest creation time of the submission keys of dropped records; the epoch if none was dropped. */
    [[nodiscard]] WallTime droppedUpTo() const;

    /** Returns when the next record expires, or MonotonicTime::max(). */
    [[nodiscard]] MonotonicTime nextRelease() const;

    [[nodiscard]] const std::unordered_map<TaskId, LedgerRecord> &records() const;
    [[nodiscard]] std::size_t resultBytes() const;

private:
    struct Ended {
        MonotonicTime at;
        TaskId task;
    };

    void beginRetention(MonotonicTime now, const TaskId &task, LedgerRecord &record);
    void dropResult(LedgerRecord &record);
    void releaseResults(MonotonicTime now);
    [[nodiscard]] bool mustDropOldest(MonotonicTime now) const;
    void dropRecord(const TaskId &task);
    void countHeld(const LedgerRecord &record, int by);

    OwnerTable &m_owners;
    Duration m_retention;
    Duration m_minRetention; ///< records are retained this long even over m_maxEnded
    std::size_t m_maxEnded;
    Duration m_resultRetention;
    std::size_t m_maxResultBytes;
    std::size_t m_resultBytes = 0;
    WallTime m_droppedUpTo{};
    std::unordered_map<TaskId, LedgerRecord> m_records;
    std::deque<Ended> m_ended;       ///< final records, oldest first
    std::deque<Ended> m_withResults; ///< final records that got a result, oldest first
};

} // namespace Sycamoremoor
