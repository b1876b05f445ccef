// Evacuations as a store tells of them in tests.
#pragma once

#include <sycamoremoor/core/evacuation_type.h>

#include <initializer_list>

namespace Sycamoremoor
{

/** Returns the read of a store at @p version, at which all of @p zones were evacuated. */
inline EvacuationsRead evacuations(std::initializer_list<const char *> zones, std::int64_t version)
{
    EvacuationsRead read;
    read.version = PlatformVersion(version);
    for (const auto *zone : zones) {
        read.zones.emplace(ZoneName(zone), PlatformVersion(version));
    }
    return read;
}

} // namespace Sycamoremoor
