// Flags, environment variables and operands of one command.
#pragma once

#include "command_type.h"

#include <sycamoremoor/core/endpoint_type.h>
#include <sycamoremoor/core/time_type.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Sycamoremoor
{

/** Values of a command's flags: from the command line, else from the environment, else the default. */
class Options
{
public:
    /**
     * Reads a command line by getopt_long and checks every value.
     * @param arguments without the command's own name
     * @param fault set to a sentence that names the flag, the value and what is allowed
     */
    static Options read(const CommandRow &command, const std::vector<std::string> &arguments, std::string &fault);

    [[nodiscard]] bool isSet(std::string_view name) const;
    [[nodiscard]] const std::string &text(std::string_view name) const;
    [[nodiscard]] std::int64_t whole(std::string_view name) const;
    [[nodiscard]] double real(std::string_view name) const;
    [[nodiscard]] Duration milliseconds(std::string_view name) const;
    [[nodiscard]] std::vector<Endpoint> endpoints(std::string_view name) const;
    [[nodiscard]] const std::vector<std::string> &operands() const;
    /** Tells whether help was asked for. */
    [[nodiscard]] bool wantsHelp() const;

private:
    std::map<std::string, std::string, std::less<>> m_values;
    std::vector<std::string> m_operands;
    bool m_wantsHelp = false;
};

/** Flags that every command has. */
const std::vector<OptionRow> &commonOptions();

/** Returns the name of a flag's environment variable. */
std::string environmentName(std::string_view flag);

} // namespace Sycamoremoor
