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

    void taskEnded(AgentStep &step, const UpstreamTaskEnded &input);
    void startFailed(AgentStep &step, const UpstreamStartFailed &input);
    void taskState(AgentStep &step, const UpstreamTaskState &input);
    void health(AgentStep &step, const UpstreamHealth &input);
    void unreachable(AgentStep &step, const UpstreamUnreachable &input);

    /** Probes, asks about tasks, stops those that run too long, gives up those of a dead upstream. */
    void tick(AgentStep &step);

    [[nodiscard]] MonotonicTime nextWake() const;

private:
    void enterLife(AgentStep &step, Incarnation life);
    void askSoon(AgentStep &step, const TaskId &task);
    void checkTask(AgentStep &step, const TaskId &task, ActiveTask &active);
    void giveUpAll(AgentStep &step);
    void lose(AgentStep &step, const TaskId &task);
    [[nodiscard]] bool isRunning(const TaskId &task) const;
    [[nodiscard]] MonotonicTime runLimit(const ActiveTask &active) const;
    [[nodiscard]] MonotonicTime giveUpAt() const;

    AgentState &m_state;
    TaskController &m_tasks;
    MonotonicTime m_probeAt{};
    MonotonicTime m_healthyAt{};                 ///< last answer to a probe, or the first step
    std::optional<MonotonicTime> m_refusedSince; ///< nothing has listened there since
};

} // namespace Sycamoremoor
