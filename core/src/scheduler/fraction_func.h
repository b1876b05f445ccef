// A number from 0 to 1 that depends on random bits and an index.
#pragma once

#include <cstdint>

namespace Sycamoremoor
{

/** Returns a number above 0 and up to 1 that depends on @p entropy and @p index. */
[[nodiscard]] inline double fractionOf(std::uint64_t entropy, std::uint64_t index)
{
    constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15ULL;
    constexpr double Range = 1ULL << 53U;
    constexpr unsigned Surplus = 11;
    auto bits = (entropy ^ (index * Multiplier)) * Multiplier;
    bits ^= bits >> 32U;
    bits *= Multiplier;
    return static_cast<double>((bits >> Surplus) + 1) / Range;
}

} // namespace Sycamoremoor
