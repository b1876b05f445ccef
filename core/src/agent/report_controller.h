// Task reports to owners: numbered, sent at once, and repeated until acknowledged.
#pragma once

#include "agent_state.h"

#include <vector>

namespace Sycamoremoor
{

/** Numbers the reports of each owner and collects those of one step into one message per owner. */
class ReportController
{
public:
    explicit ReportController(AgentState &state);

    /** Reports the end of a task to each of its owners; repeated until acknowledged. */
    void reportTaskEnd(AgentStep &step, const TaskId &task, const LedgerRecord &record);

    /** Answers an owner with the state of a task. The answer is not repeated. */
    void answer(OwnerIndex owner, const TaskId &task, const LedgerRecord &record);

    /** Answers an owner with a report about a task that is not in the ledger. The answer is not repeated. */
    void answer(OwnerIndex owner, TaskReport report);

    /** Handles an owner's acknowledgement of all reports up to @p sequence. */
    void acknowledge(OwnerIndex owner, ReportSequence sequence);

    /** Handles a failed delivery: all unacknowledged reports to the owner become due. */
    void deliveryFailed(const EntryName &owner);

    /** Returns the reports that are due to be repeated, limited in number and bytes, and marks them as sent. */
    std::vector<TaskReport> collectDue(AgentStep &step, OwnerIndex owner);

    /** Sends the reports collected in this step, one message per owner. */
    void flush(AgentStep &step);

    /** Returns when the oldest report to an owner in the roster is due again, or MonotonicTime::max(). */
    [[nodiscard]] MonotonicTime nextDue(const Owner &owner) const;

    /** Returns the number of reports that owners in the roster have not acknowledged. */
    [[nodiscard]] std::size_t unacknowledged() const;

private:
    TaskReport reportFor(const Owner &owner, const TaskId &task, const LedgerRecord &record, ReportSequence sequence) const;

    AgentState &m_state;
};

} // namespace Sycamoremoor
