// State of a guard.
#pragma once

#include "../machine_step.h"
#include "recent_runs.h"
#include "run_book.h"

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

    void take(GuardStep &step, const Tick &input);
    void take(GuardStep &step, const UpstreamAnnounced &input);
    void take(GuardStep &step, const UpstreamLeft &input);
    void take(GuardStep &step, const BatchReceived &input);
    void take(GuardStep &step, const BatchGone &input);
    void take(GuardStep &step, const RunStartAnswered &input);
    void take(GuardStep &step, const RunStopAnswered &input);
    void take(GuardStep &step, const UpstreamListed &input);
    void take(GuardStep &step, const UpstreamSilent &input);
    void take(GuardStep &step, const DrainRequested &input);

    /** Does what has become due or possible, tells changes of room, and sets the timer. */
    void settle(GuardStep &step);

    [[nodiscard]] bool isAccepting() const;

private:
    /** Beyond the time in which an answer to a renewal may arrive: a late one is given up after its wait and some. */
    static constexpr Duration ListRetention = std::chrono::seconds(1);

    /** What is known of the upstream. */
    struct Upstream {
        UpstreamAnnounced announced;
        Duration clockLead{};                     ///< its clock less ours, as last heard
        MonotonicTime leaseUntil;                 ///< by our clock, the latest end of a lease that it may have taken
        MonotonicTime heardAt;                    ///< of the last answer to a renewal or announcement
        std::uint64_t acknowledged = 0;           ///< ends up to this number are settled
        std::set<RenewalNumber> listening;        ///< renewals under way that wait for ends
        std::optional<RenewalNumber> looking;     ///< a renewal under way that is answered at once
        bool lookWanted = false;                  ///< a list from now on is needed soon
        bool settled = false;                     ///< nothing of an earlier life of this guard runs there
        std::uint32_t silences = 0;               ///< renewals in a row without an answer
        std::map<RunId, MonotonicTime> strangers; ///< runs of an earlier life of this guard, and when their stop is due again
        RecentRuns over{ListRetention};           ///< runs that it listed as ended
    };

    void beginLife(GuardStep &step, const UpstreamAnnounced &announced);
    void loseAll(GuardStep &step);
    void report(GuardStep &step, const RunId &run, RunOutcome outcome, ErrorKind why);
    void refuse(GuardStep &step, ConnectionId connection, std::uint32_t order, ErrorKind why);
    void sendReport(GuardStep &step, ConnectionId connection, const RunReport &report);
    [[nodiscard]] ErrorKind refusalOf(const RunOrder &order) const;
    void startWaiting(GuardStep &step);
    void dropLate(GuardStep &step);
    void start(GuardStep &step, const RunId &run);
    void stop(GuardStep &step, const RunId &run, GuardedRun &record);
    void sendStop(GuardStep &step, const RunId &run);
    void stopDue(GuardStep &step);
    void renew(GuardStep &step);
    RenewalNumber sendRenewal(GuardStep &step, Duration wait);
    void renewalEnded(RenewalNumber number);
    void takeEnds(GuardStep &step, const UpstreamListed &listed);
    void confirmStart(GuardStep &step, GuardedRun &record);
    void takeStarted(GuardStep &step, const UpstreamListed &listed);
    void takeMissing(GuardStep &step, const UpstreamListed &listed);
    void takeStrangers(GuardStep &step, const UpstreamListed &listed);
    [[nodiscard]] RoomReport room() const;
    void tellRoom(GuardStep &step);
    void setTimer(GuardStep &step);
    [[nodiscard]] TaskSize freeRoom() const;
    [[nodiscard]] UpstreamTime leaseEnd(MonotonicTime now) const;

    GuardSettings m_settings;
    FencingToken m_token;
    std::optional<Upstream> m_upstream;
    std::uint64_t m_lastRenewal = 0;
    RunBook m_book;
    std::map<ConnectionId, std::string> m_payloads;     ///< of open batches
    std::map<ConnectionId, std::uint32_t> m_unreported; ///< runs of open batches that were not reported
    RoomReport m_told;                                  ///< room as last told
    std::optional<MonotonicTime> m_drainUntil;
    bool m_stopped = false;
};

} // namespace Sycamoremoor
