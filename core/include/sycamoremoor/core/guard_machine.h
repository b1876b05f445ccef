// The decisions of a guard: keeps the room of the upstream beside it and answers for each run there.
#pragma once

#include <sycamoremoor/core/guard_output_type.h>

#include <cstdint>
#include <memory>

namespace Sycamoremoor
{

/** What a guard is told at its start. */
struct GuardSettings {
    Incarnation incarnation;
    FencingToken firstToken;                                 ///< above that of the life before
    Duration leaseTerm = std::chrono::milliseconds(900);     ///< of a run without renewal; the upstream's own bound is one second
    Duration renewWait = std::chrono::milliseconds(200);     ///< four lost renewals in a row leave the lease in force
    std::uint32_t parallelLongPolls = 2;                     ///< renewals that wait for ends side by side: one of them may get lost
    Duration drainTimeout = std::chrono::milliseconds(5000); ///< a planned stop ends by then
};

/**
 * A guard without sockets, clocks or threads.
 *
 * It is the only caller of its upstream, so it knows every order that may take room there: those under way, those
 * whose answer is missing, and those that are being stopped. It starts a run only if all of these leave room for it.
 */
class GuardMachine
{
public:
    explicit GuardMachine(const GuardSettings &settings);
    ~GuardMachine();

    GuardMachine(GuardMachine &&) noexcept;
    GuardMachine &operator=(GuardMachine &&) noexcept;

    /** Takes one input and appends what is to be done about it. */
    void step(const StepContext &context, GuardInput input, GuardOutputs &outputs);

    /** Tells whether work is welcome. */
    [[nodiscard]] bool isAccepting() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sycamoremoor
