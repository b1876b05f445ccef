// What the crashes of an upstream say about the runs that they ended and about the queues of these runs.
#include "crash_log.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Sycamoremoor
{

namespace
{

constexpr std::size_t MaxRuns = 64; ///< in a notice; more than an upstream usually runs
constexpr double Thousandths = 1'000;

/** Probability of each RunPresence of a queue at a crash that one of its runs caused: mostly by a run that had just started. */
constexpr std::array<double, static_cast<std::size_t>(RunPresence::End)> PresenceIfGuilty{0.01, 0.19, 0.8};

} // namespace

CrashLog::CrashLog(Incarnation guard)
    : m_guard(guard)
{
}

void CrashLog::runStarted(MonotonicTime now, const QueueName &queue)
{
    m_activities.try_emplace(queue, now).first->second.runStarted(now);
}

void CrashLog::runEnded(MonotonicTime now, const QueueName &queue)
{
    if (const auto found = m_activities.find(queue); found != m_activities.end()) {
        found->second.runEnded(now);
    }
}

CrashNotice CrashLog::recordCrash(MonotonicTime now, const std::vector<OpenRun> &runs)
{
    CrashNotice notice;
    notice.guard = m_guard;
    notice.number = CrashNumber(++m_lastCrash);
    const auto isFresh = [now](const OpenRun &run) {
        return run.startedAt + QueueActivity::FreshAge > now;
    };
    const bool anyFresh = std::ranges::any_of(runs, isFresh);
    for (const auto &run : runs) {
        notice.runs.push_back({run.task, !anyFresh || isFresh(run)});
    }
    std::stable_partition(notice.runs.begin(), notice.runs.end(), [](const CrashedRun &run) { return run.isSuspect; });
    notice.runs.resize(std::min(notice.runs.size(), MaxRuns));
    notice.queues = evidence(now);
    return notice;
}

std::vector<QueueEvidence> CrashLog::evidence(MonotonicTime now)
{
    std::erase_if(m_activities, [now](const auto &item) { return !item.second.isRecent(now); });
    std::vector<QueueEvidence> evidence;
    for (const auto &[queue, activity] : m_activities) {
        const auto presence = activity.presence(now);
        const auto ratio = std::log(PresenceIfGuilty.at(static_cast<std::size_t>(presence)) / activity.share(now, presence));
        evidence.push_back({queue, LogRatio(std::llround(ratio * Thousandths)), presence != RunPresence::None});
    }
    return evidence;
}

void CrashLog::upstreamRestarted(MonotonicTime now)
{
    for (auto &[queue, activity] : m_activities) {
        activity.restart(now);
    }
}

} // namespace Sycamoremoor
