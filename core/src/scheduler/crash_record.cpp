// Crashes of upstreams under tasks, as a scheduler hears of them.
#include "crash_record.h"

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

constexpr Duration Retention = std::chrono::seconds(30); ///< longer than a job is open, and than guards report a crash
constexpr std::uint32_t CrashesToIsolate = 2;            ///< without being a suspect: long runs often meet the crashes of others
constexpr std::uint32_t CrashesToGiveUp = 2;             ///< if no other run may have caused one of them
constexpr std::uint32_t SuspicionsToGiveUp = 3;
constexpr std::uint32_t MostCrashes = 5; ///< a task that crashes its upstreams late is never among the suspects

} // namespace

bool TaskCrashes::needsIsolation() const
{
    return asSuspect > 0 || all >= CrashesToIsolate;
}

bool TaskCrashes::isGivenUp() const
{
    return (asTheOnlyOne > 0 && all >= CrashesToGiveUp) || asSuspect >= SuspicionsToGiveUp || all >= MostCrashes;
}

void CrashRecord::add(MonotonicTime now, const CrashKey &crash, const QueueTaskId &task, bool isSuspect, bool isTheOnlyOne)
{
    forgetOld(now);
    const auto suspicion = isTheOnlyOne ? Role::TheOnlyOne : Role::Suspect;
    const auto role = isSuspect ? suspicion : Role::Open;
    const auto [known, isNew] = m_tasks[task].try_emplace(crash, role);
    known->second = std::max(known->second, role);
    if (isNew) {
        m_tasksByTime.emplace_back(now, task);
    }
}

bool CrashRecord::add(MonotonicTime now, const AgentName &agent, const CrashNotice &notice)
{
    forgetOld(now);
    const CrashKey key{agent, notice.guard, notice.number};
    if (!m_notices.insert(key).second) {
        return false;
    }
    m_noticesByTime.emplace_back(now, key);
    const bool isOneSuspect = std::ranges::count(notice.runs, true, &CrashedRun::isSuspect) == 1;
    for (const auto &[task, isSuspect] : notice.runs) {
        add(now, key, task, isSuspect, isOneSuspect);
    }
    return true;
}

std::vector<QueueTaskId> CrashRecord::remove(MonotonicTime now, const CrashKey &crash)
{
    forgetOld(now);
    if (m_notices.insert(crash).second) {
        m_noticesByTime.emplace_back(now, crash);
    }
    std::vector<QueueTaskId> tasks;
    for (auto &[task, crashes] : m_tasks) {
        if (crashes.erase(crash) > 0) {
            tasks.push_back(task);
        }
    }
    return tasks;
}

TaskCrashes CrashRecord::of(const QueueTaskId &task) const
{
    TaskCrashes crashes;
    if (const auto found = m_tasks.find(task); found != m_tasks.end()) {
        for (const auto &[key, role] : found->second) {
            ++crashes.all;
            crashes.asSuspect += role >= Role::Suspect ? 1 : 0;
            crashes.asTheOnlyOne += role == Role::TheOnlyOne ? 1 : 0;
        }
    }
    return crashes;
}

void CrashRecord::forgetOld(MonotonicTime now)
{
    while (!m_tasksByTime.empty() && m_tasksByTime.front().first + Retention < now) {
        m_tasks.erase(m_tasksByTime.front().second);
        m_tasksByTime.pop_front();
    }
    while (!m_noticesByTime.empty() && m_noticesByTime.front().first + Retention < now) {
        m_notices.erase(m_noticesByTime.front().second);
        m_noticesByTime.pop_front();
    }
}

} // namespace Sycamoremoor
