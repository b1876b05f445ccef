// Formats inputs and outputs of an entry as lines of text, for golden files.
#pragma once

#include <sycamoremoor/core/entry_input_type.h>
#include <sycamoremoor/core/entry_output_type.h>

#include <optional>
#include <string>

namespace Sycamoremoor
{

/** Returns the line of an input. */
std::string traceLine(const EntryName &entry, MonotonicTime now, const EntryInput &input);

/** Returns the line of an output, or nothing for measurements and timers. */
std::optional<std::string> traceLine(const EntryOutput &output);

} // namespace Sycamoremoor
