// Divides the memory and the descriptors of a machine among the listeners of a process.
#pragma once

#include "client_limits_type.h"

#include <sycamoremoor/net/http_type.h>

namespace Sycamoremoor
{

/** Returns how many bytes the connections of one listener may hold together. */
std::size_t heldBytesOf(const ClientLimits &limits, ListenerKind kind);

/** Returns how many bytes the jobs that a scheduler keeps may take together. */
std::size_t jobBytesOf(const ClientLimits &limits);

/** Returns the settings of one listener. */
HttpServerSettings listenerSettings(const ClientLimits &limits, ListenerKind kind);

/** Returns how many descriptors the system lets this process open. */
std::size_t systemDescriptors();

} // namespace Sycamoremoor
