// What an agent is told at its start.
#pragma once

#include <sycamoremoor/core/agent_message_type.h>

#include <vector>

namespace Sycamoremoor
{

/** Settings of an agent process. Times that must agree between processes say so. */
struct AgentSettings {
    AgentName name;
    Incarnation incarnation;
    Endpoint endpoint; ///< where entries reach it
    Endpoint upstream; ///< the runner beside it
    ZoneName zone;
    RegionName region;
    ServiceName service;
    WorkerCapacity capacity;
    std::vector<Endpoint> entrySeeds; ///< entries to ask for the roster

    Duration heartbeatInterval = std::chrono::seconds(1); ///< same at entries
    Duration failureTimeout = std::chrono::seconds(3);    ///< silence after which another entry is tried
    Duration startMaxAge = std::chrono::seconds(30);      ///< a start that left its owner longer ago is refused
    Duration reportRetryDelay = std::chrono::seconds(1);  ///< a report not acknowledged by then is sent again
    Duration resultRetention = std::chrono::seconds(60);  ///< results of ended tasks are kept at least this long, memory permitting
    ByteCount resultBytes{16LL << 20};                    ///< bytes of results kept
    Duration ledgerRetention = std::chrono::minutes(11);  ///< above the entries' key age limit plus clock skew
    std::uint32_t ledgerRecords = 200'000; ///< ended tasks remembered; older ones are let go early, but not before late starts are refused
    Duration upstreamProbeInterval = std::chrono::seconds(1);
    Duration drainTimeout = std::chrono::seconds(60); ///< a planned stop ends by then
    std::uint32_t agentQueue = 1;                     ///< until a configuration says otherwise
};

} // namespace Sycamoremoor
