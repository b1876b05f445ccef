// A fake runner: starts whatever it is given and tells the checker.
#include "world_runner.h"

#include <utility>

namespace Sycamoremoor
{

WorldRunner::WorldRunner(std::string name, WorldChecker &checker)
    : m_name(std::move(name))
    , m_checker(checker)
{
}

void WorldRunner::restart()
{
    ++m_life;
    m_runs.clear();
    up = true;
    leaving = false;
}

std::uint64_t WorldRunner::life() const
{
    return m_life;
}

void WorldRunner::start(MonotonicTime now, const TaskId &task, const TaskSpec &spec, Duration runTime)
{
    m_checker.started(task, m_name + "." + std::to_string(m_life));
    const bool succeeds = spec.kind != TaskKind("failing");
    m_runs[task] = {now + runTime, succeeds, false, worldResult(spec.payload)};
}

void WorldRunner::stop(MonotonicTime now, const TaskId &task)
{
    if (const auto run = m_runs.find(task); run != m_runs.end() && run->second.endsAt > now) {
        run->second.endsAt = now;
        run->second.stopped = true;
        run->second.succeeds = false;
    }
}

std::optional<UpstreamTaskEnded> WorldRunner::ended(MonotonicTime now, const TaskId &task) const
{
    const auto run = m_runs.find(task);
    if (run == m_runs.end() || run->second.endsAt > now) {
        return std::nullopt;
    }
    return UpstreamTaskEnded{task, run->second.succeeds, run->second.stopped, run->second.result};
}

MonotonicTime WorldRunner::endOf(const TaskId &task) const
{
    return m_runs.at(task).endsAt;
}

UpstreamTaskState WorldRunner::state(MonotonicTime now, const TaskId &task) const
{
    UpstreamTaskState answer;
    answer.task = task;
    answer.upstream = Incarnation(m_life);
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

UpstreamHealth WorldRunner::health() const
{
    return {Incarnation(m_life), leaving, {}};
}

} // namespace Sycamoremoor
