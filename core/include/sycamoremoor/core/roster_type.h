// The roster: which entries there are, and which of them owns which part of the submissions.
#pragma once

#include <sycamoremoor/core/endpoint_type.h>
#include <sycamoremoor/core/id_type.h>
#include <sycamoremoor/core/time_type.h>

#include <cstdint>
#include <vector>

namespace Sycamoremoor
{

/** Position of an owner slot, from 0. Submissions and agents are hashed to owner slots. */
using OwnerSlotIndex = StrongType<struct OwnerSlotIndexTag, std::uint32_t>;

/** An entry of the roster. */
struct RosterMember {
    EntryName name;
    Incarnation incarnation;
    Endpoint endpoint;
    ZoneName zone;
    RegionName region;
    bool leaving = false; ///< takes no new submissions, hands on what it owns

    friend bool operator==(const RosterMember &, const RosterMember &) = default;
};

/** An earlier holder of an owner slot. Kept until every key it may have taken has expired. */
struct FormerOwner {
    EntryName name;
    Incarnation incarnation;
    WallTime until{};   ///< when the roster that ended its tenure was written
    bool clean = false; ///< it handed everything over itself

    friend bool operator==(const FormerOwner &, const FormerOwner &) = default;
};

/** One part of the submissions and its owner. */
struct OwnerSlot {
    EntryName owner;
    Incarnation incarnation;
    Epoch token;                     ///< epoch at which this owner took the slot; agents refuse starts with a lower one
    WallTime since{};                ///< when the roster with that epoch was written
    std::vector<FormerOwner> former; ///< newest first

    friend bool operator==(const OwnerSlot &, const OwnerSlot &) = default;
};

/** The whole roster, as it stands in the platform's service. */
struct RosterRecord {
    Epoch epoch;                       ///< rises by one at each write
    std::vector<RosterMember> members; ///< in the order of joining
    std::vector<OwnerSlot> slots;      ///< at least one once there is a member

    friend bool operator==(const RosterRecord &, const RosterRecord &) = default;
};

} // namespace Sycamoremoor
