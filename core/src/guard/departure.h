// When an upstream that is about to leave ends, and which of its runs cannot end before.
#pragma once

#include "run_table.h"

#include <sycamoremoor/core/guard_input_type.h>
#include <sycamoremoor/core/time_type.h>

#include <optional>

namespace Sycamoremoor
{

/**
 * The announced end of an upstream.
 *
 * The load that it answers: upstreams are removed some seconds after they announced it. A longer run would be lost with them, and its task
 * would be placed elsewhere only when the end is certain, a second later.
 */
class Departure
{
public:
    /** Takes an announcement of the upstream. */
    void announced(MonotonicTime now, const UpstreamAnnounced &announced);

    /** Returns whether a run is expected to outlast the upstream, while a new run elsewhere can still end before the run's job expires. */
    [[nodiscard]] bool cutsOff(MonotonicTime now, const GuardedRun &run) const;

private:
    std::optional<MonotonicTime> m_leavesAt; ///< earliest end of the upstream, if it is leaving and has stated one
};

} // namespace Sycamoremoor
