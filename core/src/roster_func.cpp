// Lookups in a roster: slot of a key, owner of a slot, slot assigned to an agent.
#include <sycamoremoor/core/roster_func.h>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <string>

namespace Sycamoremoor
{

namespace
{

/** Proximity of a slot's owner to an agent; a higher value is nearer. */
enum class Proximity {
    Elsewhere,
    SameRegion,
    SameZone,
};

Proximity proximity(const RosterMember *owner, const ZoneName &zone, const RegionName &region)
{
    if (owner == nullptr) {
        return Proximity::Elsewhere;
    }
    if (owner->zone == zone) {
        return Proximity::SameZone;
    }
    return owner->region == region ? Proximity::SameRegion : Proximity::Elsewhere;
}

/** Returns the rendezvous weight of a slot for an agent. */
std::uint64_t rendezvousWeight(const AgentName &agent, OwnerSlotIndex slot)
{
    return XXH3_64bits_withSeed(agent.value().data(), agent.value().size(), slot.value());
}

} // namespace

OwnerSlotIndex slotOfKey(const SubmissionKey &key, std::size_t slots)
{
    const std::array<std::uint64_t, 2> words{key.high(), key.low()};
    return OwnerSlotIndex(static_cast<std::uint32_t>(XXH3_64bits(words.data(), sizeof(words)) % slots));
}

std::optional<OwnerSlotIndex>
assignedSlot(const RosterRecord &roster, const AgentName &agent, const ZoneName &zone, const RegionName &region)
{
    std::optional<OwnerSlotIndex> best;
    std::pair<Proximity, std::uint64_t> bestRank{};
    for (std::uint32_t index = 0; index < roster.slots.size(); ++index) {
        const OwnerSlotIndex slot(index);
        const std::pair rank(proximity(ownerOf(roster, slot), zone, region), rendezvousWeight(agent, slot));
        if (!best || rank > bestRank) {
            best = slot;
            bestRank = rank;
        }
    }
    return best;
}

const RosterMember *findMember(const RosterRecord &roster, const EntryName &name)
{
    const auto found = std::ranges::find(roster.members, name, &RosterMember::name);
    return found == roster.members.end() ? nullptr : &*found;
}

const RosterMember *ownerOf(const RosterRecord &roster, OwnerSlotIndex slot)
{
    if (slot.value() >= roster.slots.size()) {
        return nullptr;
    }
    const auto &owner = roster.slots[slot.value()];
    const auto *member = findMember(roster, owner.owner);
    return member != nullptr && member->incarnation == owner.incarnation ? member : nullptr;
}

} // namespace Sycamoremoor
