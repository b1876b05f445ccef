// How much of the time an upstream has runs of a queue, and how much of it they have just started.
#pragma once

#include <sycamoremoor/core/time_type.h>

#include <cstdint>

namespace Sycamoremoor
{

/** Runs of a queue at one moment. */
enum class RunPresence {
    None,    ///< no run is open
    Settled, ///< runs are open, and none of them has just started
    Fresh,   ///< a run has just started
    End,
};

/**
 * Follows the runs of one queue at an upstream and tells how often a crash with a cause of its own would meet each RunPresence.
 * Past times count less and less.
 */
class QueueActivity
{
public:
    static constexpr Duration FreshAge = std::chrono::milliseconds(20); ///< a third of the run time of the shortest usual tasks

    explicit QueueActivity(MonotonicTime now);

    void runStarted(MonotonicTime now);
    void runEnded(MonotonicTime now);

    /** All runs ended, and none can start until @p now: the time since the last change does not count. */
    void restart(MonotonicTime now);

    [[nodiscard]] RunPresence presence(MonotonicTime now) const;

    /** Returns the share of the time in which the presence was @p presence, never 0 or 1. */
    [[nodiscard]] double share(MonotonicTime now, RunPresence presence) const;

    /** Returns whether a run is open or has been within the averaging time. */
    [[nodiscard]] bool isRecent(MonotonicTime now) const;

private:
    /** Time spent with each presence, in seconds, weighted by age. */
    struct Times {
        double none = 0;
        double settled = 0;
        double fresh = 0;
    };

    [[nodiscard]] Times timesAt(MonotonicTime now) const;
    void advance(MonotonicTime now);

    MonotonicTime m_updatedAt;
    MonotonicTime m_startedAt; ///< last start of a run
    std::uint32_t m_open = 0;
    Times m_times;
};

} // namespace Sycamoremoor
