// Planning of roster changes.
#include "roster_plan_func.h"

#include <sycamoremoor/core/roster_func.h>

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

RosterRecord nextEpoch(const RosterRecord &base)
{
    auto next = base;
    next.epoch = Epoch(base.epoch.value() + 1);
    return next;
}

bool isServingMember(const RosterRecord &roster, const OwnerSlot &slot)
{
    const auto *member = findMember(roster, slot.owner);
    return member != nullptr && member->incarnation == slot.incarnation && !member->leaving;
}

/** Returns the member with the fewest slots that is not leaving, the earliest joined among equals; or nullptr. */
const RosterMember *leastLoaded(const RosterRecord &roster)
{
    const RosterMember *best = nullptr;
    std::ptrdiff_t fewest = 0;
    for (const auto &member : roster.members) {
        if (member.leaving) {
            continue;
        }
        const auto owned = std::ranges::count_if(
            roster.slots, [&](const OwnerSlot &slot) { return slot.owner == member.name && slot.incarnation == member.incarnation; });
        if (best == nullptr || owned < fewest) {
            best = &member;
            fewest = owned;
        }
    }
    return best;
}

/** Gives each slot without a serving owner to a member. */
void assignSlots(RosterRecord &roster, const RosterPlanContext &context)
{
    for (auto &slot : roster.slots) {
        const auto *heir = leastLoaded(roster);
        if (isServingMember(roster, slot) || heir == nullptr) {
            continue;
        }
        slot.former.insert(slot.former.begin(), FormerOwner{slot.owner, slot.incarnation, context.wall, false});
        slot.owner = heir->name;
        slot.incarnation = heir->incarnation;
        slot.token = roster.epoch;
        slot.since = context.wall;
    }
}

void pruneFormer(RosterRecord &roster, const RosterPlanContext &context)
{
    for (auto &slot : roster.slots) {
        std::erase_if(slot.former, [&](const FormerOwner &former) { return former.until + context.formerRetention < context.wall; });
    }
}

} // namespace

RosterRecord firstRoster(const RosterMember &member, const RosterPlanContext &context)
{
    RosterRecord roster;
    roster.epoch = Epoch(1);
    roster.members.push_back(member);
    roster.slots.push_back(OwnerSlot{member.name, member.incarnation, roster.epoch, context.wall, {}});
    return roster;
}

RosterRecord rosterWithMember(const RosterRecord &base, const RosterMember &member, const RosterPlanContext &context)
{
    auto next = nextEpoch(base);
    if (const auto known = std::ranges::find(next.members, member.name, &RosterMember::name); known != next.members.end()) {
        *known = member;
    } else {
        next.members.push_back(member);
    }
    assignSlots(next, context);
    pruneFormer(next, context);
    return next;
}

RosterRecord rosterWithLeaving(const RosterRecord &base, const EntryName &name, const RosterPlanContext &context)
{
    auto next = nextEpoch(base);
    if (const auto member = std::ranges::find(next.members, name, &RosterMember::name); member != next.members.end()) {
        member->leaving = true;
    }
    assignSlots(next, context);
    pruneFormer(next, context);
    return next;
}

RosterRecord rosterWithoutMember(const RosterRecord &base, const EntryName &name, bool clean, const RosterPlanContext &context)
{
    auto next = nextEpoch(base);
    const auto member = std::ranges::find(next.members, name, &RosterMember::name);
    if (member == next.members.end()) {
        return next;
    }
    const auto incarnation = member->incarnation;
    next.members.erase(member);
    assignSlots(next, context);
    if (clean) {
        for (auto &slot : next.slots) {
            for (auto &former : slot.former) {
                former.clean = former.clean || (former.name == name && former.incarnation == incarnation);
            }
        }
    }
    pruneFormer(next, context);
    return next;
}

} // namespace Sycamoremoor
