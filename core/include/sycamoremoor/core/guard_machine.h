// State machine of a guard: manages the capacity of the upstream on its machine and reports the end of every run there.
#pragma once

#include <sycamoremoor/core/guard_output_type.h>

#include <cstdint>
#include <memory>

namespace Sycamoremoor
{

/** Settings of a guard, fixed for its lifetime. */
struct GuardSettings {
    Incarnation incarnation;
    FencingToken firstToken;                                 ///< must be above every token of the previous incarnation
    Duration leaseTerm = std::chrono::milliseconds(900);     ///< of a lease without renewal; the upstream accepts at most one second
    Duration renewWait = std::chrono::milliseconds(200);     ///< of a long poll; the lease survives four lost renewals in a row
    std::uint32_t parallelLongPolls = 2;                     ///< long polls in flight at the same time, in case one is lost
    Duration drainTimeout = std::chrono::milliseconds(5000); ///< longest duration of a planned stop
    ZoneName zone;                                           ///< availability zone of its machine
    Duration drainWithin{};    ///< in which work moves off an upstream that is leaving; zero to leave all of its runs there
    Duration evacuateWithin{}; ///< from the operator's order until nothing is started in an evacuated zone; zero if none is evacuated
};

/**
 * A guard that uses no sockets, clocks or threads.
 *
 * It is the only caller of its upstream, so it knows every order that may occupy capacity there: orders in flight, orders
 * without an answer, and runs that are being stopped. It starts a run only if all of these leave enough capacity for it.
 */
class GuardMachine
{
public:
    explicit GuardMachine(const GuardSettings &settings);
    ~GuardMachine();

    GuardMachine(GuardMachine &&) noexcept;
    GuardMachine &operator=(GuardMachine &&) noexcept;

    /** Handles one input and appends the resulting outputs to @p outputs. */
    void step(const StepContext &context, GuardInput input, GuardOutputs &outputs);

    /** Returns whether the guard accepts new runs. */
    [[nodiscard]] bool isAccepting() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sycamoremoor
