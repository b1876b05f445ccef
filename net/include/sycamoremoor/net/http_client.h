// A client of HTTP on an event loop, with a pool of connections to each endpoint.
#pragma once

#include <sycamoremoor/net/http_type.h>
#include <sycamoremoor/net/timer.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace Sycamoremoor
{

class ClientConnection;
class EventLoop;

using CallNumber = std::uint64_t; ///< names a call of one client, never zero

/** Sends requests, one at a time on each connection. */
class HttpClient
{
public:
    using Done = std::function<void(ClientResult)>;

    explicit HttpClient(EventLoop &loop);
    /** Drops every open call without calling its hook. */
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Sends a request. @param done called once, never from within this call */
    CallNumber send(ClientCall call, Done done);

    /** Breaks a call off by closing its connection. Its hook is not called. Without effect when the call has ended. */
    void cancel(const Endpoint &endpoint, CallNumber call);

    /** Returns how many connections are open or kept for reuse. */
    [[nodiscard]] std::size_t connections() const;

private:
    using Connections = std::vector<std::unique_ptr<ClientConnection>>;

    /** What is known of one endpoint. */
    struct Peer {
        Connections connections;
        MonotonicTime answeredAt{}; ///< the last answer on any connection
    };

    void finished(ClientConnection *connection, bool reusable);
    template<typename Keep>
    void discardUnless(Connections &connections, Keep keep);
    void sweep();
    ClientConnection *connectionFor(const ClientCall &call);

    EventLoop &m_loop;
    std::map<Endpoint, Peer> m_peers;
    Connections m_discarded;
    Timer m_freeDiscarded;
    Timer m_sweep;
    CallNumber m_lastCall = 0;
};

} // namespace Sycamoremoor
