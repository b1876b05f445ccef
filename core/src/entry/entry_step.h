// One step of the entry: its time, randomness and outputs.
#pragma once

#include "../machine_step.h"

#include <sycamoremoor/core/entry_output_type.h>

#include <string>
#include <string_view>
#include <utility>

namespace Sycamoremoor
{

/** What controllers work with during one step. Lives no longer than the step. */
class EntryStep
{
public:
    EntryStep(const StepContext &context, EntryOutputs &outputs)
        : m_context(context)
        , m_outputs(outputs)
    {
    }

    [[nodiscard]] MonotonicTime now() const
    {
        return m_context.now;
    }

    [[nodiscard]] WallTime wall() const
    {
        return m_context.wall;
    }

    [[nodiscard]] std::uint64_t entropy() const
    {
        return m_context.entropy;
    }

    /** Appends an output. */
    template<typename Output>
    void emit(Output output)
    {
        m_outputs.emplace_back(std::move(output));
    }

    void log(Severity severity, std::string_view part, std::string text)
    {
        emit(LogLine{severity, part, std::move(text)});
    }

    void count(CounterMetric metric, std::uint64_t by = 1)
    {
        emit(Count{metric, by});
    }

private:
    const StepContext &m_context;
    EntryOutputs &m_outputs;
};

} // namespace Sycamoremoor
