// One step of a machine: its time and where its outputs go.
#pragma once

#include <sycamoremoor/core/step_type.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Sycamoremoor
{

/** What a machine works with during one step. Lives no longer than the step. */
template<typename Outputs>
struct MachineStep {
    const StepContext &context;
    Outputs &outputs;
    std::string_view part; ///< prefix of the log lines of the machine

    [[nodiscard]] MonotonicTime now() const
    {
        return context.now;
    }

    /** Appends an output. */
    template<typename Output>
    void emit(Output output)
    {
        outputs.emplace_back(std::move(output));
    }

    void log(Severity severity, std::string text, std::vector<LogField> fields = {})
    {
        emit(LogLine{severity, part, std::move(text), std::move(fields)});
    }
};

/** Returns @p duration in seconds. */
inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace Sycamoremoor
