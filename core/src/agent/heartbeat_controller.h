// Heartbeats: to the home entry, to owners that wait for reports, and to others while the home is silent.
#pragma once

#include "agent_state.h"
#include "report_controller.h"

#include <sycamoremoor/core/agent_input_type.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace Sycamoremoor
{

/** Announces the agent, learns roster and configuration, repeats reports. */
class HeartbeatController
{
public:
    HeartbeatController(AgentState &state, ReportController &reports);

    /** Takes a reply. Returns true if it brought a newer roster. */
    bool handleReply(AgentStep &step, const HeartbeatReplyReceived &input);

    void handleFailure(AgentStep &step, const Endpoint &entry);

    /** Reports must go out again soon. */
    void sendSoon(AgentStep &step);

    /** Sends the heartbeats that are due. */
    void tick(AgentStep &step);

    [[nodiscard]] MonotonicTime nextWake() const;

    /** Tells whether an entry has answered since it was told that the agent is leaving. */
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
    Duration m_interval; ///< as the home asks
    MonotonicTime m_nextAt = MonotonicTime::min();
    std::optional<MonotonicTime> m_lastSent;
    std::optional<MonotonicTime> m_silentSince; ///< first heartbeat to the target without an answer
    bool m_sentHealthy = false;
    bool m_sentLeaving = false;
    bool m_leavingIsAcknowledged = false;
};

} // namespace Sycamoremoor
