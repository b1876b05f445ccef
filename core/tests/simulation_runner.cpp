// Simulated runner: starts every task that it receives and reports the start to the checker.
#include "simulation_runner.h"

#include <utility>

namespace Sycamoremoor
{

SimulationRunner::SimulationRunner(std::string name, SimulationChecker &checker)
    : m_name(std::move(name))
    , m_checker(checker)
{
}

void SimulationRunner::restart()
{
    ++m_incarnationNumber;
    m_runs.clear();
    up = true;
    leaving = false;
}

std::uint64_t SimulationRunner::incarnationNumber() const
{
    return m_incarnationNumber;
}

void SimulationRunner::start(MonotonicTime now, const TaskId &task, const TaskSpec &spec, Duration runTime)
{
    m_checker.started(task, m_name + "." + std::to_string(m_incarnationNumber));
    const bool succeeds = spec.kind != TaskKind("failing");
    m_runs[task] = {now + runTime, succeeds, false, simulatedResult(spec.payload)};
}

void SimulationRunner::stop(MonotonicTime now, const TaskId &task)
{
    if (const auto run = m_runs.find(task); run != m_runs.end() && run->second.endsAt > now) {
        run->second.endsAt = now;
        run->second.stopped = true;
        run->second.succeeds = false;
    }
}

std::optional<UpstreamTaskEnded> SimulationRunner::ended(MonotonicTime now, const TaskId &task) const
{
    const auto run = m_runs.find(task);
    if (run == m_runs.end() || run->second.endsAt > now) {
        return std::nullopt;
    }
    return UpstreamTaskEnded{task, run->second.succeeds, run->second.stopped, run->second.result};
}

MonotonicTime SimulationRunner::endOf(const TaskId &task) const
{
    return m_runs.at(task).endsAt;
}

UpstreamTaskState SimulationRunner::state(MonotonicTime now, const TaskId &task) const
{
    UpstreamTaskState answer;
    answer.task = task;
    answer.upstream = Incarnation(m_incarnationNumber);
    const auto run = m_runs.find(task);
    if (run == m_runs.end()) {
        return answer;
    }
    answer.known = true;
    answer.running = run->second.endsAt > now;
    answer.succeeded = !answer.running && run->second.succeeds;
    answer.result = answer.running ? std::string() : run->second.result;
    return answer;
}

UpstreamHealth SimulationRunner::health() const
{
    return {Incarnation(m_incarnationNumber), leaving, {}};
}

} // namespace Sycamoremoor
