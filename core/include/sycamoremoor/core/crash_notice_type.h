// Crashes of upstreams, as guards report them to schedulers.
#pragma once

#include <sycamoremoor/core/id_type.h>
#include <sycamoremoor/core/queue_job_type.h>

#include <cstdint>
#include <vector>

namespace Sycamoremoor
{

using CrashNumber = StrongType<struct CrashNumberTag, std::uint64_t>; ///< numbers the crashes that one incarnation of a guard saw, from 1

/** Logarithm of a ratio of probabilities, in thousandths. */
using LogRatio = StrongAmount<struct LogRatioTag, std::int64_t>;

/** A run that was open when its upstream crashed. */
struct CrashedRun {
    QueueTaskId task;
    bool isSuspect = false; ///< it may have caused the crash: it had just started, or no run had

    friend bool operator==(const CrashedRun &, const CrashedRun &) = default;
};

/** How strongly a crash speaks against the jobs of a queue. */
struct QueueEvidence {
    QueueName queue;
    LogRatio likelihoodRatio; ///< of "a run of the queue caused the crash" to "the crash has nothing to do with the queue"
    bool hadRuns = false;     ///< a run of the queue was open

    friend bool operator==(const QueueEvidence &, const QueueEvidence &) = default;
};

/** Guard to schedulers: its upstream seems to have crashed under its runs. */
struct CrashNotice {
    Incarnation guard; ///< incarnation of the guard
    CrashNumber number;
    std::vector<CrashedRun> runs;
    std::vector<QueueEvidence> queues; ///< the queues that had runs there recently
    bool isRefuted = false;            ///< the upstream has answered since: there was no crash of this number

    friend bool operator==(const CrashNotice &, const CrashNotice &) = default;
};

} // namespace Sycamoremoor
