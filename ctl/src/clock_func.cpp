// Clocks, random numbers and times as text.
#include "clock_func.h"

#include <chrono>
#include <cstdio>
#include <ctime>
#include <random>

namespace Sycamoremoor
{

WallTime wallClockNow()
{
    return WallTime(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
}

MonotonicTime monotonicClockNow()
{
    return MonotonicTime(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

std::uint64_t randomBits()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

SubmissionKey newSubmissionKey()
{
    return SubmissionKey::create(wallClockNow(), randomBits(), randomBits());
}

std::string timeToText(WallTime time)
{
    if (time == WallTime()) {
        return "-";
    }
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
    const std::time_t seconds = milliseconds / 1'000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[32];
    const auto length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
    char fraction[8];
    std::snprintf(fraction, sizeof fraction, ".%03dZ", static_cast<int>(milliseconds % 1'000));
    return std::string(text, length) + fraction;
}

} // namespace Sycamoremoor
