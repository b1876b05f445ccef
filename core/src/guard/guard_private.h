// State and private functions of a guard.
#pragma once

#include "../cancelled_jobs.h"
#include "../machine_step.h"
#include "batch_table.h"
#include "crash_log.h"
#include "departure.h"
#include "evacuation_gate.h"
#include "recent_runs.h"
#include "run_table.h"
#include "stall_detector.h"
#include "upstream_speed.h"

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
    void handle(GuardStep &step, const BatchesRenewed &input);
    void handle(GuardStep &step, const RecallReceived &input);
    void handle(GuardStep &step, const JobsCancelled &input);
    void handle(GuardStep &step, const RunStartAnswered &input);
    void handle(GuardStep &step, const RunStopAnswered &input);
    void handle(GuardStep &step, const UpstreamListed &input);
    void handle(GuardStep &step, const RenewalUnanswered &input);
    void handle(GuardStep &step, const ListenerProbed &input);
    void handle(GuardStep &step, const EvacuationsRead &input);
    void handle(GuardStep &step, const DrainRequested &input);

    /** Does what is due: starts, stops and drops runs, renews the lease, reports a changed capacity. Sets the timer. */
    void processDue(GuardStep &step);

    [[nodiscard]] bool isAccepting() const;

private:
    /** Exceeds the time in which the answer to a renewal may arrive: its wait plus the time limit of an order. */
    static constexpr Duration ListRetention = std::chrono::seconds(1);
    static constexpr Duration StopRepeat
        = std::chrono::milliseconds(150); ///< from an unanswered stop to the next: three times the upstream's limit
    static constexpr Duration RenewalPause
        = std::chrono::milliseconds(50);                  ///< per unanswered renewal; also its wait while unknown runs are stopped
    static constexpr FencingToken TokenIncrement{60'000}; ///< in milliseconds: the first step by which a token that is too low is raised
    static constexpr FencingToken MaxTokenStep{1'000'000'000'000}; ///< in milliseconds, thirty years: far beyond any step of a clock
    static constexpr std::uint32_t UnansweredRenewalLimit = 3;     ///< bad networks lose one answer in twenty; three lost in a row are rare

    /** State of the current incarnation of the upstream. */
    struct Upstream {
        UpstreamAnnounced announced;
        std::optional<UpstreamAnnounced> replacement;  ///< another boot that claims to have replaced it
        RenewalNumber replacementAfter;                ///< last renewal sent before that claim
        RenewalNumber renewalsBefore;                  ///< last renewal sent to the boot before
        Duration clockOffset{};                        ///< its clock minus the clock of this guard, from the last message
        MonotonicTime leaseUntil;                      ///< latest end of any lease sent to it, by the clock of this guard
        bool hasAnswered = false;                      ///< it has answered a renewal
        MonotonicTime lastReceivedAt;                  ///< when the last answer to a renewal, or the first announcement, was received
        std::uint64_t acknowledged = 0;                ///< ends up to this number were received
        std::set<RenewalNumber> longPolls;             ///< renewals in flight that wait for ended runs
        std::optional<RenewalNumber> immediateRenewal; ///< renewal in flight that the upstream answers without waiting
        bool immediateRenewalWanted = false;           ///< a list made after this is needed soon
        bool reconciled = false;                       ///< no run of an earlier incarnation of this guard runs there
        std::uint32_t unansweredRenewals = 0;          ///< consecutive renewals without an answer
        MonotonicTime silentSince;                     ///< when the first of these was found to have no answer
        std::uint32_t refusedProbes = 0;               ///< consecutive probes that found that nothing listens
        bool wasDisconnected = false;                  ///< it closed or reset a connection since it answered last
        bool isProbing = false;                        ///< a probe is in flight
        std::optional<MonotonicTime> probeDue;         ///< when to probe again
        bool isSuspectedCrashed = false;               ///< its connections have ended and nothing listens; its runs may go on all the same
        std::optional<CrashNotice> crash;              ///< what was told of its crash, if runs were open
        bool hasEnded = false;                         ///< another boot has answered in its place
        std::vector<OpenRun> lapsedRuns;               ///< runs that were taken for ended while it did not answer
        std::map<RunId, MonotonicTime> unknownRuns;    ///< runs of an earlier incarnation of this guard, and when to repeat their stop
        Departure departure;
        StallDetector stall;
        UpstreamSpeed speed;
        RecentRuns endedRuns{ListRetention}; ///< runs that it listed as ended recently
    };

    /** Returns whether an announcement was delayed since before the known boot: it says nothing about the runs there. */
    [[nodiscard]] bool isOfEarlierBoot(const UpstreamIncarnation &incarnation) const;
    /** Returns whether an announcement is not of the upstream beside this guard: the known one answers, or its start is in the future. */
    [[nodiscard]] bool isOfAnotherWriter(const GuardStep &step, const UpstreamIncarnation &incarnation) const;
    void beginIncarnation(GuardStep &step, const UpstreamAnnounced &announced);
    /** Sets what the upstream last announced of itself. */
    void setAnnounced(GuardStep &step, const UpstreamAnnounced &announced);
    /** Another boot claims to have replaced the known one, which has runs: finds out whether it has. */
    void expectReplacement(GuardStep &step, const UpstreamAnnounced &announced);
    /** Asks the upstream for its lists, and whether anything listens there. */
    void checkLife(const GuardStep &step);
    /** Begins the incarnation that claims to have replaced the known one. */
    void followReplacement(GuardStep &step);
    /** Like followReplacement(), as the replacement has answered with its lists. Runs that it lists are its own: their orders were on their way. */
    void followReplacement(GuardStep &step, const UpstreamListed &listed);
    /** Follows the boot that has replaced the known one once no runs are left there. */
    void replaceUpstream(GuardStep &step);
    /** Reports all runs but @p kept: waiting ones as not started, the others as lapsed. @param crash the crash that ended them, or null */
    void reportAllLost(GuardStep &step, const CrashNotice *crash = nullptr, const std::set<RunId> &kept = {});
    /** Records that the upstream crashed under @p runs, when it fell silent. */
    CrashNotice recordCrash(GuardStep &step, const std::vector<OpenRun> &runs);
    /**
     * The upstream has probably crashed: it gets no new work, its leases are not renewed, and its open runs except @p except become
     * suspects of having caused that. They count as ended only when another boot answers or their leases have ended.
     */
    void suspectCrash(GuardStep &step, const std::set<RunId> &except = {});
    /** The upstream answers: if it was suspected to have crashed, it has not. */
    void refuteCrash(GuardStep &step);
    /** Another boot has answered in place of the upstream: its runs have ended, except @p kept. */
    void upstreamEnded(GuardStep &step, const std::set<RunId> &kept = {});
    /** Has a probe sent, unless the upstream is suspected to have crashed. */
    void scheduleProbe(const GuardStep &step);
    void probe(GuardStep &step);
    /** Returns the runs that the upstream was told to start and that have not ended. */
    [[nodiscard]] std::vector<OpenRun> openRuns(const std::set<RunId> &except = {}) const;
    void report(GuardStep &step, const RunId &run, RunOutcome outcome, ErrorKind error, const CrashNotice *crash = nullptr);
    /** Records the run time of a run that ended as done, for the speed of the upstream. */
    void measure(const GuardStep &step, const GuardedRun &record);
    void refuse(GuardStep &step, ConnectionId connection, std::uint32_t order, ErrorKind error);
    void sendReport(GuardStep &step, ConnectionId connection, const RunReport &report);
    /** Ends the runs of a batch. */
    void abandon(GuardStep &step, ConnectionId batch);
    /** Reports that each of the runs of a recalled batch has ended or will never start. */
    void answerRecall(GuardStep &step, ConnectionId connection, const BatchRecall &recall, RunOutcome outcome, ErrorKind error);
    void answerEarlierRecalls(GuardStep &step);
    [[nodiscard]] ErrorKind refusalOf(MonotonicTime now, const StartBatch &batch) const;
    [[nodiscard]] ErrorKind refusalOf(const RunOrder &order) const;
    void startWaiting(GuardStep &step);
    void dropExpired(GuardStep &step);
    void start(GuardStep &step, const RunId &run);
    void stop(GuardStep &step, const RunId &run, GuardedRun &record);
    void sendStop(GuardStep &step, const RunId &run);
    void stopDueRuns(GuardStep &step);
    /** Stops the runs that would be lost at the end of an upstream that is leaving. */
    void stopCutOffRuns(GuardStep &step);
    /** Stops all runs if they stand still. */
    void detectStall(GuardStep &step);
    /** Returns the capacity that runs may use: less than that of the upstream while it may still stall or is cold. */
    [[nodiscard]] TaskSize usableCapacity() const;
    void renew(GuardStep &step);
    RenewalNumber sendRenewal(GuardStep &step, Duration wait);
    void renewalEnded(RenewalNumber number);
    void handleEndedRuns(GuardStep &step, const UpstreamListed &listed);
    /** The upstream has refused an order for its token. */
    void raiseToken(GuardStep &step);
    void confirmStart(GuardStep &step, GuardedRun &record);
    /** Lets runs that make progress go on, though they take longer than expected, and tells their schedulers. */
    void handleProgress(GuardStep &step, const UpstreamListed &listed);
    void handleStartedRuns(GuardStep &step, const UpstreamListed &listed);
    void handleMissingRuns(GuardStep &step, const UpstreamListed &listed);
    void stopUnknownRuns(GuardStep &step, const UpstreamListed &listed);
    [[nodiscard]] CapacityReport capacityReport() const;
    void reportCapacity(GuardStep &step);
    void setTimer(GuardStep &step);
    [[nodiscard]] TaskSize freeCapacity() const;
    /** Returns until when a lease that is sent now may last: as long as every run there may use it, and one term at most. */
    [[nodiscard]] MonotonicTime leaseEnd(MonotonicTime now) const;
    [[nodiscard]] UpstreamTime toUpstreamTime(MonotonicTime time) const;

    GuardSettings m_settings;
    FencingToken m_token;
    FencingToken m_tokenStep = TokenIncrement; ///< by which the token is raised the next time; doubles until a list arrives
    RenewalNumber m_renewalsBeforeRaise;       ///< last renewal sent before the token was raised
    std::optional<Upstream> m_upstream;
    std::uint64_t m_lastRenewal = 0;
    RunTable m_runTable;
    BatchTable m_batches;
    CancelledJobs m_cancelled;
    CrashLog m_crashes;
    EvacuationGate m_evacuation;
    std::map<ConnectionId, BatchRecall> m_earlierRecalls; ///< recalls of batches of earlier incarnations of this guard
    CapacityReport m_lastReported;                        ///< capacity as last reported
    std::optional<MonotonicTime> m_drainUntil;
    bool m_stopped = false;
};

} // namespace Sycamoremoor
