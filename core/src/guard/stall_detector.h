// Whether an upstream has stopped to make progress, although it answers.
#pragma once

#include <sycamoremoor/core/time_type.h>

#include <cstddef>

namespace Sycamoremoor
{

/**
 * Detects upstreams on which runs stand still.
 *
 * The load that it answers: an upstream accepts runs and ends none of them for some seconds. Each scheduler has a few runs there and
 * would lose them one after the other to their limits, and send more meanwhile; the guard sees all of them. A slow upstream still ends
 * runs and is no stall.
 *
 * After a stall new work is accepted when a pause has passed, at first only a little: a single run that is overdue then shows that it
 * still stalls. Pauses grow as long as no run ends.
 */
class StallDetector
{
public:
    /** How much work an upstream may get. */
    enum class Phase {
        Normal,
        Stalled, ///< none
        Trial,   ///< a little, since it may still stall
        End,
    };

    /** Records that a run ended, done or failed. */
    void runEnded(MonotonicTime now);

    /** A new incarnation of the upstream begins. */
    void restart(MonotonicTime now);

    /**
     * Decides again.
     * @param overdue number of runs that run for much longer than expected
     * @param all number of runs that run
     * @return whether a stall begins: all runs are to be stopped
     */
    [[nodiscard]] bool update(MonotonicTime now, std::size_t overdue, std::size_t all);

    [[nodiscard]] Phase phase() const;

    /** Returns when to decide again though nothing happened; MonotonicTime::max() if nothing is to be decided. */
    [[nodiscard]] MonotonicTime nextUpdate() const;

private:
    Phase m_phase = Phase::Normal;
    MonotonicTime m_endedAt;
    MonotonicTime m_stalledUntil;
    unsigned m_stalls = 0; ///< since a run ended
};

} // namespace Sycamoremoor
