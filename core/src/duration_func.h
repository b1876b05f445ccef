// Arithmetic on durations, and their text in logs.
#pragma once

#include <sycamoremoor/core/time_type.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace Sycamoremoor
{

[[nodiscard]] inline Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

/** Returns whole milliseconds, rounded towards zero. */
[[nodiscard]] inline std::string inMilliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace Sycamoremoor
