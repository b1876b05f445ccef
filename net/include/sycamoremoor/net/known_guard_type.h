// Guards that a scheduler knows.
#pragma once

#include <sycamoremoor/core/endpoint_type.h>
#include <sycamoremoor/core/id_type.h>

#include <map>

namespace Sycamoremoor
{

/** A guard that a scheduler knows from the directory or from its stream of capacity reports. */
struct KnownGuard {
    Endpoint endpoint;
    bool hasContact = false; ///< its stream of capacity reports is alive

    friend bool operator==(const KnownGuard &, const KnownGuard &) = default;
};

using KnownGuards = std::map<AgentName, KnownGuard>;

} // namespace Sycamoremoor
