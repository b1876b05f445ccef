// Inputs of a guard.
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

/** Identifies one incarnation of an upstream: a restart under the same name has another start time. */
struct UpstreamIncarnation {
    std::string name;
    std::int64_t startTimeMs = 0; ///< milliseconds since the Unix epoch by the upstream's wall clock, zero if not stated

    friend bool operator==(const UpstreamIncarnation &, const UpstreamIncarnation &) = default;
};

/** The upstream announced itself, or a change of its state. */
struct UpstreamAnnounced {
    UpstreamIncarnation incarnation;
    ServiceName service;
    Endpoint endpoint;
    TaskSize capacity;
    std::vector<std::string> labels;
    bool leaving = false; ///< it is shutting down and accepts no new runs
    UpstreamTime clock;
    std::uint64_t sequence = 0; ///< increases with each announcement of an incarnation
};

/** The upstream shut down as planned. */
struct UpstreamLeft {
    std::string name;
};

/** A scheduler sent a batch. Each run is answered once by ReportRun, then the batch by EndBatch. */
struct BatchReceived {
    ConnectionId connection;
    StartBatch batch;
};

/** The scheduler closed or lost the connection of a batch or of a recall before its end; the runs of the batch are to be stopped. */
struct BatchAbandoned {
    ConnectionId connection;
};

/** A scheduler extends the lease of batches. Batches that are not known are passed over. */
struct BatchesRenewed {
    BatchRenewal renewal;
};

/** A scheduler recalls a batch. All of its runs are answered by ReportRun, then the recall by EndBatch. */
struct RecallReceived {
    ConnectionId connection;
    BatchRecall recall;
};

/** A scheduler tells that jobs were cancelled: their runs are stopped, and none is started any more. Answered once by CancellationTaken. */
struct JobsCancelled {
    ConnectionId connection;
    std::vector<QueueJobId> jobs;
};

/** The upstream's answer to a StartRun. */
enum class StartAnswer {
    Started,              ///< the run is running, or has already run
    InsufficientCapacity, ///< refused: too little capacity is free
    Superseded,           ///< refused: this or a later run of the task was stopped or ended there
    TooLate,              ///< refused: its lease had ended
    Fenced,               ///< refused: the upstream has received a higher fencing token
    Unhealthy,            ///< refused: the upstream accepts no runs now
    Invalid,              ///< refused: the upstream could not parse the order
    OtherIncarnation,     ///< refused: another incarnation of the upstream answered
    NotSent,              ///< the order was certainly not sent
    NoAnswer,             ///< unknown: the upstream may have started the run, or may still start it
    End,
};

/** Result of a StartRun. */
struct RunStartAnswered {
    RunId run;
    StartAnswer answer = StartAnswer::NoAnswer;
};

/** Result of a StopRun. */
struct RunStopAnswered {
    RunId run;
    bool confirmed = false; ///< the upstream answered: the run is ending, or will never start
};

/** A run that ended at the upstream. */
struct EndedRun {
    std::uint64_t number = 0; ///< position in the upstream's list of ended runs
    RunId run;
    RunOutcome outcome = RunOutcome::Failed;
};

using RenewalNumber = StrongType<struct RenewalNumberTag, std::uint64_t>; ///< numbers a guard's renewals from 1

/** The upstream answered a RenewLease with its running and its ended runs. */
struct UpstreamListed {
    RenewalNumber renewal;
    UpstreamIncarnation incarnation;
    UpstreamTime clock;
    std::vector<RunId> running;
    std::vector<EndedRun> ended; ///< ends that are not acknowledged yet; the upstream sends a few hundred at most
};

/** Why a RenewLease brought no lists. */
enum class RenewalFailure {
    NoAnswer,         ///< unknown: the upstream may have renewed the lease
    Disconnected,     ///< unknown, too; the other end closed the connection or reset it
    Fenced,           ///< refused: the upstream has received a higher fencing token
    OtherIncarnation, ///< refused: another incarnation of the upstream answered
    End,
};

/** A RenewLease brought no lists. */
struct RenewalUnanswered {
    RenewalNumber renewal;
    RenewalFailure failure = RenewalFailure::NoAnswer;
};

/** Result of a ProbeListener. */
struct ListenerProbed {
    bool refused = false; ///< nothing listens at the endpoint of the upstream
};

using GuardInput = std::variant<Tick,
                                UpstreamAnnounced,
                                UpstreamLeft,
                                BatchReceived,
                                BatchAbandoned,
                                BatchesRenewed,
                                RecallReceived,
                                JobsCancelled,
                                RunStartAnswered,
                                RunStopAnswered,
                                UpstreamListed,
                                RenewalUnanswered,
                                ListenerProbed,
                                DrainRequested>;

} // namespace Sycamoremoor
