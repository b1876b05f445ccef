// Context of a step of a state machine, and outputs that all state machines share: logs, timers and metrics.
#pragma once

#include <sycamoremoor/core/account_type.h>
#include <sycamoremoor/core/time_type.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Sycamoremoor
{

/** Time and random bits of one step. The driver reads the clocks and generates the bits; the machine never does. */
struct StepContext {
    MonotonicTime now;
    WallTime wall;
    std::uint64_t entropy = 0; ///< 64 random bits, fresh for each step
    Duration lag{};            ///< for how long the inputs of the step may have waited in this process
};

/** Severity of a log line. */
enum class Severity {
    Debug,
    Info,
    Warning,
    Error,
    End,
};

/** A key and value of a structured log line. */
struct LogField {
    std::string_view name; ///< string literal
    std::string value;
};

/** A log message with structured fields. */
struct LogLine {
    Severity severity = Severity::Info;
    std::string_view component; ///< component that logs; string literal
    std::string text;
    std::vector<LogField> fields{}; ///< ids, inputs and outcome of a decision
};

/** Request to step the machine with Tick at this time; replaces the time set before. */
struct SetTimer {
    MonotonicTime at;
};

/** Histograms. Names and units are in table/metric_table.h. */
enum class HistogramMetric {
    JobSeconds,       ///< from receipt of a job to its answer, at the owner
    QueueSeconds,     ///< from admission of a task until it is sent
    TaskRunSeconds,   ///< run time of a task by the clock of the agent
    RoundTripSeconds, ///< from sending a task to its report, minus the run time
    TakeoverSeconds,  ///< from receipt of the assignment of an owner slot until the entry acts for it
    LagSeconds,       ///< for how long inputs waited in this process before they were handled
    End,
};

/** A value to record in a histogram. */
struct Observation {
    HistogramMetric metric = HistogramMetric::End;
    double value = 0; ///< in the metric's unit
};

/** Counters. Names are in table/metric_table.h. */
enum class CounterMetric {
    JobsAccepted,
    JobsComplete,
    JobsFailed,
    JobsRefused,
    JobsRefusedStopping, ///< one counter for each RefusalRule
    JobsRefusedNeverFits,
    JobsRefusedConfined,
    JobsRefusedEvacuated,
    JobsRefusedNoWorkers,
    JobsRefusedBehind,
    JobsRefusedExpectedWait,
    JobsRefusedSlackOver,
    JobsRefusedExpired,
    JobsResubmitted,
    JobsCancelled,
    TasksSent,
    TasksReported,
    TasksRefused, ///< tasks sent to an agent that did not start them
    TasksUnknown, ///< tasks that ended with an unknown run state
    TaskQueries,
    ReportsDuplicate, ///< reports of a state that was known already
    TombstonesSet,
    FencedStarts, ///< starts refused because of an outdated fencing token
    StaleStarts,  ///< starts refused because the message was too old
    WorkersEjected,
    WorkersFoundSlow, ///< workers on which runs take longer than on the usual worker of their service
    RosterChanges,
    ConfigChanges,
    ConfigsUnreadable,    ///< versions of the configuration that did not come into force
    ConfigQueuesLeftOut,  ///< queues that could not be read, of versions that came into force
    AnnouncementsRefused, ///< announcements of upstreams that name none to use
    EvacuatedRuns,        ///< runs that a guard did not start because its zone is evacuated
    RunsLengthened,       ///< runs whose limit was raised since they make progress
    HeadsRefused,
    FieldsRefused,
    BodiesRefused,
    SlowRequestsRefused,
    ConnectionsClosedForMemory,
    ConnectionsClosedForRoom,
    AcceptsFailed,        ///< for lack of descriptors
    JobsRefusedForMemory, ///< since the jobs that are kept take too much memory
    End,
};

/** Increases a counter. */
struct Count {
    CounterMetric metric = CounterMetric::End;
    std::uint64_t by = 1;
};

} // namespace Sycamoremoor
