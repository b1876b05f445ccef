// Clients that send without end and read nothing.
#include "client_crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <fstream>
#include <stdexcept>

namespace Sycamoremoor
{

namespace
{

constexpr int TakesNoMoreMs = 1'000;  ///< sockets that took no byte for so long are not read any more; no verdict depends on it
constexpr int AnswerLimitMs = 30'000; ///< beyond any delay of a busy machine
constexpr std::size_t PartBytes = 65'536;

sockaddr_in addressOf(const Endpoint &server)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    inet_pton(AF_INET, server.host.c_str(), &address.sin_addr);
    return address;
}

} // namespace

int openConnection(const Endpoint &server)
{
    const auto address = addressOf(server);
    const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connection >= 0 && connect(connection, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(connection);
        return -1;
    }
    return connection;
}

Endpoint freeEndpoint()
{
    Endpoint endpoint{"127.0.0.1", 0};
    auto address = addressOf(endpoint);
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    socklen_t length = sizeof(address);
    if (bind(probe, reinterpret_cast<const sockaddr *>(&address), length) != 0
        || getsockname(probe, reinterpret_cast<sockaddr *>(&address), &length) != 0) {
        throw std::runtime_error("no port is free");
    }
    close(probe);
    endpoint.port = ntohs(address.sin_port);
    return endpoint;
}

std::string askOnce(const Endpoint &server, const std::string &request)
{
    const int connection = openConnection(server);
    if (connection < 0) {
        return "";
    }
    send(connection, request.data(), request.size(), MSG_NOSIGNAL);
    std::string answer;
    std::string part(PartBytes, '\0');
    pollfd state{connection, POLLIN, 0};
    while (answer.find("\r\n") == std::string::npos && poll(&state, 1, AnswerLimitMs) == 1) {
        const auto count = recv(connection, part.data(), part.size(), MSG_DONTWAIT);
        if (count <= 0) {
            break;
        }
        answer.append(part, 0, static_cast<std::size_t>(count));
    }
    close(connection);
    const auto end = answer.find("\r\n");
    return end == std::string::npos ? "" : answer.substr(0, end);
}

std::size_t unreadBytesAt(const Endpoint &server)
{
    constexpr unsigned Listening = 0x0A; // the queue of a listener counts connections
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line); // the header
    std::size_t bytes = 0;
    while (std::getline(table, line)) {
        unsigned port = 0;
        unsigned state = 0;
        unsigned long queued = 0;
        if (std::sscanf(line.c_str(), " %*u: %*8x:%x %*8x:%*x %x %*x:%lx", &port, &state, &queued) == 3 && port == server.port
            && state != Listening) {
            bytes += queued;
        }
    }
    return bytes;
}

ClientCrowd::ClientCrowd(const Endpoint &server, std::size_t connections)
{
    for (std::size_t made = 0; made < connections; ++made) {
        if (const int connection = openConnection(server); connection >= 0) {
            m_sockets.push_back(connection);
        }
    }
}

ClientCrowd::~ClientCrowd()
{
    for (const int connection : m_sockets) {
        close(connection);
    }
}

void ClientCrowd::send(const std::string &bytes)
{
    std::vector<std::size_t> sent(m_sockets.size());
    std::vector<pollfd> states;
    for (const int connection : m_sockets) {
        states.push_back({connection, POLLOUT, 0});
    }
    while (poll(states.data(), states.size(), TakesNoMoreMs) > 0) {
        for (std::size_t member = 0; member < states.size(); ++member) {
            if (states[member].revents == 0) {
                continue;
            }
            const auto part = std::min(PartBytes, bytes.size() - sent[member]);
            const auto count = ::send(states[member].fd, bytes.data() + sent[member], part, MSG_NOSIGNAL | MSG_DONTWAIT);
            sent[member] += count > 0 ? static_cast<std::size_t>(count) : 0;
            const bool isOver = sent[member] == bytes.size() || (count < 0 && errno != EAGAIN);
            states[member].fd = isOver ? -1 : states[member].fd; // poll() passes over negative descriptors
        }
    }
}

void ClientCrowd::sendFrom(std::size_t member, const std::string &bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const auto count = ::send(m_sockets.at(member), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return;
        }
        sent += static_cast<std::size_t>(count);
    }
}

} // namespace Sycamoremoor
