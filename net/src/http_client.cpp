// A client of HTTP on an event loop, with a pool of connections to each endpoint.
#include <sycamoremoor/net/http_client.h>

#include "client_connection.h"

#include <sycamoremoor/net/clock_func.h>
#include <sycamoremoor/net/event_loop.h>

#include <algorithm>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr Duration SweepInterval = std::chrono::seconds(5);
constexpr Duration IdleLimit = std::chrono::seconds(30); ///< well below the servers' limit for quiet connections

} // namespace

HttpClient::HttpClient(EventLoop &loop)
    : m_loop(loop)
    , m_freeDiscarded(loop, [this] { m_discarded.clear(); })
    , m_sweep(loop, [this] { sweep(); })
{
    m_sweep.start(SweepInterval);
}

HttpClient::~HttpClient() = default;

CallNumber HttpClient::send(ClientCall call, Done done)
{
    auto *connection = connectionFor(call);
    connection->send(std::move(call), ++m_lastCall, std::move(done));
    return m_lastCall;
}

void HttpClient::cancel(const Endpoint &endpoint, CallNumber call)
{
    const auto found = m_connections.find(endpoint);
    if (found == m_connections.end()) {
        return;
    }
    auto &connections = found->second;
    const auto position = std::ranges::find(connections, call, [](const auto &connection) { return connection->number(); });
    if (position != connections.end()) {
        (*position)->abandon();
        m_discarded.push_back(std::move(*position));
        connections.erase(position);
        m_freeDiscarded.start(Duration::zero());
    }
}

std::size_t HttpClient::connections() const
{
    std::size_t count = 0;
    for (const auto &[endpoint, connections] : m_connections) {
        count += connections.size();
    }
    return count;
}

ClientConnection *HttpClient::connectionFor(const ClientCall &call)
{
    auto &connections = m_connections[call.endpoint];
    if (!call.newConnection) {
        // The one used last: the others stay idle and are closed.
        const auto isIdle = [](const auto &connection) {
            return connection->isIdle();
        };
        if (const auto found = std::find_if(connections.rbegin(), connections.rend(), isIdle); found != connections.rend()) {
            return found->get();
        }
    }
    const auto hook = [this](ClientConnection *connection, bool reusable) {
        finished(connection, reusable);
    };
    connections.push_back(std::make_unique<ClientConnection>(m_loop, call.endpoint, hook));
    return connections.back().get();
}

void HttpClient::finished(ClientConnection *connection, bool reusable)
{
    if (!reusable) {
        // What broke one connection may have broken the others unnoticed.
        discardIdle(connection->endpoint());
    }
}

void HttpClient::discardIdle(const Endpoint &endpoint)
{
    const auto found = m_connections.find(endpoint);
    if (found == m_connections.end()) {
        return;
    }
    auto &connections = found->second;
    const auto firstIdle
        = std::stable_partition(connections.begin(), connections.end(), [](const auto &connection) { return !connection->isIdle(); });
    std::move(firstIdle, connections.end(), std::back_inserter(m_discarded));
    connections.erase(firstIdle, connections.end());
    m_freeDiscarded.start(Duration::zero());
}

void HttpClient::sweep()
{
    const auto oldest = monotonicNow() - IdleLimit;
    for (auto position = m_connections.begin(); position != m_connections.end();) {
        auto &connections = position->second;
        std::erase_if(connections, [oldest](const auto &connection) { return connection->isIdle() && connection->idleSince() < oldest; });
        position = connections.empty() ? m_connections.erase(position) : std::next(position);
    }
    m_sweep.start(SweepInterval);
}

} // namespace Sycamoremoor
