// The next roster, made from the one in force. Each change alters the set of member names by one at most.
#pragma once

#include <sycamoremoor/core/roster_type.h>

#include <optional>

namespace Sycamoremoor
{

/** What a plan needs besides the roster. */
struct RosterPlanContext {
    WallTime wall{};
    Duration formerRetention{}; ///< how long former owners are remembered
};

/** Returns the first roster, with @p member as owner of the only slot. */
RosterRecord firstRoster(const RosterMember &member, const RosterPlanContext &context);

/** Adds @p member, or puts its new life in place of the earlier one, whose slots go to others. */
RosterRecord rosterWithMember(const RosterRecord &base, const RosterMember &member, const RosterPlanContext &context);

/** Marks a member as leaving and gives its slots to others. */
RosterRecord rosterWithLeaving(const RosterRecord &base, const EntryName &name, const RosterPlanContext &context);

/** Removes a member. @param clean it handed everything over itself */
RosterRecord rosterWithoutMember(const RosterRecord &base, const EntryName &name, bool clean, const RosterPlanContext &context);

} // namespace Sycamoremoor
