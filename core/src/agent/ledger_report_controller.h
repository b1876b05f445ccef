// Sends the ledger records of a slot's submissions to the slot's new owner.
#pragma once

#include "agent_state.h"

#include <cstddef>
#include <map>
#include <vector>

namespace Sycamoremoor
{

/** Sends a ledger report once for each change of a slot's owner, in parts that are repeated until acknowledged. */
class LedgerReportController
{
public:
    explicit LedgerReportController(AgentState &state);

    /** Handles a newer roster: begins a report for each slot with a new owner that the agent is assigned to or has records of. */
    void handleRosterChange();

    void handleReply(AgentStep &step, const LedgerReportReply &reply);

    /** Sends the parts that are due. */
    void tick(AgentStep &step);

    [[nodiscard]] MonotonicTime nextWake() const;

    /** Returns whether a report has unacknowledged parts. */
    [[nodiscard]] bool isPending() const;

private:
    /** A ledger report that is not completely acknowledged. */
    struct Transfer {
        Epoch token;
        OwnerIndex owner = NoOwner;
        std::vector<TaskId> tasks;
        std::vector<std::size_t> partBegins; ///< position in tasks of the first task of each part
        std::uint32_t part = 0;
        MonotonicTime sendAt = MonotonicTime::min();
    };

    [[nodiscard]] std::map<OwnerSlotIndex, std::vector<TaskId>> tasksBySlot() const;
    [[nodiscard]] bool isAssignedTo(OwnerSlotIndex slot) const;
    void beginTransfer(OwnerSlotIndex slot, std::vector<TaskId> tasks);
    [[nodiscard]] std::vector<std::size_t> splitParts(const std::vector<TaskId> &tasks) const;
    void send(AgentStep &step, OwnerSlotIndex slot, Transfer &transfer);

    AgentState &m_state;
    std::map<OwnerSlotIndex, Epoch> m_reportedTokens; ///< per slot, the token up to which a report was begun or was not needed
    std::map<OwnerSlotIndex, Transfer> m_transfers;
};

} // namespace Sycamoremoor
