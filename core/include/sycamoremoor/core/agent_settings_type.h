// Settings of an agent process.
#pragma once

#include <sycamoremoor/core/agent_message_type.h>

#include <vector>

namespace Sycamoremoor
{

/** Settings of an agent process. The comment of a time that must be equal in other processes says so. */
struct AgentSettings {
    AgentName name;
    Incarnation incarnation;
    Endpoint endpoint; ///< address at which entries reach the agent
    Endpoint upstream; ///< address of the runner on the same node
    ZoneName zone;
    RegionName region;
    ServiceName service;
    WorkerCapacity capacity;
    std::vector<Endpoint> entrySeeds; ///< entries to contact for the roster, besides its members

    Duration heartbeatInterval = std::chrono::seconds(1); ///< must be the same at entries
    Duration failureTimeout = std::chrono::seconds(3);    ///< time without an answer after which another entry is tried
    Duration startMaxAge = std::chrono::seconds(30);      ///< a start whose stamp is older is refused
    Duration reportRetryDelay = std::chrono::seconds(1);  ///< time without an acknowledgement after which a report is repeated
    Duration resultRetention = std::chrono::seconds(60);  ///< results of ended tasks are retained at least this long, within resultBytes
    ByteCount resultBytes{16LL << 20};                    ///< maximum bytes of retained results
    Duration ledgerRetention = std::chrono::minutes(11);  ///< must exceed the entries' maximum key age plus the clock skew
    std::uint32_t ledgerRecords = 200'000; ///< limit of ended tasks; older ones are dropped early, but not before late starts are refused
    Duration upstreamProbeInterval = std::chrono::seconds(1);
    Duration drainTimeout = std::chrono::seconds(60); ///< time limit of a drain; unfinished tasks are cut off then
    std::uint32_t agentQueue = 1;                     ///< tasks that may wait for a slot; used until a configuration is received
};

} // namespace Sycamoremoor
