// Everything that can happen to a guard.
#pragma once

#include <sycamoremoor/core/entry_input_type.h>
#include <sycamoremoor/core/guard_message_type.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Sycamoremoor
{

using UpstreamTime = StrongAmount<struct UpstreamTimeTag, std::int64_t>; ///< milliseconds by the upstream's own clock

/** One life of an upstream: a restart under the same name has another start time. */
struct UpstreamIncarnation {
    std::string name;
    std::int64_t startTimeMs = 0; ///< milliseconds since the Unix epoch by the upstream's wall clock, zero if it did not say

    friend bool operator==(const UpstreamIncarnation &, const UpstreamIncarnation &) = default;
};

/** The upstream's announcement of itself. */
struct UpstreamAnnounced {
    UpstreamIncarnation incarnation;
    ServiceName service;
    Endpoint endpoint;
    TaskSize capacity;
    std::vector<std::string> labels;
    bool leaving = false;
    UpstreamTime clock;
    std::uint64_t sequence = 0; ///< rises with each announcement of a life
};

/** The upstream ended as planned. */
struct UpstreamLeft {
    std::string name;
};

/** A scheduler's batch. Each run is answered once by ReportRun, then the batch by EndBatch. */
struct BatchReceived {
    ConnectionId connection;
    StartBatch batch;
};

/** The exchange of a batch ended before its answer: nobody waits for its runs. */
struct BatchAbandoned {
    ConnectionId connection;
};

/** How the upstream answered a start. */
enum class StartAnswer {
    Started,              ///< it runs, or already ran
    InsufficientCapacity, ///< refused for want of room
    Superseded,           ///< refused: this or a later run of the task was stopped or ended there
    TooLate,              ///< refused: its lease was over
    Fenced,               ///< refused: the upstream has seen a higher fencing token
    Unhealthy,            ///< refused: the upstream takes nothing now
    Invalid,              ///< refused: the order was not understood
    OtherIncarnation,     ///< refused: another life of the upstream answered
    NotSent,              ///< the order provably did not leave
    NoAnswer,             ///< it may have been carried out, or may be yet
    End,
};

/** The end of a StartRun. */
struct RunStartAnswered {
    RunId run;
    StartAnswer answer = StartAnswer::NoAnswer;
};

/** The end of a StopRun. */
struct RunStopAnswered {
    RunId run;
    bool confirmed = false; ///< the upstream answered: the run is ending, or can never begin
};

/** A run that ended at the upstream. */
struct EndedRun {
    std::uint64_t number = 0; ///< in the upstream's list of ends
    RunId run;
    RunOutcome outcome = RunOutcome::Failed;
};

using RenewalNumber = StrongType<struct RenewalNumberTag, std::uint64_t>; ///< numbers a guard's renewals from 1

/** What the upstream runs and what ended there. */
struct UpstreamListed {
    RenewalNumber renewal;
    UpstreamIncarnation incarnation;
    UpstreamTime clock;
    std::vector<RunId> running;
    std::vector<EndedRun> ended; ///< those not acknowledged yet, the first some hundreds
};

/** The upstream did not answer a RenewLease. */
struct RenewalUnanswered {
    RenewalNumber renewal;
};

using GuardInput = std::variant<Tick,
                                UpstreamAnnounced,
                                UpstreamLeft,
                                BatchReceived,
                                BatchAbandoned,
                                RunStartAnswered,
                                RunStopAnswered,
                                UpstreamListed,
                                RenewalUnanswered,
                                DrainRequested>;

} // namespace Sycamoremoor
