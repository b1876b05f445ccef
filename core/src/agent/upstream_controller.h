// What is known of the upstream: its health, its life, and the truth about tasks whose exchange broke.
#pragma once

#include "agent_state.h"
#include "task_controller.h"

#include <sycamoremoor/core/agent_input_type.h>

#include <optional>

namespace Sycamoremoor
{

/** Probes the upstream and turns what it says, or its silence, into the end of tasks. */
class UpstreamController
{
public:
    UpstreamController(AgentState &state, TaskController &tasks);

    void handleTaskEnded(AgentStep &step, const UpstreamTaskEnded &input);
    void handleStartFailed(AgentStep &step, const UpstreamStartFailed &input);
    void handleTaskState(AgentStep &step, const UpstreamTaskState &input);
    void handleHealth(AgentStep &step, const UpstreamHealth &input);
    void handleUnreachable(AgentStep &step, const UpstreamUnreachable &input);

    /** Probes, asks about tasks, stops those that run too long, gives up those of a dead upstream. */
    void tick(AgentStep &step);

    [[nodiscard]] MonotonicTime nextWake() const;

private:
    void updateIncarnation(AgentStep &step, Incarnation incarnation);
    void querySoon(AgentStep &step, const TaskId &task);
    void checkTask(AgentStep &step, const TaskId &task, ActiveTask &active);
    void loseAllTasks(AgentStep &step);
    void loseTask(AgentStep &step, const TaskId &task);
    [[nodiscard]] bool isRunning(const TaskId &task) const;
    [[nodiscard]] MonotonicTime runLimit(const ActiveTask &active) const;
    [[nodiscard]] MonotonicTime upstreamLostAt() const;

    AgentState &m_state;
    TaskController &m_tasks;
    MonotonicTime m_probeAt{};
    MonotonicTime m_healthyAt{};                 ///< last answer to a probe, or the first step
    std::optional<MonotonicTime> m_refusedSince; ///< nothing has listened there since
};

} // namespace Sycamoremoor
