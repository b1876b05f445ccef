// Highest fencing token known for each owner slot, and its owner.
#include "slot_tokens.h"

namespace Sycamoremoor
{

void SlotTokens::raise(OwnerSlotIndex slot, Epoch token, const EntryName &owner, Incarnation incarnation)
{
    if (auto &holder = m_holders[slot]; token > holder.token) {
        holder = {token, owner, incarnation};
    }
}

void SlotTokens::raise(const RosterRecord &roster)
{
    for (std::uint32_t index = 0; index < roster.slots.size(); ++index) {
        const auto &slot = roster.slots[index];
        raise(OwnerSlotIndex(index), slot.token, slot.owner, slot.incarnation);
    }
}

Epoch SlotTokens::highest(OwnerSlotIndex slot) const
{
    const auto found = m_holders.find(slot);
    return found == m_holders.end() ? Epoch() : found->second.token;
}

bool SlotTokens::isFenced(OwnerSlotIndex slot, const EntryName &owner, Incarnation incarnation) const
{
    const auto found = m_holders.find(slot);
    return found != m_holders.end() && (found->second.owner != owner || found->second.incarnation != incarnation);
}

} // namespace Sycamoremoor
