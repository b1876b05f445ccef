// Names and key ranges of the key-value service.
#include <sycamoremoor/gateway/key_value_type.h>

#include <array>
#include <limits>

namespace Sycamoremoor
{

namespace
{

constexpr std::array<std::string_view, static_cast<std::size_t>(CallOutcome::End)> CallOutcomeNames{
    "done", "conflict", "no_effect", "unknown"};

} // namespace

std::string_view callOutcomeName(CallOutcome outcome)
{
    return CallOutcomeNames.at(static_cast<std::size_t>(outcome));
}

std::string prefixRangeEnd(std::string prefix)
{
    while (!prefix.empty()) {
        if (const auto last = static_cast<unsigned char>(prefix.back()); last < std::numeric_limits<unsigned char>::max()) {
            prefix.back() = static_cast<char>(last + 1);
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0'); // the gateway's form of "no end"
}

} // namespace Sycamoremoor
