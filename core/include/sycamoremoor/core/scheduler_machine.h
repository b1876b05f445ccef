// State machine of a scheduler: accepts jobs of callers, places their tasks on workers, and answers when the jobs end.
#pragma once

#include <sycamoremoor/core/scheduler_output_type.h>

#include <memory>
#include <vector>

namespace Sycamoremoor
{

/** How a scheduler decides which jobs are delayed or refused when capacity is short. */
enum class SheddingMode {
    LatestStart, ///< after jobs of priority 0, the one with the earliest latest start goes first
    Value,       ///< by priority, deadline and need, see SheddingPolicy
};

/** Settings of a scheduler, fixed for its lifetime. */
struct SchedulerSettings {
    EntryName name;
    Incarnation incarnation;
    ZoneName zone;
    static constexpr Duration LeastResubmitAfter = std::chrono::milliseconds(550); ///< less leaves no time to renew leases

    /** How long after its connection broke a caller submits a job again. By then the runs of a scheduler that is gone have ended. */
    Duration resubmitAfter = std::chrono::milliseconds(1300);
    Duration drainTimeout = std::chrono::milliseconds(5000); ///< longest duration of a planned stop
    /** How long a stopping scheduler waits for jobs at least: the load balancer still sends connections for two of its checks. */
    Duration drainGrace = std::chrono::milliseconds(2500);
    SheddingMode shedding = SheddingMode::LatestStart;
};

/**
 * A scheduler that uses no sockets, clocks or threads.
 *
 * Every entry process runs one for the jobs of its own callers. All schedulers share all workers; each guard orders their runs.
 */
class SchedulerMachine
{
public:
    explicit SchedulerMachine(SchedulerSettings settings);
    ~SchedulerMachine();

    SchedulerMachine(SchedulerMachine &&) noexcept;
    SchedulerMachine &operator=(SchedulerMachine &&) noexcept;

    /** Handles one input and appends the resulting outputs to @p outputs. */
    void step(const StepContext &context, SchedulerInput input, SchedulerOutputs &outputs);

    /** Handles inputs that arrived together, in order, and places tasks once for all of them. */
    void step(const StepContext &context, const std::vector<SchedulerInput> &inputs, SchedulerOutputs &outputs);

    /** Returns the shortest time between two reports of a guard to this scheduler. */
    [[nodiscard]] Duration reportInterval() const;

    /** Returns whether tasks of this scheduler are on a worker. */
    [[nodiscard]] bool isUsing(const AgentName &agent) const;

    /** Returns whether jobs were refused since the last WorkersChosen of which few of the followed workers can hold the tasks. */
    [[nodiscard]] bool missesWorkers() const;

    /** Returns whether the operator has evacuated @p zone, as far as is known. */
    [[nodiscard]] bool isEvacuated(const ZoneName &zone) const;

    /** Returns whether a job with this id was accepted and has not ended; its tasks may run. */
    [[nodiscard]] bool hasJob(const QueueJobId &id) const;

    /** Returns the configuration in force, or null. */
    [[nodiscard]] const QueueSetPointer &queues() const;

    /** Returns whether new callers can be served: a configuration is in force, a worker accepts work, and no drain was requested. */
    [[nodiscard]] bool isReady() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sycamoremoor
