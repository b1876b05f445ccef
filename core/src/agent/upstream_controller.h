// State of the upstream: its health, its incarnation, and the outcome of tasks whose exchange failed.
#pragma once

#include "agent_state.h"
#include "task_controller.h"

#include <sycamoremoor/core/agent_input_type.h>

#include <optional>

namespace Sycamoremoor
{

/** Probes the upstream, and ends tasks by its answers or when it stops answering. */
class UpstreamController
{
public:
    UpstreamController(AgentState &state, TaskController &tasks);

    void handleTaskEnded(AgentStep &step, const UpstreamTaskEnded &input);
    void handleStartFailed(AgentStep &step, const UpstreamStartFailed &input);
    void handleTaskState(AgentStep &step, const UpstreamTaskState &input);
    void handleHealth(AgentStep &step, const UpstreamHealth &input);
    void handleUnreachable(AgentStep &step, const UpstreamUnreachable &input);

    /** Sends due probes and queries, stops tasks that exceed their run limit, and reports tasks of a lost upstream as lost. */
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
    MonotonicTime m_healthyAt{};                 ///< time of the last answer to a probe, or of the first step
    std::optional<MonotonicTime> m_refusedSince; ///< since when connections to the upstream are refused
};

} // namespace Sycamoremoor
