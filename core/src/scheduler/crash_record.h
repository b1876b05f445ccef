// Crashes of upstreams under tasks, as a scheduler hears of them.
#pragma once

#include <sycamoremoor/core/crash_notice_type.h>
#include <sycamoremoor/core/id_type.h>
#include <sycamoremoor/core/time_type.h>

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace Sycamoremoor
{

/** Identifies a crash among those that all guards saw. */
struct CrashKey {
    AgentName agent;
    Incarnation guard; ///< incarnation of the guard
    CrashNumber number;

    friend auto operator<=>(const CrashKey &, const CrashKey &) = default;
};

/** What crashes say about one task. */
struct TaskCrashes {
    std::uint32_t all = 0;          ///< upstreams that crashed while a run of the task was open
    std::uint32_t asSuspect = 0;    ///< of these, those that the run may have caused
    std::uint32_t asTheOnlyOne = 0; ///< of these, those that no other run may have caused

    /** Returns whether a run of the task is to have a worker to itself, so that it harms no other, and its next crash convicts no other. */
    [[nodiscard]] bool needsIsolation() const;

    /** Returns whether the task is not to be started any more, since it crashes the upstreams that start it. */
    [[nodiscard]] bool isGivenUp() const;
};

/**
 * Counts the crashes of upstreams by task, from the reports of runs and from the notices that all guards send to all schedulers. So the
 * counts outlive the scheduler that sent the tasks.
 */
class CrashRecord
{
public:
    /** Records that a run was open in a crash. @param isTheOnlyOne no other run may have caused it */
    void add(MonotonicTime now, const CrashKey &crash, const QueueTaskId &task, bool isSuspect, bool isTheOnlyOne);

    /** Records all runs of a notice. @return false if it was recorded before */
    bool add(MonotonicTime now, const AgentName &agent, const CrashNotice &notice);

    /** Forgets a crash that was none, also if its notice is yet to come. @return the tasks that it spoke against */
    std::vector<QueueTaskId> remove(MonotonicTime now, const CrashKey &crash);

    [[nodiscard]] TaskCrashes of(const QueueTaskId &task) const;

private:
    /** Role of a run in a crash, the worse the greater. */
    enum class Role {
        Open,
        Suspect,
        TheOnlyOne,
    };

    void forgetOld(MonotonicTime now);

    std::map<QueueTaskId, std::map<CrashKey, Role>> m_tasks;
    std::set<CrashKey> m_notices;
    std::deque<std::pair<MonotonicTime, QueueTaskId>> m_tasksByTime;
    std::deque<std::pair<MonotonicTime, CrashKey>> m_noticesByTime;
};

} // namespace Sycamoremoor
