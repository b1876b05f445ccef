// The decisions of an entry: owns submissions, places their tasks, answers their callers.
#pragma once

#include <sycamoremoor/core/entry_input_type.h>
#include <sycamoremoor/core/entry_output_type.h>
#include <sycamoremoor/core/entry_settings_type.h>

#include <memory>

namespace Sycamoremoor
{

/**
 * An entry without sockets, clocks or threads.
 *
 * Feed it inputs one at a time; it appends what is to be done to the outputs.
 * Equal inputs with equal contexts give equal outputs.
 */
class EntryMachine
{
public:
    explicit EntryMachine(EntrySettings settings);
    ~EntryMachine();

    EntryMachine(EntryMachine &&) noexcept;
    EntryMachine &operator=(EntryMachine &&) noexcept;

    /**
     * Takes one input.
     * @param context time and randomness of this step; time never steps back
     * @param input what happened
     * @param outputs what to do about it is appended here, in order
     */
    void step(const StepContext &context, EntryInput input, EntryOutputs &outputs);

    /** Tells whether the entry takes submissions: it knows a roster and a configuration and is not stopping. */
    [[nodiscard]] bool isReady() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sycamoremoor
