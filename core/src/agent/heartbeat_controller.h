// Sends heartbeats to the assigned entry, to owners with unfinished tasks or reports, and to other entries if there is no answer.
#pragma once

#include "agent_state.h"
#include "report_controller.h"

#include <sycamoremoor/core/agent_input_type.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace Sycamoremoor
{

/** Sends heartbeats with unacknowledged reports, and applies the roster and configuration of the replies. */
class HeartbeatController
{
public:
    HeartbeatController(AgentState &state, ReportController &reports);

    /** Handles a reply. Returns true if it contained a newer roster. */
    bool handleReply(AgentStep &step, const HeartbeatReplyReceived &input);

    void handleFailure(AgentStep &step, const Endpoint &entry);

    /** Schedules the next heartbeat to the target earlier, limited by EarlySendDivisor. */
    void sendSoon(AgentStep &step);

    /** Sends the heartbeats that are due. */
    void tick(AgentStep &step);

    [[nodiscard]] MonotonicTime nextWake() const;

    /** Returns whether an entry has answered after a heartbeat that reported the shutdown of the agent or its upstream. */
    [[nodiscard]] bool leavingIsAcknowledged() const;

private:
    void adoptRoster(AgentStep &step, const std::shared_ptr<const RosterRecord> &roster);
    void adoptConfig(AgentStep &step, const std::shared_ptr<const ConfigSet> &config);
    [[nodiscard]] bool isTarget(const EntryName &entry) const;
    void targetAssignedEntry();
    void targetNextEntry();
    [[nodiscard]] std::vector<Endpoint> candidates() const;
    [[nodiscard]] const RosterMember *assignedEntry() const;
    [[nodiscard]] OwnerIndex ownerAt(const Endpoint &entry) const;
    [[nodiscard]] bool needsOwnHeartbeat(const Owner &owner) const;
    [[nodiscard]] MonotonicTime dueAt(const Owner &owner) const;
    [[nodiscard]] MonotonicTime nextToTarget() const;
    void updateReceiver(AgentStep &step, const AgentHeartbeatReply &reply);
    void sendToTarget(AgentStep &step);
    void send(AgentStep &step, const Endpoint &entry);
    [[nodiscard]] AgentHeartbeat heartbeatFor(AgentStep &step, OwnerIndex receiver);

    AgentState &m_state;
    ReportController &m_reports;
    Endpoint m_target;
    Duration m_interval; ///< set by the assigned entry
    MonotonicTime m_nextAt = MonotonicTime::min();
    std::optional<MonotonicTime> m_lastSent;
    std::optional<MonotonicTime> m_unansweredSince; ///< when the first unanswered heartbeat to the target was sent
    bool m_sentHealthy = false;
    bool m_sentLeaving = false;
    bool m_leavingIsAcknowledged = false;
};

} // namespace Sycamoremoor
