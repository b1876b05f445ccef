// What the crashes of an upstream say about the runs that they ended and about the queues of these runs.
#pragma once

#include "queue_activity.h"

#include <sycamoremoor/core/crash_notice_type.h>
#include <sycamoremoor/core/time_type.h>

#include <cstdint>
#include <map>
#include <vector>

namespace Sycamoremoor
{

/** A run that is open at an upstream, for a crash log. */
struct OpenRun {
    QueueTaskId task;
    MonotonicTime startedAt; ///< when the order to start it was sent
};

/**
 * The crashes of the upstream of one guard.
 *
 * A task that crashes its upstream mostly does so soon after its start. So the runs that had just started are the suspects, or all
 * runs if none had; and a crash speaks against a queue as much as fresh runs of the queue are otherwise rare there.
 */
class CrashLog
{
public:
    explicit CrashLog(Incarnation guard);

    void runStarted(MonotonicTime now, const QueueName &queue);
    void runEnded(MonotonicTime now, const QueueName &queue);

    /** Returns the notice of a crash at @p now that ended @p runs. */
    CrashNotice recordCrash(MonotonicTime now, const std::vector<OpenRun> &runs);

    /** A new incarnation of the upstream begins without runs. */
    void upstreamRestarted(MonotonicTime now);

private:
    [[nodiscard]] std::vector<QueueEvidence> evidence(MonotonicTime now);

    Incarnation m_guard;
    std::map<QueueName, QueueActivity> m_activities;
    std::uint64_t m_lastCrash = 0;
};

} // namespace Sycamoremoor
