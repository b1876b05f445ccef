// The decisions of a scheduler: takes jobs of callers, places their tasks on all workers, answers when they ended.
#pragma once

#include <sycamoremoor/core/scheduler_output_type.h>

#include <memory>

namespace Sycamoremoor
{

/** What a scheduler is told at its start. */
struct SchedulerSettings {
    EntryName name;
    ZoneName zone;
    Duration drainTimeout = std::chrono::milliseconds(5000); ///< a planned stop ends by then
    Duration drainGrace = std::chrono::milliseconds(2500);   ///< the balancer still sends new connections for two of its checks
};

/**
 * A scheduler without sockets, clocks or threads.
 *
 * Every entry runs one, for the jobs of its own callers. They share all workers; the guards decide between them.
 */
class SchedulerMachine
{
public:
    explicit SchedulerMachine(SchedulerSettings settings);
    ~SchedulerMachine();

    SchedulerMachine(SchedulerMachine &&) noexcept;
    SchedulerMachine &operator=(SchedulerMachine &&) noexcept;

    /** Takes one input and appends what is to be done about it. */
    void step(const StepContext &context, SchedulerInput input, SchedulerOutputs &outputs);

    /** Returns the configuration in force, or null. */
    [[nodiscard]] const QueueSetPointer &queues() const;

    /** Tells whether new callers are welcome: there is a configuration and a worker, and no stop was asked for. */
    [[nodiscard]] bool isReady() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sycamoremoor
