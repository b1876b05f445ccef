// Availability zones that the operator has evacuated.
#pragma once

#include <sycamoremoor/core/id_type.h>

#include <cstdint>
#include <map>

namespace Sycamoremoor
{

using PlatformVersion = StrongType<struct PlatformVersionTag, std::int64_t>; ///< version of the platform's store, rises with every write

/** The evacuated zones were read from the platform's store for the first time, or have changed. */
struct EvacuationsRead {
    std::map<ZoneName, PlatformVersion> zones; ///< evacuated zones with the version at which each evacuation was ordered
    PlatformVersion version;                   ///< version of the store that they show
};

} // namespace Sycamoremoor
