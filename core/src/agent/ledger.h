// The ledger: which tasks an agent was given and what became of them.
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

/** What the agent knows of one task. There are many; keep it small. */
struct LedgerRecord {
    WallTime startedAt{};
    WallTime finishedAt{};
    std::uint64_t digest = 0; ///< of the job's body
    std::string result;
    OwnerSlotIndex slot; ///< that the start named
    OwnerIndex owner = NoOwner;
    OwnerIndex newOwner = NoOwner; ///< newer owner that is told, too
    ErrorKind error = ErrorKind::None;
    TaskState state = TaskState::NeverStarted;
    RunState ran = RunState::NotRun;
    bool acknowledged = false;   ///< an owner has the last report
    bool resultReleased = false; ///< it ended, but its result is no longer kept
};

/** Builds the report of a record. */
TaskReport makeReport(const TaskId &task, const LedgerRecord &record, ReportSequence sequence);

/** Records by task, kept for the retention time after their end; results kept within a bound of bytes. */
class Ledger
{
public:
    Ledger(const AgentSettings &settings, const LedgerRules &rules, OwnerTable &owners);

    /** Returns the record, or nullptr. */
    LedgerRecord *find(const TaskId &task);

    /** Adds a record for an owner. A final state starts its retention. */
    LedgerRecord &insert(MonotonicTime now, const TaskId &task, LedgerRecord record);

    /** Names a further owner that is told how the task ends. */
    void setNewOwner(LedgerRecord &record, OwnerIndex owner);

    /** Sets a final state; starts the record's retention. The state never changes again. */
    void finish(MonotonicTime now, const TaskId &task, LedgerRecord &record, const TaskReport &end);

    /** An owner has the last report of the task. */
    void acknowledge(const TaskId &task);

    /** Lets go of records and results whose time is over, and of results over the bound. */
    void release(MonotonicTime now);

    /** Tells whether a task that is not in the ledger may have been there. */
    [[nodiscard]] bool mayHaveForgotten(const TaskId &task) const;

    /** Returns the newest creation time of a key that was let go; the epoch if none was. */
    [[nodiscard]] WallTime forgottenUpTo() const;

    /** Returns when release() has something to do, or the farthest time. */
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
    [[nodiscard]] bool mustForgetOldest(MonotonicTime now) const;
    void forget(const TaskId &task);
    void countHeld(const LedgerRecord &record, int by);

    OwnerTable &m_owners;
    Duration m_retention;
    Duration m_minRetention; ///< also kept when there are too many
    std::size_t m_maxEnded;
    Duration m_resultRetention;
    std::size_t m_maxResultBytes;
    std::size_t m_resultBytes = 0;
    WallTime m_forgottenUpTo{};
    std::unordered_map<TaskId, LedgerRecord> m_records;
    std::deque<Ended> m_ended;       ///< final records, oldest first
    std::deque<Ended> m_withResults; ///< of these, the ones with a result, oldest first
};

} // namespace Sycamoremoor
