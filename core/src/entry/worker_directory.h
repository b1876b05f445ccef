// Agents that this entry hears: their lives, their silence, their reports.
#pragma once

#include "entry_step.h"

#include <sycamoremoor/core/entry_settings_type.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Sycamoremoor
{

/** An agent as its heartbeats describe it. */
struct KnownWorker {
    AgentHeartbeat heartbeat;                  ///< the newest, without its reports
    MonotonicTime heardAt;                     ///< newest heartbeat
    MonotonicTime aliveAt;                     ///< newest sign of life of any kind
    bool silent = false;                       ///< for longer than the failure timeout
    std::optional<MonotonicTime> missingSince; ///< since when it holds fewer tasks than were sent to it
};

/** What a heartbeat changed. */
struct HeartbeatChange {
    bool accepted = false;               ///< false for a late heartbeat of an earlier life, or a brief one of an unknown life
    bool unknown = false;                ///< it was brief, and the agent must describe itself
    std::optional<Incarnation> replaced; ///< the life that ended, if another began
};

/** Agents whose silence passed a bound. */
struct WorkerSilence {
    std::vector<AgentName> silent;                       ///< get no new work
    std::vector<std::pair<AgentName, Incarnation>> lost; ///< forgotten; their tasks are unknown
};

/** Keeps agents by name. */
class WorkerDirectory
{
public:
    explicit WorkerDirectory(const EntrySettings &settings);

    HeartbeatChange onHeartbeat(MonotonicTime now, const AgentHeartbeat &heartbeat);

    /** Returns the interval between heartbeats that the number of agents allows; zero for the agents' setting. */
    [[nodiscard]] Duration heartbeatInterval() const;

    /** Notes a sign of life that is not a heartbeat. */
    void alive(MonotonicTime now, const AgentName &agent, Incarnation incarnation);

    /**
     * Notes a report.
     * @return false if it arrived before
     */
    bool noteReport(const AgentName &agent, Incarnation incarnation, ReportSequence sequence);

    /** Returns up to which report none is missing. */
    [[nodiscard]] ReportSequence acknowledged(const AgentName &agent, Incarnation incarnation) const;

    /** Finds agents that fell silent, and forgets those that were for too long. */
    WorkerSilence onTime(MonotonicTime now);

    void forgiveSilence(MonotonicTime now);
    void clear();

    [[nodiscard]] KnownWorker *find(const AgentName &agent);
    [[nodiscard]] const std::map<AgentName, KnownWorker> &workers() const;
    [[nodiscard]] std::optional<MonotonicTime> nextWake() const;

private:
    /** Which reports of one life of an agent arrived. */
    struct Arrivals {
        Incarnation incarnation;
        ReportSequence upTo;
        std::set<ReportSequence> ahead;
        std::set<Incarnation> past;
    };

    Arrivals *arrivals(const AgentName &agent, Incarnation incarnation);
    static void advance(Arrivals &arrivals);
    [[nodiscard]] std::uint32_t heartbeatStretch() const;

    const EntrySettings &m_settings;
    std::map<AgentName, KnownWorker> m_workers;
    std::map<AgentName, Arrivals> m_arrivals;
    std::optional<MonotonicTime> m_nextCheck;
};

} // namespace Sycamoremoor
