// Units of the resources of workers and tasks.
#pragma once

#include <sycamoremoor/core/strong_type.h>

#include <cstdint>

namespace Sycamoremoor
{

using MilliCores = StrongAmount<struct MilliCoresTag, std::int64_t>;     ///< thousandths of a processor core
using Megabytes = StrongAmount<struct MegabytesTag, std::int64_t>;       ///< memory in units of 2^20 bytes
using Accelerators = StrongAmount<struct AcceleratorsTag, std::int64_t>; ///< whole accelerators
using Slots = StrongAmount<struct SlotsTag, std::int64_t>;               ///< number of tasks that an upstream runs concurrently
using Connections = StrongAmount<struct ConnectionsTag, std::int64_t>;   ///< number of connections that an upstream accepts
using CoreTime = StrongAmount<struct CoreTimeTag, std::int64_t>;         ///< processor time, microseconds of a thousandth of a core
using ByteCount = StrongAmount<struct ByteCountTag, std::int64_t>;       ///< bytes

} // namespace Sycamoremoor
