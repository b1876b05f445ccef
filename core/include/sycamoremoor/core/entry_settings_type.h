// What an entry is told at its start.
#pragma once

#include <sycamoremoor/core/endpoint_type.h>
#include <sycamoremoor/core/id_type.h>
#include <sycamoremoor/core/time_type.h>
#include <sycamoremoor/core/unit_type.h>

#include <cstdint>
#include <vector>

namespace Sycamoremoor
{

/** Settings of an entry process. Times that must agree between processes say so. */
struct EntrySettings {
    EntryName name;
    Incarnation incarnation;
    Endpoint endpoint; ///< where peers and agents reach it
    ZoneName zone;
    RegionName region;
    std::vector<Endpoint> peerSeeds; ///< entries to ask for roster and configuration when the platform is down

    Duration headReadInterval = std::chrono::milliseconds(1'500); ///< between reads of roster and configuration head
    Duration peerHeartbeatInterval = std::chrono::seconds(1);
    std::uint32_t agentHeartbeatRate = 32;                     ///< heartbeats a second; with more agents each is asked to beat less often
    std::uint32_t maxHeartbeatStretch = 4;                     ///< times the interval, at most
    Duration agentHeartbeatInterval = std::chrono::seconds(1); ///< same at agents
    Duration failureTimeout = std::chrono::seconds(3);         ///< silence after which a peer is removed, or an agent gets no new work
    Duration servingLease = std::chrono::seconds(4);           ///< how long a proof of membership holds; same at all entries
    Duration agentLostTimeout = std::chrono::seconds(15);      ///< silence after which an agent's tasks are unknown
    Duration clockSkew = std::chrono::seconds(2);     ///< bound between the wall clocks of any two processes or callers; same everywhere
    Duration keyMaxAge = std::chrono::minutes(10);    ///< older keys are refused; same everywhere
    Duration drainTimeout = std::chrono::seconds(30); ///< a planned stop ends by then
    Duration drainGrace = std::chrono::seconds(3);    ///< how long a stopping entry still takes callers, until the balancer has seen it
    Duration queryDelay = std::chrono::seconds(1);    ///< how long a task may be missing at its agent before it is asked about
};

} // namespace Sycamoremoor
