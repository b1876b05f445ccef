// Runs that a guard has taken on, and the room that they take.
#include "run_book.h"

namespace Sycamoremoor
{

namespace
{

WaitRank rankOf(const RunId &run, const GuardedRun &record)
{
    return {record.isOrdinary, record.latestStart, run};
}

} // namespace

GuardedRun &RunBook::add(const RunId &run, const GuardedRun &record)
{
    m_waiting.emplace(rankOf(run, record), record.size);
    m_startBys.emplace(record.startBy, run);
    m_asked += record.size;
    return m_runs.insert_or_assign(run, record).first->second;
}

void RunBook::take(const RunId &run)
{
    auto &record = m_runs.at(run);
    leaveQueue(run, record);
    m_taken += record.size;
    record.stage = RunStage::Starting;
}

void RunBook::remove(const RunId &run)
{
    const auto found = m_runs.find(run);
    if (found->second.stage == RunStage::Waiting) {
        leaveQueue(run, found->second);
    } else {
        m_taken -= found->second.size;
    }
    m_runs.erase(found);
}

void RunBook::leaveQueue(const RunId &run, const GuardedRun &record)
{
    m_waiting.erase(rankOf(run, record));
    m_startBys.erase({record.startBy, run});
    m_asked -= record.size;
}

GuardedRun *RunBook::find(const RunId &run)
{
    const auto found = m_runs.find(run);
    return found == m_runs.end() ? nullptr : &found->second;
}

bool RunBook::hasTask(const WorkTaskId &task) const
{
    const auto first = m_runs.lower_bound(RunId{task, 0});
    return first != m_runs.end() && first->first.task == task;
}

const RunBook::Runs &RunBook::runs() const
{
    return m_runs;
}

RunBook::Runs &RunBook::runs()
{
    return m_runs;
}

const TaskSize &RunBook::taken() const
{
    return m_taken;
}

const TaskSize &RunBook::asked() const
{
    return m_asked;
}

const std::map<WaitRank, TaskSize> &RunBook::waiting() const
{
    return m_waiting;
}

std::optional<std::pair<MonotonicTime, RunId>> RunBook::nextUseless() const
{
    return m_startBys.empty() ? std::nullopt : std::optional(*m_startBys.begin());
}

} // namespace Sycamoremoor
