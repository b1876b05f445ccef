// Reading the values of settings. Each function returns whether the text is allowed.
#pragma once

#include "daemon_settings_type.h"

#include <sycamoremoor/core/strong_type.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Sycamoremoor
{

inline constexpr const char *NameAllowed = "1 to 128 letters, digits, dots, dashes or underscores";
inline constexpr const char *EndpointAllowed = "IP:PORT, with an IP number";
inline constexpr const char *EndpointsAllowed = "IP:PORT with an IP number, or several with commas between";
inline constexpr const char *DurationAllowed = "a whole number of milliseconds from 1 to 86400000";

/** Returns the name of a role as it is set. */
const char *roleName(DaemonRole role);

bool readRole(const std::string &text, DaemonRole &role);
bool readShedding(const std::string &text, SheddingMode &shedding);
bool readName(const std::string &text, std::string &name);
bool readEndpoint(const std::string &text, Endpoint &endpoint);
bool readEndpoints(const std::string &text, std::vector<Endpoint> &endpoints);
bool readDuration(const std::string &text, Duration &duration);

/** Reads a duration of at least @p least. */
bool readDurationFrom(Duration least, const std::string &text, Duration &duration);
bool readCount(const std::string &text, std::int64_t least, std::int64_t most, std::size_t &count);
bool readCores(const std::string &text, MilliCores &cores);

/** Returns the whole number @p text if it is one from @p least to @p most. */
std::optional<std::int64_t> readWhole(const std::string &text, std::int64_t least, std::int64_t most);

template<typename Tag>
bool readAmount(const std::string &text, std::int64_t least, std::int64_t most, StrongAmount<Tag, std::int64_t> &amount)
{
    const auto value = readWhole(text, least, most);
    if (value) {
        amount = StrongAmount<Tag, std::int64_t>(*value);
    }
    return value.has_value();
}

template<typename Tag>
bool readStrongName(const std::string &text, StrongType<Tag, std::string> &name)
{
    std::string plain;
    if (!readName(text, plain)) {
        return false;
    }
    name = StrongType<Tag, std::string>(plain);
    return true;
}

template<typename T>
bool assignIf(std::optional<T> parsed, T &value)
{
    if (parsed) {
        value = *parsed;
    }
    return parsed.has_value();
}

} // namespace Sycamoremoor
