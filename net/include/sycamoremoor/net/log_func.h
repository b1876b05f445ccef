// The log: short sentences with the prefix of the part that speaks.
#pragma once

#include <sycamoremoor/core/step_type.h>

#include <optional>
#include <string>
#include <string_view>

namespace Sycamoremoor
{

/** How log lines are written. */
enum class LogFormat {
    Text, ///< time, level, part, sentence
    Json, ///< one object a line
    End,
};

/** Sets up the log of this process, on standard output. A reader that is too slow loses lines; nobody waits for it. */
void startLog(Severity level, LogFormat format);

/** Writes one line. */
void writeLog(const LogLine &line);

/** Returns the beginning of @p text, for a log line about something that cannot be read. */
std::string excerptOf(std::string_view text);

/** Returns the level called debug, info, warning or error. */
std::optional<Severity> severityFromName(std::string_view name);

/** Returns the format called text or json. */
std::optional<LogFormat> logFormatFromName(std::string_view name);

} // namespace Sycamoremoor
