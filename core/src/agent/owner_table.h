// Table of the owners of an agent's tasks, with the reports that each has not acknowledged.
#pragma once

#include <sycamoremoor/core/agent_message_type.h>

#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <vector>

namespace Sycamoremoor
{

/** Position of an owner in the table; 16 bits, since each ledger record holds two. */
using OwnerIndex = std::uint16_t;
inline constexpr OwnerIndex NoOwner = std::numeric_limits<OwnerIndex>::max();

/** A report that its owner has not acknowledged. */
struct PendingReport {
    ReportSequence sequence;
    TaskId task;
    MonotonicTime sentAt{};
};

/** One incarnation of an entry that sent tasks to this agent or owns an owner slot. */
struct Owner {
    EntryName name;
    Incarnation incarnation;
    Endpoint endpoint;           ///< port 0 if not known
    bool inRoster = false;       ///< it is a member of the newest roster
    bool hasDescription = false; ///< the owner has the description of this agent
    ReportSequence lastSequence;
    std::uint32_t held = 0;    ///< number of its tasks that have not ended
    std::uint32_t records = 0; ///< number of ledger records that refer to it
    std::deque<PendingReport> unacknowledged;
    std::vector<TaskReport> batch;                  ///< reports of this step, sent together at its end
    std::optional<MonotonicTime> lastHeartbeatAt{}; ///< when the last heartbeat to it was sent
};

/** Owners by index. An index stays valid while a ledger record refers to the owner. */
class OwnerTable
{
public:
    /** Returns the index of an entry's incarnation; adds it if it is new. */
    OwnerIndex add(const EntryName &name, Incarnation incarnation);

    /** Returns the index of an entry's incarnation, or NoOwner. */
    [[nodiscard]] OwnerIndex find(const EntryName &name, Incarnation incarnation) const;

    /** Sets addresses and membership from a roster; drops unacknowledged reports to owners that have restarted since. */
    void updateFrom(const RosterRecord &roster);

    /** Frees owners that are in neither the roster nor the ledger and have no reports to send. */
    void prune();

    Owner &at(OwnerIndex index);
    [[nodiscard]] const Owner &at(OwnerIndex index) const;

    /** Returns all owners, including freed ones, whose name is empty. */
    std::vector<Owner> &owners();
    [[nodiscard]] const std::vector<Owner> &owners() const;

private:
    std::vector<Owner> m_owners;
};

} // namespace Sycamoremoor
