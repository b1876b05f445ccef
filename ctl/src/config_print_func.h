// What the configuration commands share: settings, operands and output.
#pragma once

#include <sycamoremoor/core/config_func.h>
#include <sycamoremoor/gateway/key_value_type.h>

#include <iosfwd>
#include <optional>
#include <vector>

namespace Sycamoremoor
{

class Options;

/** Prefix of messages on the error stream. */
inline constexpr const char *ConfigPrefix = "sycamorectl: config: ";

/** Tells whether --platform is given, and says so if not. */
bool hasPlatform(const Options &options);

KeyValueSettings platformSettings(const Options &options);

/** Reads the first operand as a revision; says so if it is none. */
std::optional<Revision> wholeOperand(const Options &options);

void printDifferences(const std::vector<ConfigDifference> &differences, bool asJson, std::ostream &stream);

} // namespace Sycamoremoor
