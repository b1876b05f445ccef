// Every setting: its flag, help, role, and how its value is read.
#pragma once

#include "daemon_settings_type.h"
#include "option_value_func.h"

#include <array>
#include <string>
#include <string_view>

namespace Sycamoremoor
{

/** One setting. The environment variable is SYCAMOREMOOR_ and the flag in capitals with underscores. */
struct OptionRow {
    const char *flag;
    const char *value; ///< placeholder in the help
    const char *help;
    DaemonRole role; ///< Unset: both
    bool required;   ///< for its role
    bool (*read)(const std::string &text, DaemonSettings &settings);
    const char *allowed; ///< what a value must be
};

using Settings = DaemonSettings;

inline constexpr std::array OptionTable{
    // clang-format off
    OptionRow{"role", "ROLE", "what this process is", DaemonRole::Unset, true,
              [](const std::string &text, Settings &to) { return readRole(text, to.role); }, "entry or agent"},
    OptionRow{"name", "NAME", "name of this process, stable across restarts", DaemonRole::Unset, true,
              [](const std::string &text, Settings &to) { return readName(text, to.name); }, NameAllowed},
    OptionRow{"listen", "IP:PORT", "where it listens", DaemonRole::Unset, true,
              [](const std::string &text, Settings &to) { return readEndpoint(text, to.listen); }, EndpointAllowed},
    OptionRow{"advertise", "IP:PORT", "where other processes reach it, if not where it listens", DaemonRole::Unset, false,
              [](const std::string &text, Settings &to) { return readEndpoint(text, to.advertise); }, EndpointAllowed},
    OptionRow{"zone", "ZONE", "its availability zone", DaemonRole::Unset, true,
              [](const std::string &text, Settings &to) { return readName(text, to.zone); }, NameAllowed},
    OptionRow{"region", "REGION", "its region", DaemonRole::Unset, true,
              [](const std::string &text, Settings &to) { return readName(text, to.region); }, NameAllowed},
    OptionRow{"platform", "IP:PORT,..", "the platform's key-value service", DaemonRole::Entry, true,
              [](const std::string &text, Settings &to) { return readEndpoints(text, to.platform); }, EndpointsAllowed},
    OptionRow{"entries", "IP:PORT,..", "entries to ask first for the roster", DaemonRole::Unset, false,
              [](const std::string &text, Settings &to) { return readEndpoints(text, to.entries); }, EndpointsAllowed},
    OptionRow{"upstream", "IP:PORT", "the runner beside it", DaemonRole::Agent, true,
              [](const std::string &text, Settings &to) { return readEndpoint(text, to.agent.upstream); }, EndpointAllowed},
    OptionRow{"service", "SERVICE", "what its upstream runs", DaemonRole::Agent, true,
              [](const std::string &text, Settings &to) { return readStrongName(text, to.agent.service); }, NameAllowed},
    OptionRow{"slots", "COUNT", "tasks its upstream runs side by side", DaemonRole::Agent, false,
              [](const std::string &text, Settings &to) { return readAmount(text, 1, 100'000, to.agent.capacity.slots); }, "a whole number from 1 to 100000"},
    OptionRow{"connections", "COUNT", "connections its upstream accepts", DaemonRole::Agent, false,
              [](const std::string &text, Settings &to) { return readAmount(text, 1, 100'000, to.agent.capacity.connections); }, "a whole number from 1 to 100000"},
    OptionRow{"cores", "COUNT", "processor cores of the worker", DaemonRole::Agent, false,
              [](const std::string &text, Settings &to) { return readCores(text, to.agent.capacity.cores); }, "a whole number from 1 to 4096"},
    OptionRow{"memory-mb", "COUNT", "memory of the worker in megabytes", DaemonRole::Agent, false,
              [](const std::string &text, Settings &to) { return readAmount(text, 1, 1LL << 30U, to.agent.capacity.memory); }, "a whole number from 1 to 1073741824"},
    OptionRow{"accelerators", "COUNT", "accelerators of the worker", DaemonRole::Agent, false,
              [](const std::string &text, Settings &to) { return readAmount(text, 0, 1'024, to.agent.capacity.accelerators); }, "a whole number from 0 to 1024"},
    OptionRow{"heartbeat-ms", "MS", "between heartbeats, same everywhere", DaemonRole::Unset, false,
              [](const std::string &text, Settings &to) {
                  return readDuration(text, to.entry.peerHeartbeatInterval) && readDuration(text, to.entry.agentHeartbeatInterval)
                      && readDuration(text, to.agent.heartbeatInterval);
              }, DurationAllowed},
    OptionRow{"failure-timeout-ms", "MS", "silence after which a process counts as failed", DaemonRole::Unset, false,
              [](const std::string &text, Settings &to) {
                  return readDuration(text, to.entry.failureTimeout) && readDuration(text, to.agent.failureTimeout);
              }, DurationAllowed},
    OptionRow{"drain-timeout-ms", "MS", "a planned stop ends by then", DaemonRole::Unset, false,
              [](const std::string &text, Settings &to) {
                  return readDuration(text, to.entry.drainTimeout) && readDuration(text, to.agent.drainTimeout);
              }, DurationAllowed},
    OptionRow{"head-read-ms", "MS", "between reads of roster and configuration", DaemonRole::Entry, false,
              [](const std::string &text, Settings &to) { return readDuration(text, to.entry.headReadInterval); }, DurationAllowed},
    OptionRow{"serving-lease-ms", "MS", "how long a proof of membership holds, same at all entries", DaemonRole::Entry, false,
              [](const std::string &text, Settings &to) { return readDuration(text, to.entry.servingLease); }, DurationAllowed},
    OptionRow{"agent-lost-ms", "MS", "silence after which an agent's tasks are unknown", DaemonRole::Entry, false,
              [](const std::string &text, Settings &to) { return readDuration(text, to.entry.agentLostTimeout); }, DurationAllowed},
    OptionRow{"clock-skew-ms", "MS", "bound between any two clocks, same everywhere", DaemonRole::Entry, false,
              [](const std::string &text, Settings &to) { return readDuration(text, to.entry.clockSkew); }, DurationAllowed},
    OptionRow{"key-max-age-ms", "MS", "older keys are refused, same everywhere", DaemonRole::Entry, false,
              [](const std::string &text, Settings &to) { return readDuration(text, to.entry.keyMaxAge); }, DurationAllowed},
    OptionRow{"query-delay-ms", "MS", "how long a task may be missing at its agent before it is asked about", DaemonRole::Entry, false,
              [](const std::string &text, Settings &to) { return readDuration(text, to.entry.queryDelay); }, DurationAllowed},
    OptionRow{"start-max-age-ms", "MS", "a start that left its owner longer ago is refused", DaemonRole::Agent, false,
              [](const std::string &text, Settings &to) { return readDuration(text, to.agent.startMaxAge); }, DurationAllowed},
    OptionRow{"report-retry-ms", "MS", "a report not acknowledged by then is sent again", DaemonRole::Agent, false,
              [](const std::string &text, Settings &to) { return readDuration(text, to.agent.reportRetryDelay); }, DurationAllowed},
    OptionRow{"ledger-retention-ms", "MS", "how long ended tasks are remembered", DaemonRole::Agent, false,
              [](const std::string &text, Settings &to) { return readDuration(text, to.agent.ledgerRetention); }, DurationAllowed},
    OptionRow{"upstream-probe-ms", "MS", "between health checks of the upstream", DaemonRole::Agent, false,
              [](const std::string &text, Settings &to) { return readDuration(text, to.agent.upstreamProbeInterval); }, DurationAllowed},
    OptionRow{"log-level", "LEVEL", "least level that is logged", DaemonRole::Unset, false,
              [](const std::string &text, Settings &to) { return assignIf(severityFromName(text), to.logLevel); }, "debug, info, warning or error"},
    OptionRow{"log-format", "FORMAT", "form of log lines", DaemonRole::Unset, false,
              [](const std::string &text, Settings &to) { return assignIf(logFormatFromName(text), to.logFormat); }, "text or json"},
    // clang-format on
};

} // namespace Sycamoremoor
