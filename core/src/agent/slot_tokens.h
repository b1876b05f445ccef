// The highest token known for each owner slot, and who holds it.
#pragma once

#include <sycamoremoor/core/agent_message_type.h>

#include <map>

namespace Sycamoremoor
{

/** Fencing tokens: what is lower than the highest known one is refused. */
class SlotTokens
{
public:
    /** Learns a token; a lower one changes nothing. */
    void raise(OwnerSlotIndex slot, Epoch token, const EntryName &owner, Incarnation incarnation);

    /** Learns every token of a roster. */
    void raise(const RosterRecord &roster);

    /** Returns the highest token known for a slot; zero if none. */
    [[nodiscard]] Epoch highest(OwnerSlotIndex slot) const;

    /** Tells whether an entry's life is known to have lost a slot to another. */
    [[nodiscard]] bool isFenced(OwnerSlotIndex slot, const EntryName &owner, Incarnation incarnation) const;

private:
    struct Holder {
        Epoch token;
        EntryName owner;
        Incarnation incarnation;
    };
    std::map<OwnerSlotIndex, Holder> m_holders;
};

} // namespace Sycamoremoor
