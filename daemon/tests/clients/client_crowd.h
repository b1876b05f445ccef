// Clients that send without end and read nothing.
#pragma once

#include <sycamoremoor/core/endpoint_type.h>

#include <cstddef>
#include <string>
#include <vector>

namespace Sycamoremoor
{

/** Opens a connection. @return the socket, or -1 */
int openConnection(const Endpoint &server);

/** Returns an address of this machine at which nothing listens now. */
Endpoint freeEndpoint();

/** Sends @p request on a connection of its own. @return the first line of the answer, empty if none came */
std::string askOnce(const Endpoint &server, const std::string &request);

/** Returns how many bytes connections to @p server have received that it has not read, those that it has not accepted included. */
std::size_t unreadBytesAt(const Endpoint &server);

/** A crowd of connections, closed in the end. */
class ClientCrowd
{
public:
    ClientCrowd(const Endpoint &server, std::size_t connections);
    ~ClientCrowd();

    ClientCrowd(const ClientCrowd &) = delete;
    ClientCrowd &operator=(const ClientCrowd &) = delete;

    /** Sends @p bytes on each connection, until all are sent, or connections are closed or take no more. */
    void send(const std::string &bytes);

    /** Sends @p bytes on the connection number @p member, and waits until they have left or it is closed. */
    void sendFrom(std::size_t member, const std::string &bytes);

private:
    std::vector<int> m_sockets;
};

} // namespace Sycamoremoor
