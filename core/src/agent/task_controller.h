// The start rules, the queue for slots, and the end of tasks.
#pragma once

#include "agent_state.h"
#include "report_controller.h"

#include <sycamoremoor/core/agent_input_type.h>

namespace Sycamoremoor
{

/** Decides about every task: whether it starts, when it is handed to the upstream, how it ended. */
class TaskController
{
public:
    TaskController(AgentState &state, ReportController &reports);

    void startTasks(AgentStep &step, StartTasks message);
    void stopTasks(AgentStep &step, const StopTasks &message);
    void queryTasks(AgentStep &step, const QueryTasks &message);

    /** Hands queued tasks to the upstream while it has slots; ends those that waited too long or cannot start. */
    void fillSlots(AgentStep &step);

    /** A task that was handed to the upstream ended. Changes nothing if it had ended before. */
    void finish(AgentStep &step, const TaskId &task, const TaskReport &end);

    /** Returns when a queued task must be given up, or the farthest time. */
    [[nodiscard]] MonotonicTime nextWake() const;

    /** Returns how many tasks may wait for a slot. */
    [[nodiscard]] std::size_t queueLimit() const;

private:
    /** Registers the sender and its right. Returns its index. */
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
