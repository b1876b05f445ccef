// Settings of one process.
#pragma once

#include <sycamoremoor/core/agent_settings_type.h>
#include <sycamoremoor/core/entry_settings_type.h>
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
};

/** Everything that flags and environment variables can set. */
struct DaemonSettings {
    DaemonRole role = DaemonRole::Unset;
    std::string name;
    Endpoint listen;
    Endpoint advertise; ///< port 0: the listening address
    std::string zone;
    std::string region;
    std::vector<Endpoint> platform;
    std::vector<Endpoint> entries;
    EntrySettings entry; ///< timing only
    AgentSettings agent; ///< timing, upstream, service and capacity only
    Severity logLevel = Severity::Info;
    LogFormat logFormat = LogFormat::Text;
    bool checkOnly = false;
    bool showHelp = false;
    bool showVersion = false;
};

} // namespace Sycamoremoor
