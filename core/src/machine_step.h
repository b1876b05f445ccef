// The handling of one input by a state machine: its time and its outputs.
#pragma once

#include <sycamoremoor/core/step_type.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Sycamoremoor
{

/** Context and outputs of a state machine while it handles one input. Not stored beyond that. */
template<typename Outputs>
struct MachineStep {
    const StepContext &context;
    Outputs &outputs;
    std::string_view part; ///< component name in the log lines of the machine

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

    /** Appends a log line. */
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
