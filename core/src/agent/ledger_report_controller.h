// Sends the ledger of a slot's submissions to the slot's new owner.
#pragma once

#include "agent_state.h"

#include <cstddef>
#include <map>
#include <vector>

namespace Sycamoremoor
{

/** Reports the ledger once per change of owner, part by part, each repeated until it is acknowledged. */
class LedgerReportController
{
public:
    explicit LedgerReportController(AgentState &state);

    /** A newer roster is known: begins a report for each slot of this agent that changed its owner. */
    void handleRosterChange();

    void handleReply(AgentStep &step, const LedgerReportReply &reply);

    /** Sends the parts that are due. */
    void tick(AgentStep &step);

    [[nodiscard]] MonotonicTime nextWake() const;

    /** Tells whether a new owner still waits for parts. */
    [[nodiscard]] bool isPending() const;

private:
    /** One report under way. */
    struct Transfer {
        Epoch token;
        OwnerIndex owner = NoOwner;
        std::vector<TaskId> tasks;
        std::vector<std::size_t> partBegins; ///< positions in tasks
        std::uint32_t part = 0;
        MonotonicTime sendAt = MonotonicTime::min();
    };

    [[nodiscard]] std::map<OwnerSlotIndex, std::vector<TaskId>> tasksBySlot() const;
    [[nodiscard]] bool isAssignedTo(OwnerSlotIndex slot) const;
    void beginTransfer(OwnerSlotIndex slot, std::vector<TaskId> tasks);
    [[nodiscard]] std::vector<std::size_t> splitParts(const std::vector<TaskId> &tasks) const;
    void send(AgentStep &step, OwnerSlotIndex slot, Transfer &transfer);

    AgentState &m_state;
    std::map<OwnerSlotIndex, Epoch> m_reportedTokens; ///< token up to which a report was begun or was not needed
    std::map<OwnerSlotIndex, Transfer> m_transfers;
};

} // namespace Sycamoremoor
