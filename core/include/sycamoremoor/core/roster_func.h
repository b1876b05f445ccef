// Lookups in a roster: slot of a key, owner of a slot, slot assigned to an agent.
#pragma once

#include <sycamoremoor/core/roster_type.h>
#include <sycamoremoor/core/submission_key.h>

#include <optional>

namespace Sycamoremoor
{

/** Returns the slot that owns @p key, by hash. @param slots number of owner slots, at least 1 */
OwnerSlotIndex slotOfKey(const SubmissionKey &key, std::size_t slots);

/**
 * Returns the slot that an agent is assigned to, by rendezvous hashing: slots whose owner is in the agent's zone are preferred,
 * then those in its region.
 * @return nothing if the roster has no slot
 */
std::optional<OwnerSlotIndex>
assignedSlot(const RosterRecord &roster, const AgentName &agent, const ZoneName &zone, const RegionName &region);

/** Returns the member of that name, or nullptr. */
const RosterMember *findMember(const RosterRecord &roster, const EntryName &name);

/** Returns the member that owns @p slot, or nullptr. */
const RosterMember *ownerOf(const RosterRecord &roster, OwnerSlotIndex slot);

} // namespace Sycamoremoor
