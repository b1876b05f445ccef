// Options and state of TCP sockets.
#pragma once

#include <sycamoremoor/core/endpoint_type.h>
#include <sycamoremoor/core/time_type.h>

#include <cstddef>

namespace Sycamoremoor
{

/** Connections of a listening socket that wait to be accepted, at most. */
inline constexpr std::size_t Backlog = 1'024;

/**
 * Opens a listening socket whose connections have TCP_NODELAY.
 * @param endpoint where to listen; port 0 is replaced by the one that was chosen
 * @param bufferBytes see setBuffers(), of its connections from their begin
 * @return the socket, or -1 with errno set
 */
int listenAt(Endpoint &endpoint, std::size_t bufferBytes);

/** Bounds how many bytes the system holds of a connection that were received and not read, and about as many that were not sent. */
void setBuffers(int socket, std::size_t bytes);

/**
 * Begins to connect to @p endpoint without waiting.
 * @return the socket, which becomes writable when the attempt has ended, or -1 with errno set
 */
int beginConnect(const Endpoint &endpoint);

/** Returns the error of an attempt that has ended, 0 if it succeeded. */
[[nodiscard]] int connectError(int socket);

/** Sets TCP_NODELAY, and the time after which bytes that nobody acknowledges end the connection. */
void setConnectionOptions(int socket, Duration unacknowledgedLimit);

/** Returns whether the other end closed or reset the connection, or it broke; unread bytes do not matter. */
[[nodiscard]] bool hasHungUp(int socket);

/** Returns whether the socket takes bytes now. */
bool isWritable(int socket);

} // namespace Sycamoremoor
