// Identifiers of processes, services, teams, places and versions.
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
using TaskKind = StrongType<struct TaskKindTag, std::string>;       ///< what a task does; run times are learned per service and kind
using ChangeId = StrongType<struct ChangeIdTag, std::string>; ///< names one change of configuration, to recognise it after a lost answer

using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;   ///< one life of a process; a restart has another, never zero
using Epoch = StrongType<struct EpochTag, std::uint64_t>;               ///< version of the roster, rises by one at each change
using Revision = StrongType<struct RevisionTag, std::uint64_t>;         ///< version of the configuration set, rises at each change
using ConnectionId = StrongType<struct ConnectionIdTag, std::uint64_t>; ///< one open exchange of a caller or peer with this process
using TaskIndex = StrongType<struct TaskIndexTag, std::uint32_t>;       ///< position of a task in its submission, from 0
using ReportSequence
    = StrongType<struct ReportSequenceTag, std::uint64_t>; ///< numbers an agent's reports to one owner from 1, without gaps

} // namespace Sycamoremoor
