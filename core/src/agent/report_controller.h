// Reports to owners: numbered, sent at once, repeated until acknowledged.
#pragma once

#include "agent_state.h"

#include <vector>

namespace Sycamoremoor
{

/** Numbers reports per owner and gathers those of one step into one message an owner. */
class ReportController
{
public:
    explicit ReportController(AgentState &state);

    /** The task ended: tells each of its owners and remembers to repeat it. */
    void reportTaskEnd(AgentStep &step, const TaskId &task, const LedgerRecord &record);

    /** Answers an owner with the state of a task; not repeated. */
    void answer(OwnerIndex owner, const TaskId &task, const LedgerRecord &record);

    /** Answers an owner with a report that the ledger does not back; not repeated. */
    void answer(OwnerIndex owner, TaskReport report);

    /** An owner has every report up to @p sequence. */
    void acknowledge(OwnerIndex owner, ReportSequence sequence);

    /** Reports could not be delivered: all are due again. */
    void deliveryFailed(const EntryName &owner);

    /** Takes reports that are due to be repeated, bounded in number and bytes. */
    std::vector<TaskReport> collectDue(AgentStep &step, OwnerIndex owner);

    /** Sends what the step gathered, one message an owner. */
    void flush(AgentStep &step);

    /** Returns when a report to an owner in the roster is due again, or the farthest time. */
    [[nodiscard]] MonotonicTime nextDue(const Owner &owner) const;

    /** Returns how many reports owners of the roster have not acknowledged. */
    [[nodiscard]] std::size_t unacknowledged() const;

private:
    TaskReport reportFor(const Owner &owner, const TaskId &task, const LedgerRecord &record, ReportSequence sequence) const;

    AgentState &m_state;
};

} // namespace Sycamoremoor
