// Reads settings from flags and environment variables, and checks them.
#pragma once

#include "daemon_settings_type.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Sycamoremoor
{

/** Returns the value of an environment variable, or nothing. */
using ReadEnvironment = std::function<std::optional<std::string>(const std::string &name)>;

/**
 * Reads all settings; flags go before environment variables.
 * @return what is wrong, one sentence for each, naming flag, value and what is allowed
 */
std::vector<std::string> readSettings(int argc, char **argv, const ReadEnvironment &environment, DaemonSettings &settings);

/** Returns the help. */
std::string helpText();

} // namespace Sycamoremoor
