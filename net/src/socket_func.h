// Options and state of TCP sockets.
#pragma once

#include <sycamoremoor/core/endpoint_type.h>
#include <sycamoremoor/core/time_type.h>

namespace Sycamoremoor
{

/**
 * Opens a listening socket whose accepted connections have TCP_NODELAY.
 * @param endpoint where to listen; port 0 is replaced by the one that was chosen
 * @return the socket, or -1 with errno set
 */
int listenAt(Endpoint &endpoint);

/** Sets TCP_NODELAY, and the time after which bytes that nobody acknowledges end the connection. */
void setConnectionOptions(int socket, Duration unacknowledgedLimit);

/** Returns whether the other end closed or reset the connection, or it broke; unread bytes do not matter. */
[[nodiscard]] bool hasHungUp(int socket);

} // namespace Sycamoremoor
