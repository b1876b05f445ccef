// Limits of the processes under test, and the size of the crowds.
#pragma once

#include <chrono>
#include <cstddef>

namespace Sycamoremoor::TestLimits
{

inline constexpr std::size_t HeadBytes = 16'384;
inline constexpr std::size_t BodyBytes = 262'144;
inline constexpr std::size_t AnnouncementBytes = std::size_t{4} << 20U;
inline constexpr std::size_t MemoryMegabytes = 64;
inline constexpr std::size_t MemoryBytes = MemoryMegabytes << 20U;
inline constexpr std::size_t Descriptors = 256;

inline constexpr std::chrono::milliseconds DrainTimeout(2'000);

inline constexpr std::size_t CrowdConnections = 16;
inline constexpr std::size_t ManyConnections = 400;               ///< more than there are descriptors
inline constexpr std::size_t CrowdBytes = std::size_t{24} << 20U; ///< of each connection
inline constexpr std::size_t AheadConnections = 640;              ///< that send ahead; most of them are never accepted at once
inline constexpr std::size_t AheadBytes = std::size_t{1} << 20U;  ///< of each of these connections

} // namespace Sycamoremoor::TestLimits
