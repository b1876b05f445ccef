// Runs that a guard has accepted, and the capacity that they occupy.
#include "run_table.h"

#include <array>

namespace Sycamoremoor
{

namespace
{

WaitRank rankOf(const RunId &run, const GuardedRun &record)
{
    return {record.isOrdinary, record.latestStart, run};
}

constexpr std::array<std::string_view, static_cast<std::size_t>(RunStage::End)> StageNames{"waiting", "starting", "running", "stopping"};

} // namespace

std::string_view runStageName(RunStage stage)
{
    return StageNames.at(static_cast<std::size_t>(stage));
}

MonotonicTime stopTimeOf(const GuardedRun &record)
{
    return std::min({record.startedAt + record.runLimit, record.leaseUntil, record.expiresAt});
}

std::vector<LogField> fieldsOf(const RunId &run, const GuardedRun &record)
{
    return {{"task", queueTaskIdToString(run.task)},
            {"run", std::to_string(run.number)},
            {"connection", std::to_string(record.connection.value())},
            {"stage", std::string(runStageName(record.stage))}};
}

GuardedRun &RunTable::add(const RunId &run, const GuardedRun &record)
{
    m_waiting.emplace(rankOf(run, record), record.size);
    m_startDeadlines.emplace(record.startBy, run);
    m_requested += record.size;
    return m_runs.insert_or_assign(run, record).first->second;
}

void RunTable::reserve(const RunId &run)
{
    auto &record = m_runs.at(run);
    dequeue(run, record);
    m_reserved += record.size;
    record.stage = RunStage::Starting;
}

void RunTable::remove(const RunId &run)
{
    const auto found = m_runs.find(run);
    if (found->second.stage == RunStage::Waiting) {
        dequeue(run, found->second);
    } else {
        m_reserved -= found->second.size;
    }
    m_runs.erase(found);
}

void RunTable::dequeue(const RunId &run, const GuardedRun &record)
{
    m_waiting.erase(rankOf(run, record));
    m_startDeadlines.erase({record.startBy, run});
    m_requested -= record.size;
}

GuardedRun *RunTable::find(const RunId &run)
{
    const auto found = m_runs.find(run);
    return found == m_runs.end() ? nullptr : &found->second;
}

bool RunTable::hasTask(const QueueTaskId &task) const
{
    const auto first = m_runs.lower_bound(RunId{task, 0});
    return first != m_runs.end() && first->first.task == task;
}

const RunTable::Runs &RunTable::runs() const
{
    return m_runs;
}

RunTable::Runs &RunTable::runs()
{
    return m_runs;
}

const TaskSize &RunTable::reserved() const
{
    return m_reserved;
}

const TaskSize &RunTable::requested() const
{
    return m_requested;
}

const std::map<WaitRank, TaskSize> &RunTable::waiting() const
{
    return m_waiting;
}

std::optional<std::pair<MonotonicTime, RunId>> RunTable::nextExpiry() const
{
    return m_startDeadlines.empty() ? std::nullopt : std::optional(*m_startDeadlines.begin());
}

} // namespace Sycamoremoor
