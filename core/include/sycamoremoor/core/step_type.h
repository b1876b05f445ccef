// What every step of a decision machine is given, and what machines say besides messages.
#pragma once

#include <sycamoremoor/core/account_type.h>
#include <sycamoremoor/core/time_type.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Sycamoremoor
{

/** Time and randomness of one step. The driver reads the clocks and draws the bits; the machine never does. */
struct StepContext {
    MonotonicTime now;
    WallTime wall;
    std::uint64_t entropy = 0; ///< 64 random bits, fresh for each step
};

/** How much a log line matters. */
enum class Severity {
    Debug,
    Info,
    Warning,
    Error,
    End,
};

/** What a log line says in a form that can be searched for. */
struct LogField {
    std::string_view name; ///< a literal
    std::string value;
};

/** A short sentence for the log. */
struct LogLine {
    Severity severity = Severity::Info;
    std::string_view component; ///< fixed prefix of the part that speaks, a literal
    std::string text;
    std::vector<LogField> fields{}; ///< ids, inputs and outcome of a decision
};

/** Wake the machine with Tick at this time; replaces the time set before. */
struct SetTimer {
    MonotonicTime at;
};

/** What is measured into a histogram. Names and units are in table/metric_table.h. */
enum class HistogramMetric {
    JobSeconds,       ///< from receipt to answer at the owner
    QueueSeconds,     ///< from a task's admission to its sending
    TaskRunSeconds,   ///< run time by the agent's clock
    RoundTripSeconds, ///< from sending a task to its report, less the run time
    TakeoverSeconds,  ///< from learning of an owner slot to acting for it
    End,
};

/** A value for a histogram. */
struct Observation {
    HistogramMetric metric = HistogramMetric::End;
    double value = 0; ///< in the metric's unit
};

/** What is counted. Names are in table/metric_table.h. */
enum class CounterMetric {
    JobsAccepted,
    JobsComplete,
    JobsFailed,
    JobsRefused,
    JobsResubmitted,
    TasksSent,
    TasksReported,
    TasksRefused, ///< sent to an agent and not started there
    TasksUnknown, ///< ended as unknown
    TaskQueries,
    ReportsDuplicate, ///< reports that changed nothing
    TombstonesSet,
    FencedStarts, ///< starts refused for an old token
    StaleStarts,  ///< starts refused for their age
    WorkersEjected,
    RosterChanges,
    ConfigChanges,
    End,
};

/** Adds to a counter. */
struct Count {
    CounterMetric metric = CounterMetric::End;
    std::uint64_t by = 1;
};

} // namespace Sycamoremoor
