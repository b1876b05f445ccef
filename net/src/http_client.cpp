// A client of HTTP on an event loop, with a pool of connections to each endpoint.
#include <sycamoremoor/net/http_client.h>

#include "client_connection.h"

#include <sycamoremoor/net/clock_func.h>
#include <sycamoremoor/net/event_loop.h>

#include <algorithm>
#include <iterator>
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
    const auto found = m_peers.find(endpoint);
    if (found == m_peers.end()) {
        return;
    }
    auto &connections = found->second.connections;
    const auto position = std::ranges::find(connections, call, [](const auto &connection) { return connection->number(); });
    if (position != connections.end()) {
        (*position)->abandon();
        const auto *abandoned = position->get();
        discardUnless(connections, [abandoned](const ClientConnection &connection) { return &connection != abandoned; });
    }
}

std::size_t HttpClient::connections() const
{
    std::size_t count = 0;
    for (const auto &[endpoint, peer] : m_peers) {
        count += peer.connections.size();
    }
    return count;
}

ClientConnection *HttpClient::connectionFor(const ClientCall &call)
{
    auto &connections = m_peers[call.endpoint].connections;
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

void HttpClient::finished(ClientConnection *ended, bool reusable)
{
    auto &peer = m_peers.at(ended->endpoint());
    if (reusable) {
        peer.answeredAt = monotonicNow();
        return;
    }
    // What broke one connection may have broken the others unnoticed, unless one of them brought an answer meanwhile.
    const bool othersWork = peer.answeredAt > ended->startedAt();
    discardUnless(peer.connections, [ended, othersWork](const ClientConnection &connection) {
        return &connection != ended && (othersWork || !connection.isIdle());
    });
}

template<typename Keep>
void HttpClient::discardUnless(Connections &connections, Keep keep)
{
    const auto first = std::stable_partition(connections.begin(), connections.end(), [&keep](const auto &item) { return keep(*item); });
    std::move(first, connections.end(), std::back_inserter(m_discarded));
    connections.erase(first, connections.end());
    m_freeDiscarded.start(Duration::zero());
}

void HttpClient::sweep()
{
    const auto oldest = monotonicNow() - IdleLimit;
    for (auto position = m_peers.begin(); position != m_peers.end();) {
        auto &connections = position->second.connections;
        std::erase_if(connections, [oldest](const auto &connection) { return connection->isIdle() && connection->idleSince() < oldest; });
        position = connections.empty() ? m_peers.erase(position) : std::next(position);
    }
    m_sweep.start(SweepInterval);
}

} // namespace Sycamoremoor
