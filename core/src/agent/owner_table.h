// The owners that an agent works for, and the reports that each has not acknowledged.
#pragma once

#include <sycamoremoor/core/agent_message_type.h>

#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <vector>

namespace Sycamoremoor
{

/** Position of an owner in the table; small, since each ledger record holds two. */
using OwnerIndex = std::uint16_t;
inline constexpr OwnerIndex NoOwner = std::numeric_limits<OwnerIndex>::max();

/** A report that its owner has not acknowledged. */
struct PendingReport {
    ReportSequence sequence;
    TaskId task;
    MonotonicTime sentAt{};
};

/** One life of an entry that gave this agent tasks, or took over an owner slot. */
struct Owner {
    EntryName name;
    Incarnation incarnation;
    Endpoint endpoint;           ///< port 0 if not known
    bool inRoster = false;       ///< a member of the newest roster
    bool hasDescription = false; ///< it answered a heartbeat that described this agent
    ReportSequence lastSequence;
    std::uint32_t held = 0;    ///< tasks that have not ended
    std::uint32_t records = 0; ///< ledger records that name it
    std::deque<PendingReport> unacknowledged;
    std::vector<TaskReport> batch;                  ///< reports of this step
    std::optional<MonotonicTime> lastHeartbeatAt{}; ///< last heartbeat to it
};

/** Owners by index. Indexes stay valid while a ledger record names the owner. */
class OwnerTable
{
public:
    /** Returns the index of an entry's life, added if new. */
    OwnerIndex add(const EntryName &name, Incarnation incarnation);

    /** Returns the index of an entry's life, or NoOwner. */
    [[nodiscard]] OwnerIndex find(const EntryName &name, Incarnation incarnation) const;

    /** Takes addresses and membership from a roster; drops reports to owners that are gone and restarted. */
    void updateFrom(const RosterRecord &roster);

    /** Frees owners that nothing refers to. */
    void prune();

    Owner &at(OwnerIndex index);
    [[nodiscard]] const Owner &at(OwnerIndex index) const;

    /** Returns all owners, freed ones included; those have no name. */
    std::vector<Owner> &owners();
    [[nodiscard]] const std::vector<Owner> &owners() const;

private:
    std::vector<Owner> m_owners;
};

} // namespace Sycamoremoor
