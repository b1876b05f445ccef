// Options and state of TCP sockets.
#include "socket_func.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace Sycamoremoor
{

namespace
{

/** Writes the address of @p endpoint; returns its length, or 0 if it is no IP number. */
socklen_t toAddress(const Endpoint &endpoint, sockaddr_storage &storage)
{
    if (auto *ipv4 = reinterpret_cast<sockaddr_in *>(&storage); inet_pton(AF_INET, endpoint.host.c_str(), &ipv4->sin_addr) == 1) {
        ipv4->sin_family = AF_INET;
        ipv4->sin_port = htons(endpoint.port);
        return sizeof(sockaddr_in);
    }
    if (auto *ipv6 = reinterpret_cast<sockaddr_in6 *>(&storage); inet_pton(AF_INET6, endpoint.host.c_str(), &ipv6->sin6_addr) == 1) {
        ipv6->sin6_family = AF_INET6;
        ipv6->sin6_port = htons(endpoint.port);
        return sizeof(sockaddr_in6);
    }
    return 0;
}

std::uint16_t boundPort(int socket)
{
    sockaddr_storage storage{};
    socklen_t length = sizeof(storage);
    getsockname(socket, reinterpret_cast<sockaddr *>(&storage), &length);
    const bool isIpv6 = storage.ss_family == AF_INET6;
    return ntohs(isIpv6 ? reinterpret_cast<const sockaddr_in6 *>(&storage)->sin6_port
                        : reinterpret_cast<const sockaddr_in *>(&storage)->sin_port);
}

} // namespace

int listenAt(Endpoint &endpoint, std::size_t bufferBytes)
{
    sockaddr_storage storage{};
    const auto length = toAddress(endpoint, storage);
    if (length == 0) {
        errno = EINVAL;
        return -1;
    }
    const int listener = socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (listener < 0) {
        return -1;
    }
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    // Linux hands the option on to accepted connections.
    setsockopt(listener, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setBuffers(listener, bufferBytes); // handed on as well
    if (bind(listener, reinterpret_cast<const sockaddr *>(&storage), length) != 0 || listen(listener, static_cast<int>(Backlog)) != 0) {
        const int error = errno;
        close(listener);
        errno = error;
        return -1;
    }
    endpoint.port = boundPort(listener);
    return listener;
}

void setBuffers(int socket, std::size_t bytes)
{
    const int value = static_cast<int>(bytes);
    setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &value, sizeof(value));
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &value, sizeof(value));
    // Linux doubles the size above for its own records and then fills all of it with bytes where these are few.
    setsockopt(socket, IPPROTO_TCP, TCP_WINDOW_CLAMP, &value, sizeof(value));
}

int beginConnect(const Endpoint &endpoint)
{
    sockaddr_storage storage{};
    const auto length = toAddress(endpoint, storage);
    if (length == 0) {
        errno = EINVAL;
        return -1;
    }
    const int connecting = socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (connecting < 0) {
        return -1;
    }
    if (connect(connecting, reinterpret_cast<const sockaddr *>(&storage), length) == 0 || errno == EINPROGRESS) {
        return connecting;
    }
    const int error = errno;
    close(connecting);
    errno = error;
    return -1;
}

int connectError(int socket)
{
    int error = 0;
    socklen_t length = sizeof(error);
    return getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length) == 0 ? error : errno;
}

void setConnectionOptions(int socket, Duration unacknowledgedLimit)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto limit = static_cast<unsigned>(std::chrono::duration_cast<std::chrono::milliseconds>(unacknowledgedLimit).count());
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
}

bool hasHungUp(int socket)
{
    pollfd state{socket, POLLRDHUP, 0}; // POLLERR and POLLHUP are always reported
    return poll(&state, 1, 0) == 1;
}

bool isWritable(int socket)
{
    pollfd state{socket, POLLOUT, 0};
    return poll(&state, 1, 0) == 1;
}

} // namespace Sycamoremoor
