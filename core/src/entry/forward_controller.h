// Submissions that wait for an owner elsewhere, or for this entry's own right to act.
#pragma once

#include "entry_step.h"
#include "roster_controller.h"
#include "submission_type.h"

#include <sycamoremoor/core/entry_input_type.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace Sycamoremoor
{

/** Forwards submissions, keeps their bodies until they are answered, and forwards again when the owner changes. */
class ForwardController
{
public:
    /** Takes a submission back into this entry's own filters. */
    using ReturnHook = std::function<void(EntryStep &step, const Submission &submission)>;

    ForwardController(const EntrySettings &settings, RosterController &roster, ReturnHook takeBack);

    /** Forwards to the owner of the key, or waits until there is one that can act. */
    void hold(EntryStep &step, const Submission &submission);

    /** Keeps a submission for a moment, then takes it back or forwards it. */
    void park(EntryStep &step, const Submission &submission);

    /** Forwards to a former owner that still has the submission. */
    void holdForFormer(EntryStep &step, const Submission &submission, const FormerOwner &former);

    void onAnswered(EntryStep &step, const ForwardAnswered &answered);

    /**
     * The owner told how a submission stands that was asked about because its answer is long in coming.
     * @return false if no submission of that connection is held
     */
    bool onStatus(EntryStep &step, const ForwardStatusAnswered &answered);

    /** @return false if no submission of that connection is held */
    bool onSendFailed(EntryStep &step, ConnectionId connection, Delivery delivery);

    /** This entry refused a submission as not run: every other copy of it that waits here gets the same answer. */
    void answerCopies(EntryStep &step, const JobAnswerPointer &answer);

    void onCallerGone(ConnectionId connection);
    void onRosterChanged(EntryStep &step);
    void onTime(EntryStep &step);

    /** Answers everything that is held. @return how many */
    std::uint32_t cutOff(EntryStep &step);

    [[nodiscard]] std::uint32_t heldCount() const;
    [[nodiscard]] std::optional<MonotonicTime> nextWake() const;

private:
    struct Held {
        Submission submission;
        std::optional<FormerOwner> former; ///< forward here, not to the owner
        EntryName target;
        Incarnation targetIncarnation;
        bool inFlight = false;
        int copies = 0;       ///< sent, and not known to have been looked at or lost
        bool checked = false; ///< a check was sent, so that a failure may be of that
        int failures = 0;
        MonotonicTime retryAt; ///< of the forward, or of the next check on it while it is in flight
        Duration checkDelay{};
        MonotonicTime wake;
    };

    void advance(EntryStep &step, ConnectionId connection);
    void forward(EntryStep &step, Held &held);
    void send(EntryStep &step, Held &held, const RosterMember &target);
    void check(EntryStep &step, Held &held);
    void remove(ConnectionId connection);
    void reschedule(Held &held);
    void retryLater(EntryStep &step, Held &held);
    void answerUnavailable(EntryStep &step, ConnectionId connection, const std::string &detail);
    static MonotonicTime limitOf(const Held &held);

    const EntrySettings &m_settings;
    RosterController &m_roster;
    ReturnHook m_takeBack;
    std::map<ConnectionId, Held> m_held;
    std::set<std::pair<MonotonicTime, ConnectionId>> m_wakes;
};

} // namespace Sycamoremoor
