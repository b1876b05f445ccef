// Start rules, queue of tasks that wait for a slot, and end of tasks.
#pragma once

#include "agent_state.h"
#include "report_controller.h"

#include <sycamoremoor/core/agent_input_type.h>

namespace Sycamoremoor
{

/** Accepts or refuses tasks, starts queued tasks on the upstream when a slot is free, and records how they end. */
class TaskController
{
public:
    TaskController(AgentState &state, ReportController &reports);

    void startTasks(AgentStep &step, StartTasks message);
    void stopTasks(AgentStep &step, const StopTasks &message);
    void queryTasks(AgentStep &step, const QueryTasks &message);

    /** Starts queued tasks on the upstream while slots are free; ends those past their latest start time, or all if none can start. */
    void fillSlots(AgentStep &step);

    /** Ends a task that was started on the upstream. Has no effect if the task has already ended. */
    void finish(AgentStep &step, const TaskId &task, const TaskReport &end);

    /** Returns when the first queued task reaches its latest start time, or MonotonicTime::max(). */
    [[nodiscard]] MonotonicTime nextWake() const;

    /** Returns the maximum number of tasks that may wait for a slot. */
    [[nodiscard]] std::size_t queueLimit() const;

private:
    /** Adds the sender of a message to the owner table. Returns its index. */
    OwnerIndex registerSender(const OwnerClaim &claim);
    void recordToken(const OwnerClaim &claim);
    [[nodiscard]] bool isForOtherIncarnation(Incarnation incarnation) const;
    [[nodiscard]] bool isFenced(const OwnerClaim &claim) const;
    [[nodiscard]] bool isStale(AgentStep &step, AgentStamp stamp) const;
    [[nodiscard]] ErrorKind refusalReason(AgentStep &step, const StartTask &task, MonotonicTime startBy) const;
    [[nodiscard]] bool fits(const StartTask &task) const;
    void refuseAll(AgentStep &step, OwnerIndex owner, const StartTasks &message, ErrorKind error);
    void startOne(AgentStep &step, OwnerIndex owner, const OwnerClaim &claim, StartTask task, MonotonicTime startBy);
    void accept(AgentStep &step, OwnerIndex owner, OwnerSlotIndex slot, StartTask task, MonotonicTime startBy);
    void stopOne(AgentStep &step, OwnerIndex owner, const StopTasks &message, const TaskId &task);
    void answerUnknownTask(AgentStep &step, OwnerIndex owner, OwnerSlotIndex slot, const TaskId &task, ErrorKind error);
    void tombstone(AgentStep &step, OwnerIndex owner, OwnerSlotIndex slot, const TaskId &task, ErrorKind error);
    void endUnstarted(AgentStep &step, const TaskId &task, ErrorKind error);
    void startOnUpstream(AgentStep &step, const TaskId &task);

    AgentState &m_state;
    ReportController &m_reports;
};

} // namespace Sycamoremoor
