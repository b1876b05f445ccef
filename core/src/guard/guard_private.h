// State of a guard.
#pragma once

#include "../machine_step.h"
#include "recent_runs.h"
#include "run_table.h"

#include <sycamoremoor/core/guard_machine.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace Sycamoremoor
{

using GuardStep = MachineStep<GuardOutputs>;

class GuardMachine::Private
{
public:
    explicit Private(const GuardSettings &settings);

    void handle(GuardStep &step, const Tick &input);
    void handle(GuardStep &step, const UpstreamAnnounced &input);
    void handle(GuardStep &step, const UpstreamLeft &input);
    void handle(GuardStep &step, const BatchReceived &input);
    void handle(GuardStep &step, const BatchAbandoned &input);
    void handle(GuardStep &step, const RunStartAnswered &input);
    void handle(GuardStep &step, const RunStopAnswered &input);
    void handle(GuardStep &step, const UpstreamListed &input);
    void handle(GuardStep &step, const RenewalUnanswered &input);
    void handle(GuardStep &step, const DrainRequested &input);

    /** Does what has become due or possible, tells changes of room, and sets the timer. */
    void processDue(GuardStep &step);

    [[nodiscard]] bool isAccepting() const;

private:
    /** Beyond the time in which an answer to a renewal may arrive: a late one is given up after its wait and some. */
    static constexpr Duration ListRetention = std::chrono::seconds(1);

    /** What is known of the upstream. */
    struct Upstream {
        UpstreamAnnounced announced;
        Duration clockOffset{};                        ///< its clock less ours, as last heard
        MonotonicTime leaseUntil;                      ///< by our clock, the latest end of a lease that it may have taken
        MonotonicTime lastReceivedAt;                  ///< of the last answer to a renewal or announcement
        std::uint64_t acknowledged = 0;                ///< ends up to this number are settled
        std::set<RenewalNumber> longPolls;             ///< renewals under way that wait for ends
        std::optional<RenewalNumber> immediateRenewal; ///< a renewal under way that is answered at once
        bool immediateRenewalWanted = false;           ///< a list from now on is needed soon
        bool reconciled = false;                       ///< nothing of an earlier life of this guard runs there
        std::uint32_t unansweredRenewals = 0;          ///< renewals in a row without an answer
        std::map<RunId, MonotonicTime> unknownRuns;    ///< runs of an earlier life of this guard, and when their stop is due again
        RecentRuns endedRuns{ListRetention};           ///< runs that it listed as ended
    };

    void beginIncarnation(GuardStep &step, const UpstreamAnnounced &announced);
    void reportAllLost(GuardStep &step);
    void report(GuardStep &step, const RunId &run, RunOutcome outcome, ErrorKind error);
    void refuse(GuardStep &step, ConnectionId connection, std::uint32_t order, ErrorKind error);
    void sendReport(GuardStep &step, ConnectionId connection, const RunReport &report);
    [[nodiscard]] ErrorKind refusalOf(const RunOrder &order) const;
    void startWaiting(GuardStep &step);
    void dropExpired(GuardStep &step);
    void start(GuardStep &step, const RunId &run);
    void stop(GuardStep &step, const RunId &run, GuardedRun &record);
    void sendStop(GuardStep &step, const RunId &run);
    void stopDueRuns(GuardStep &step);
    void renew(GuardStep &step);
    RenewalNumber sendRenewal(GuardStep &step, Duration wait);
    void renewalEnded(RenewalNumber number);
    void handleEndedRuns(GuardStep &step, const UpstreamListed &listed);
    void confirmStart(GuardStep &step, GuardedRun &record);
    void handleStartedRuns(GuardStep &step, const UpstreamListed &listed);
    void handleMissingRuns(GuardStep &step, const UpstreamListed &listed);
    void stopUnknownRuns(GuardStep &step, const UpstreamListed &listed);
    [[nodiscard]] CapacityReport capacityReport() const;
    void reportCapacity(GuardStep &step);
    void setTimer(GuardStep &step);
    [[nodiscard]] TaskSize freeCapacity() const;
    [[nodiscard]] UpstreamTime leaseEnd(MonotonicTime now) const;

    GuardSettings m_settings;
    FencingToken m_token;
    std::optional<Upstream> m_upstream;
    std::uint64_t m_lastRenewal = 0;
    RunTable m_runTable;
    std::map<ConnectionId, std::string> m_payloads;     ///< of open batches
    std::map<ConnectionId, std::uint32_t> m_unreported; ///< runs of open batches that were not reported
    CapacityReport m_lastReported;                      ///< room as last told
    std::optional<MonotonicTime> m_drainUntil;
    bool m_stopped = false;
};

} // namespace Sycamoremoor
