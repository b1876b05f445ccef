// Identifiers of processes, services, teams, zones, regions and versions.
#pragma once

#include <sycamoremoor/core/strong_type.h>

#include <cstdint>
#include <string>

namespace Sycamoremoor
{

using EntryName = StrongType<struct EntryNameTag, std::string>;     ///< an entry process, stable across restarts
using AgentName = StrongType<struct AgentNameTag, std::string>;     ///< an agent process, stable across restarts
using ServiceName = StrongType<struct ServiceNameTag, std::string>; ///< a service whose upstreams run tasks, such as reclaim-desk
using TeamName = StrongType<struct TeamNameTag, std::string>;       ///< the team that a submission counts against
using ZoneName = StrongType<struct ZoneNameTag, std::string>;       ///< an availability zone
using RegionName = StrongType<struct RegionNameTag, std::string>;   ///< a region
using TaskKind = StrongType<struct TaskKindTag, std::string>;       ///< kind of a task; run times are estimated per service and kind
using ChangeId = StrongType<struct ChangeIdTag, std::string>;       ///< identifies a configuration change, also if its answer was lost

using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;   ///< one run of a process; new at each restart, never zero
using Epoch = StrongType<struct EpochTag, std::uint64_t>;               ///< version of the roster, incremented at each change
using Revision = StrongType<struct RevisionTag, std::uint64_t>;         ///< version of the configuration set, increases at each change
using ConnectionId = StrongType<struct ConnectionIdTag, std::uint64_t>; ///< an open exchange of a caller or peer with this process
using TaskIndex = StrongType<struct TaskIndexTag, std::uint32_t>;       ///< position of a task in its submission, from 0
using ReportSequence
    = StrongType<struct ReportSequenceTag, std::uint64_t>; ///< number of a report of an agent to one owner, from 1 without gaps

} // namespace Sycamoremoor
