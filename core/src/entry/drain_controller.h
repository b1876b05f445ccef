// A planned stop: hands the owner slots over, finishes what is open, leaves the roster, then ends.
#pragma once

#include "answer_store.h"
#include "entry_step.h"
#include "forward_controller.h"
#include "job_controller.h"
#include "roster_controller.h"
#include "takeover_controller.h"

#include <sycamoremoor/core/dispatcher.h>
#include <sycamoremoor/core/entry_input_type.h>

#include <optional>
#include <set>
#include <vector>

namespace Sycamoremoor
{

/** How far a planned stop is. */
enum class DrainPhase {
    None,
    Emptying,    ///< still owner, until no task waits to be sent
    Moving,      ///< the roster is to name other owners
    Finishing,   ///< open submissions end
    HandingOver, ///< new owners take what is remembered
    Removing,    ///< the roster is to forget this entry
    Stopped,
    End,
};

/** Carries a planned stop through its phases. */
class DrainController
{
public:
    struct Parts {
        const EntrySettings &settings;
        RosterController &roster;
        ForwardController &forwards;
        TakeoverController &takeover;
        JobController &jobs;
        AnswerStore &answers;
        const Dispatcher &dispatcher;
    };

    explicit DrainController(Parts parts);

    /** Begins a planned stop; a second request changes nothing. */
    void begin(EntryStep &step);

    void onHandoverReply(const HandoverReply &reply);

    /** A message to a peer failed: what it has not acknowledged is sent again. */
    void onSendFailed(EntryStep &step, const EntryName &peer);

    void onTime(EntryStep &step);

    [[nodiscard]] bool isDraining() const;
    /** Tells whether callers must go to another entry: the balancer has had time to see that this one is stopping. */
    [[nodiscard]] bool isClosed(MonotonicTime now) const;

    [[nodiscard]] bool isStopped() const;

    /** Tells whether the owner slots are on their way to others, so that new submissions wait for the new owner. */
    [[nodiscard]] bool isMoving() const;

    /** Tells whether this entry finishes as the last one, with nobody to hand over to. */
    [[nodiscard]] bool isFinishingAlone() const;

    [[nodiscard]] std::optional<MonotonicTime> nextWake() const;

private:
    /** A part of what is remembered, on its way to a new owner. */
    struct Part {
        EntryName target;
        Handover message;
        bool acknowledged = false;
        MonotonicTime sentAt;
    };

    void enter(DrainPhase phase, MonotonicTime now);
    void advance(EntryStep &step);
    [[nodiscard]] bool isMoved() const;
    [[nodiscard]] bool hasPatience() const;
    void prepareHandover(EntryStep &step);
    void sendParts(EntryStep &step);
    void stop(EntryStep &step);
    void audit(EntryStep &step, const std::string &reason);

    Parts m_parts;
    DrainPhase m_phase = DrainPhase::None;
    MonotonicTime m_beganAt;
    MonotonicTime m_checkedAt;
    MonotonicTime m_nextCheck;
    Epoch m_partsEpoch;
    std::vector<Part> m_handover;
};

} // namespace Sycamoremoor
