// Command line of the stand-ins.
#pragma once

#include <sycamoremoor/core/endpoint_type.h>

#include <map>
#include <string>
#include <vector>

namespace Sycamoremoor
{

/** One flag that takes a value. */
struct OptionRow {
    const char *name;         ///< without dashes
    const char *defaultValue; ///< nullptr: it must be given
    const char *help;
};

/**
 * Reads flags by getopt_long; prints help or the fault and ends the program if need be.
 * @return value by flag, defaults included
 */
std::map<std::string, std::string> readOptions(int argc, char **argv, const std::vector<OptionRow> &rows);

/** Reads "IP:PORT"; ends the program with a message if @p text is none. */
Endpoint readListenAddress(const std::string &text);

} // namespace Sycamoremoor
