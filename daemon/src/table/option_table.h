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
    DaemonRoles roles;
    bool required; ///< for its roles
    bool (*read)(const std::string &text, DaemonSettings &settings);
    const char *allowed; ///< what a value must be
};

using Settings = DaemonSettings;

inline constexpr DaemonRoles EntryRole = rolesOf(DaemonRole::Entry);
inline constexpr DaemonRoles AgentRole = rolesOf(DaemonRole::Agent);
inline constexpr DaemonRoles SchedulerRole = rolesOf(DaemonRole::Scheduler);
inline constexpr DaemonRoles GuardRole = rolesOf(DaemonRole::Guard);

inline constexpr std::array OptionTable{
    // clang-format off
    OptionRow{"role", "ROLE", "what this process is", AllRoles, true,
              [](const std::string &text, Settings &to) { return readRole(text, to.role); }, "entry, agent, scheduler or guard"},
    OptionRow{"name", "NAME", "name of this process, stable across restarts", AllRoles, true,
              [](const std::string &text, Settings &to) { return readName(text, to.name); }, NameAllowed},
    OptionRow{"listen", "IP:PORT", "where it listens", AllRoles, true,
              [](const std::string &text, Settings &to) { return readEndpoint(text, to.listen); }, EndpointAllowed},
    OptionRow{"advertise", "IP:PORT", "where other processes reach it, if not where it listens", AllRoles, false,
              [](const std::string &text, Settings &to) { return readEndpoint(text, to.advertise); }, EndpointAllowed},
    OptionRow{"zone", "ZONE", "its availability zone", AllRoles, true,
              [](const std::string &text, Settings &to) { return readName(text, to.zone); }, NameAllowed},
    OptionRow{"region", "REGION", "its region", AllRoles, true,
              [](const std::string &text, Settings &to) { return readName(text, to.region); }, NameAllowed},
    OptionRow{"platform", "IP:PORT,..", "the platform's key-value service", EntryRole | SchedulerRole | GuardRole, true,
              [](const std::string &text, Settings &to) { return readEndpoints(text, to.platform); }, EndpointsAllowed},
    OptionRow{"callers", "IP:PORT", "where it takes jobs", SchedulerRole, true,
              [](const std::string &text, Settings &to) { return readEndpoint(text, to.callers); }, EndpointAllowed},
    OptionRow{"readiness", "IP:PORT", "where it tells the balancer whether it takes new callers", SchedulerRole, true,
              [](const std::string &text, Settings &to) { return readEndpoint(text, to.readiness); }, EndpointAllowed},
    OptionRow{"followed-workers", "COUNT", "workers whose capacity it follows, of more", SchedulerRole, false,
              [](const std::string &text, Settings &to) { return readCount(text, 1, 100'000, to.followedWorkers); }, "a whole number from 1 to 100000"},
    OptionRow{"resubmit-after-ms", "MS", "how long after its connection broke a caller submits its job again", SchedulerRole, false,
              [](const std::string &text, Settings &to) {
                  return text.empty() || readDurationFrom(SchedulerSettings::LeastResubmitAfter, text, to.scheduler.resubmitAfter);
              }, "a whole number of milliseconds from 550 to 86400000, as less leaves no time to renew the lease of runs, or empty for 1300"},
    OptionRow{"evacuate-within-ms", "MS", "time in which the evacuation of a zone takes effect", SchedulerRole | GuardRole, false,
              [](const std::string &text, Settings &to) { return text.empty() || readDuration(text, to.evacuateWithin); },
              "a whole number of milliseconds from 1 to 86400000, or empty if zones are not evacuated"},
    OptionRow{"drain-within-ms", "MS", "time in which work moves off an upstream that is leaving", GuardRole, false,
              [](const std::string &text, Settings &to) { return text.empty() || readDuration(text, to.guard.drainWithin); },
              "a whole number of milliseconds from 1 to 86400000, or empty to leave its runs there"},
    OptionRow{"shedding", "RULE", "which jobs are delayed or refused when capacity is short", SchedulerRole, false,
              [](const std::string &text, Settings &to) { return readShedding(text, to.scheduler.shedding); }, "latest-start or value"},
    OptionRow{"announcements", "IP:PORT", "where its upstream announces itself", GuardRole, true,
              [](const std::string &text, Settings &to) { return readEndpoint(text, to.announcements); }, EndpointAllowed},
    OptionRow{"entries", "IP:PORT,..", "entries to ask first for the roster", EntryRole | AgentRole, false,
              [](const std::string &text, Settings &to) { return readEndpoints(text, to.entries); }, EndpointsAllowed},
    OptionRow{"upstream", "IP:PORT", "the runner beside it", AgentRole, true,
              [](const std::string &text, Settings &to) { return readEndpoint(text, to.agent.upstream); }, EndpointAllowed},
    OptionRow{"service", "SERVICE", "what its upstream runs", AgentRole, true,
              [](const std::string &text, Settings &to) { return readStrongName(text, to.agent.service); }, NameAllowed},
    OptionRow{"slots", "COUNT", "tasks its upstream runs side by side", AgentRole, false,
              [](const std::string &text, Settings &to) { return readAmount(text, 1, 100'000, to.agent.capacity.slots); }, "a whole number from 1 to 100000"},
    OptionRow{"connections", "COUNT", "connections its upstream accepts", AgentRole, false,
              [](const std::string &text, Settings &to) { return readAmount(text, 1, 100'000, to.agent.capacity.connections); }, "a whole number from 1 to 100000"},
    OptionRow{"cores", "COUNT", "processor cores of the worker", AgentRole, false,
              [](const std::string &text, Settings &to) { return readCores(text, to.agent.capacity.cores); }, "a whole number from 1 to 4096"},
    OptionRow{"memory-mb", "COUNT", "memory of the worker in megabytes", AgentRole, false,
              [](const std::string &text, Settings &to) { return readAmount(text, 1, 1LL << 30U, to.agent.capacity.memory); }, "a whole number from 1 to 1073741824"},
    OptionRow{"accelerators", "COUNT", "accelerators of the worker", AgentRole, false,
              [](const std::string &text, Settings &to) { return readAmount(text, 0, 1'024, to.agent.capacity.accelerators); }, "a whole number from 0 to 1024"},
    OptionRow{"heartbeat-ms", "MS", "between heartbeats, same everywhere", EntryRole | AgentRole, false,
              [](const std::string &text, Settings &to) {
                  return readDuration(text, to.entry.peerHeartbeatInterval) && readDuration(text, to.entry.agentHeartbeatInterval)
                      && readDuration(text, to.agent.heartbeatInterval);
              }, DurationAllowed},
    OptionRow{"failure-timeout-ms", "MS", "silence after which a process counts as failed", EntryRole | AgentRole, false,
              [](const std::string &text, Settings &to) {
                  return readDuration(text, to.entry.failureTimeout) && readDuration(text, to.agent.failureTimeout);
              }, DurationAllowed},
    OptionRow{"drain-timeout-ms", "MS", "a planned stop ends by then", AllRoles, false,
              [](const std::string &text, Settings &to) {
                  return readDuration(text, to.entry.drainTimeout) && readDuration(text, to.agent.drainTimeout)
                      && readDuration(text, to.guard.drainTimeout) && readDuration(text, to.scheduler.drainTimeout);
              }, DurationAllowed},
    OptionRow{"head-read-ms", "MS", "between reads of roster and configuration", EntryRole, false,
              [](const std::string &text, Settings &to) { return readDuration(text, to.entry.headReadInterval); }, DurationAllowed},
    OptionRow{"serving-lease-ms", "MS", "how long a proof of membership holds, same at all entries", EntryRole, false,
              [](const std::string &text, Settings &to) { return readDuration(text, to.entry.servingLease); }, DurationAllowed},
    OptionRow{"agent-lost-ms", "MS", "silence after which an agent's tasks are unknown", EntryRole, false,
              [](const std::string &text, Settings &to) { return readDuration(text, to.entry.agentLostTimeout); }, DurationAllowed},
    OptionRow{"clock-skew-ms", "MS", "bound between any two clocks, same everywhere", EntryRole, false,
              [](const std::string &text, Settings &to) { return readDuration(text, to.entry.clockSkew); }, DurationAllowed},
    OptionRow{"key-max-age-ms", "MS", "older keys are refused, same everywhere", EntryRole, false,
              [](const std::string &text, Settings &to) { return readDuration(text, to.entry.keyMaxAge); }, DurationAllowed},
    OptionRow{"query-delay-ms", "MS", "how long a task may be missing at its agent before it is asked about", EntryRole, false,
              [](const std::string &text, Settings &to) { return readDuration(text, to.entry.queryDelay); }, DurationAllowed},
    OptionRow{"start-max-age-ms", "MS", "a start that left its owner longer ago is refused", AgentRole, false,
              [](const std::string &text, Settings &to) { return readDuration(text, to.agent.startMaxAge); }, DurationAllowed},
    OptionRow{"report-retry-ms", "MS", "a report not acknowledged by then is sent again", AgentRole, false,
              [](const std::string &text, Settings &to) { return readDuration(text, to.agent.reportRetryDelay); }, DurationAllowed},
    OptionRow{"ledger-retention-ms", "MS", "how long ended tasks are remembered", AgentRole, false,
              [](const std::string &text, Settings &to) { return readDuration(text, to.agent.ledgerRetention); }, DurationAllowed},
    OptionRow{"upstream-probe-ms", "MS", "between health checks of the upstream", AgentRole, false,
              [](const std::string &text, Settings &to) { return readDuration(text, to.agent.upstreamProbeInterval); }, DurationAllowed},
    OptionRow{"memory-limit-mb", "COUNT", "memory of the machine in megabytes, of which what clients send has its share", AllRoles, false,
              [](const std::string &text, Settings &to) { return text.empty() || readCount(text, 48, 1 << 30, to.limits.memoryMegabytes); },
              "a whole number from 48 to 1073741824, or empty for 120"},
    OptionRow{"descriptor-limit", "COUNT", "descriptors of the process, of which each listener has its share", AllRoles, false,
              [](const std::string &text, Settings &to) { return text.empty() || readCount(text, 256, 1 << 30, to.limits.descriptors); },
              "a whole number from 256 to 1073741824, or empty for 3075"},
    OptionRow{"max-head-bytes", "BYTES", "longest head of a request", AllRoles, false,
              [](const std::string &text, Settings &to) { return readCount(text, 1'024, 16 << 20, to.limits.headBytes); }, "a whole number from 1024 to 16777216"},
    OptionRow{"max-head-fields", "COUNT", "most fields of the head of a request", AllRoles, false,
              [](const std::string &text, Settings &to) { return readCount(text, 16, 100'000, to.limits.headFields); }, "a whole number from 16 to 100000"},
    OptionRow{"max-body-bytes", "BYTES", "largest body of a caller's request", SchedulerRole, false,
              [](const std::string &text, Settings &to) { return readCount(text, 1'024, 64 << 20, to.limits.bodyBytes); }, "a whole number from 1024 to 67108864"},
    OptionRow{"max-announcement-bytes", "BYTES", "largest announcement of the upstream", GuardRole, false,
              [](const std::string &text, Settings &to) { return readCount(text, 1'024, 64 << 20, to.limits.announcementBytes); }, "a whole number from 1024 to 67108864"},
    OptionRow{"log-level", "LEVEL", "least level that is logged", AllRoles, false,
              [](const std::string &text, Settings &to) { return assignIf(severityFromName(text), to.logLevel); }, "debug, info, warning or error"},
    OptionRow{"log-format", "FORMAT", "form of log lines", AllRoles, false,
              [](const std::string &text, Settings &to) { return assignIf(logFormatFromName(text), to.logFormat); }, "text or json"},
    // clang-format on
};

} // namespace Sycamoremoor
