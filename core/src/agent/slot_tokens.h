// Highest fencing token known for each owner slot, and its owner.
#pragma once

#include <sycamoremoor/core/agent_message_type.h>

#include <map>

namespace Sycamoremoor
{

/** Fencing tokens of the owner slots. A start with a token lower than the slot's highest known one is refused. */
class SlotTokens
{
public:
    /** Records a token; one that is not higher than the known one changes nothing. */
    void raise(OwnerSlotIndex slot, Epoch token, const EntryName &owner, Incarnation incarnation);

    /** Records all tokens of a roster. */
    void raise(const RosterRecord &roster);

    /** Returns the highest token known for a slot; zero if none. */
    [[nodiscard]] Epoch highest(OwnerSlotIndex slot) const;

    /** Returns whether the highest known token of a slot belongs to an owner other than this incarnation of the entry. */
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
