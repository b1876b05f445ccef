// Settings of one process.
#pragma once

#include "client_limits_type.h"

#include <sycamoremoor/core/agent_settings_type.h>
#include <sycamoremoor/core/entry_settings_type.h>
#include <sycamoremoor/core/guard_machine.h>
#include <sycamoremoor/core/guard_subset.h>
#include <sycamoremoor/core/scheduler_machine.h>
#include <sycamoremoor/net/log_func.h>

#include <string>
#include <vector>

namespace Sycamoremoor
{

/** What this process is. */
enum class DaemonRole {
    Unset,
    Entry,
    Agent,
    Scheduler,
    Guard,
    End,
};

/** A set of roles. */
using DaemonRoles = unsigned;

constexpr DaemonRoles rolesOf(DaemonRole role)
{
    return 1U << static_cast<unsigned>(role);
}

inline constexpr DaemonRoles AllRoles = ~0U;

/** Everything that flags and environment variables can set. */
struct DaemonSettings {
    DaemonRole role = DaemonRole::Unset;
    std::string name;
    Endpoint listen;
    Endpoint advertise; ///< port 0: the listening address
    std::string zone;
    std::string region;
    Endpoint callers;       ///< where a scheduler takes jobs
    Endpoint readiness;     ///< where a scheduler tells the balancer whether it takes new callers
    Endpoint announcements; ///< where a guard's upstream announces itself
    std::vector<Endpoint> platform;
    std::vector<Endpoint> entries;
    EntrySettings entry;                                    ///< timing only
    AgentSettings agent;                                    ///< timing, upstream, service and capacity only
    GuardSettings guard;                                    ///< timing only
    std::size_t followedWorkers = GuardSubset::DefaultSize; ///< workers whose capacity a scheduler follows, if there are as many
    SchedulerSettings scheduler;                            ///< timing only
    Duration evacuateWithin{};                              ///< in which an evacuation of a zone takes effect, zero if none is evacuated
    ClientLimits limits;                                    ///< of schedulers and guards
    Severity logLevel = Severity::Info;
    LogFormat logFormat = LogFormat::Text;
    bool checkOnly = false;
    bool showHelp = false;
    bool showVersion = false;
};

} // namespace Sycamoremoor
