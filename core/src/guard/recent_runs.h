// Runs that ended at an upstream recently.
#pragma once

#include <sycamoremoor/core/queue_job_type.h>
#include <sycamoremoor/core/time_type.h>

#include <deque>
#include <set>
#include <utility>

namespace Sycamoremoor
{

/** Stores ended runs for as long as a list that still contains them as running may arrive. */
class RecentRuns
{
public:
    explicit RecentRuns(Duration retention)
        : m_retention(retention)
    {
    }

    /** Adds a run that ended at @p now, and removes those that ended more than the retention time ago. */
    void add(MonotonicTime now, const RunId &run)
    {
        while (!m_byTime.empty() && m_byTime.front().first + m_retention < now) {
            m_runs.erase(m_byTime.front().second);
            m_byTime.pop_front();
        }
        if (m_runs.insert(run).second) {
            m_byTime.emplace_back(now, run);
        }
    }

    [[nodiscard]] bool contains(const RunId &run) const
    {
        return m_runs.contains(run);
    }

private:
    Duration m_retention;
    std::set<RunId> m_runs;
    std::deque<std::pair<MonotonicTime, RunId>> m_byTime;
};

} // namespace Sycamoremoor
