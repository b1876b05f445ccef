// Whether a guard may start runs while its zone may be evacuated, and on how much of its capacity afterwards.
#pragma once

#include "../evacuated_zones.h"

#include <sycamoremoor/core/time_type.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Sycamoremoor
{

/**
 * Closes a guard during an evacuation of its zone.
 *
 * The failures that it answers: a guard that restarts in an evacuated zone would start runs before its first read of the store, so it
 * waits for that read, but not for long, since the store may be down. Upstreams that ran nothing during the evacuation have become
 * cold and are slow at first, so the capacity in use increases gradually for as long as the upstream announces to be cold.
 */
class EvacuationGate
{
public:
    static constexpr std::int64_t AllSteps = 16; ///< steps of the capacity: each is one core of a usual worker
    static constexpr std::int64_t LeastSteps = AllSteps / 4;

    /** @param zone of the guard  @param within time in which an evacuation takes effect, zero if the zone is never evacuated */
    EvacuationGate(ZoneName zone, Duration within);

    /** Takes what was read of the store. @return a log line for each evacuation that begins or ends */
    [[nodiscard]] std::vector<LogLine> update(MonotonicTime now, const EvacuationsRead &read);

    /** The upstream announced for how long it will still be slow; zero if it is not. */
    void announced(MonotonicTime now, Duration coldFor);

    /** Decides again at @p now. */
    void advance(MonotonicTime now);

    /** Returns whether the zone is evacuated, as far as is known. */
    [[nodiscard]] bool isEvacuated() const;

    /** Returns whether runs may be started. */
    [[nodiscard]] bool isOpen() const;

    /** Returns how much of the capacity may be used, from LeastSteps to AllSteps of AllSteps. */
    [[nodiscard]] std::int64_t steps() const;

    /** Returns when to decide again though nothing happened; MonotonicTime::max() if nothing is to be decided. */
    [[nodiscard]] MonotonicTime nextUpdate() const;

private:
    [[nodiscard]] bool isEasingIn() const;
    /** Returns when @p steps of the capacity may be used. */
    [[nodiscard]] MonotonicTime timeOf(std::int64_t steps) const;

    ZoneName m_zone;
    Duration m_within;
    EvacuatedZones m_zones;
    std::optional<MonotonicTime> m_waitUntil;  ///< latest end of the wait for the first read, from the first decision on
    bool m_isWaiting = false;                  ///< for the first read
    std::optional<MonotonicTime> m_reopenedAt; ///< end of an evacuation, until the upstream announces that it is not cold
    MonotonicTime m_coldUntil;
    std::int64_t m_steps = AllSteps;
};

} // namespace Sycamoremoor
