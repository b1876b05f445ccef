// A plain socket that sends what it is told, for ends that misbehave.
#pragma once

#include <sycamoremoor/core/endpoint_type.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>
#include <string_view>

namespace Sycamoremoor
{

/** A plain socket that sends what it is told. */
class RawClient
{
public:
    explicit RawClient(const Endpoint &server)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.port);
        inet_pton(AF_INET, server.host.c_str(), &address.sin_addr);
        m_connected = connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    }

    ~RawClient()
    {
        hangUp();
    }

    RawClient(const RawClient &) = delete;
    RawClient &operator=(const RawClient &) = delete;

    void send(const std::string &bytes) const
    {
        ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    /** Sends as many bytes as the socket takes now. @return how many */
    [[nodiscard]] std::size_t sendSome(std::string_view bytes) const
    {
        const auto count = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        return count > 0 ? static_cast<std::size_t>(count) : 0;
    }

    /** Reads what is there. @return false once the other end closed */
    bool poll(std::string &received) const
    {
        std::string part(4'096, '\0');
        const auto count = ::recv(m_socket, part.data(), part.size(), MSG_DONTWAIT);
        if (count > 0) {
            received.append(part, 0, static_cast<std::size_t>(count));
        }
        return count > 0 || (count < 0 && errno == EAGAIN);
    }

    void hangUp()
    {
        if (m_socket >= 0) {
            close(m_socket);
        }
        m_socket = -1;
    }

    /** Sends FIN, and never RST, whatever is unread. */
    void finish() const
    {
        shutdown(m_socket, SHUT_WR);
    }

    /** Sends RST. */
    void reset()
    {
        const linger atOnce{.l_onoff = 1, .l_linger = 0};
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
        hangUp();
    }

    [[nodiscard]] bool connected() const
    {
        return m_connected;
    }

private:
    int m_socket;
    bool m_connected = false;
};

} // namespace Sycamoremoor
