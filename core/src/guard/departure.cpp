// When an upstream that is about to leave ends, and which of its runs cannot end before.
#include "departure.h"

namespace Sycamoremoor
{

void Departure::announced(MonotonicTime now, const UpstreamAnnounced &announced)
{
    if (!announced.leaving) {
        m_leavesAt.reset();
    } else if (announced.leavesAfter) {
        m_leavesAt = now + *announced.leavesAfter;
    }
}

bool Departure::cutsOff(MonotonicTime now, const GuardedRun &run) const
{
    const bool isTimed = m_leavesAt && run.stage == RunStage::Running && run.expected > Duration::zero();
    return isTimed && run.startedAt + run.expected > *m_leavesAt && now + run.expected <= run.expiresAt;
}

} // namespace Sycamoremoor
