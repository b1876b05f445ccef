// Commands of sycamorectl and their flags.
#pragma once

#include "exit_code_type.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Sycamoremoor
{

class Options;

/** What a flag's value must be. */
enum class OptionKind {
    Switch,    ///< takes no value
    Text,      ///< anything
    Whole,     ///< a whole number within the row's range
    Real,      ///< a number within the row's range
    Endpoints, ///< IP:PORT, several separated by commas
    End,
};

/** One flag. Its environment variable is SYCAMOREMOOR_ and the name in capitals, with _ for -. */
struct OptionRow {
    std::string_view name; ///< without dashes
    OptionKind kind = OptionKind::Text;
    std::string_view defaultValue;
    std::string_view help;
    std::int64_t least = 0; ///< of Whole and Real
    std::int64_t most = 0;
};

/** One command. */
struct CommandRow {
    std::string_view name;     ///< such as "config apply"
    std::string_view operands; ///< as in the usage line
    std::size_t leastOperands = 0;
    std::size_t mostOperands = 0;
    std::string_view help;
    std::vector<OptionRow> options; ///< besides the common ones
    std::function<ExitCode(const Options &)> run;
};

} // namespace Sycamoremoor
