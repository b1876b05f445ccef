// Simulated runner: starts every task that it receives and reports the start to the checker.
#pragma once

#include "simulation_checker.h"

#include <sycamoremoor/core/agent_input_type.h>

#include <map>
#include <optional>
#include <vector>

namespace Sycamoremoor
{

/** The upstream of one agent. An incarnation retains nothing of the one before. */
class SimulationRunner
{
public:
    SimulationRunner(std::string name, SimulationChecker &checker);

    /** Begins a new incarnation; the tasks of the one before are lost. */
    void restart();

    /** Starts a task. @param runTime how long it runs */
    void start(MonotonicTime now, const TaskId &task, const TaskSpec &spec, Duration runTime);

    /** Stops a task that has not ended. */
    void stop(MonotonicTime now, const TaskId &task);

    /** Returns the end of a task if it has ended. */
    [[nodiscard]] std::optional<UpstreamTaskEnded> ended(MonotonicTime now, const TaskId &task) const;

    /** Returns when a task ends unless it is stopped earlier. */
    [[nodiscard]] MonotonicTime endOf(const TaskId &task) const;

    [[nodiscard]] UpstreamTaskState state(MonotonicTime now, const TaskId &task) const;
    [[nodiscard]] UpstreamHealth health() const;

    bool up = true;
    bool leaving = false;

    [[nodiscard]] std::uint64_t incarnationNumber() const;

private:
    struct Run {
        MonotonicTime endsAt;
        bool succeeds = true;
        bool stopped = false;
        std::string result;
    };

    std::string m_name;
    SimulationChecker &m_checker;
    std::uint64_t m_incarnationNumber = 1;
    std::map<TaskId, Run> m_runs;
};

} // namespace Sycamoremoor
