// One connection of a client.
#pragma once

#include <sycamoremoor/net/http_client.h>

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;
struct evhttp_request;

namespace Sycamoremoor
{

/** One connection, with at most one call under way. It opens itself when it is used. */
class ClientConnection
{
public:
    /** Called when a call ended and before its own hook; @p reusable tells whether the connection may take another. */
    using Finished = std::function<void(ClientConnection *connection, bool reusable)>;

    ClientConnection(EventLoop &loop, const Endpoint &endpoint, Finished finished);
    ~ClientConnection();

    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    void send(ClientCall call, CallNumber number, HttpClient::Done done);

    /** Forgets the call under way without calling its hooks. The connection is of no more use. */
    void abandon();

    [[nodiscard]] bool isIdle() const;
    [[nodiscard]] const Endpoint &endpoint() const;
    [[nodiscard]] MonotonicTime idleSince() const;

    /** Returns when the last call began. */
    [[nodiscard]] MonotonicTime startedAt() const;

    /** Returns the number of the call under way, zero if none. */
    [[nodiscard]] CallNumber number() const;

private:
    static void bytesMoved(evbuffer *buffer, const evbuffer_cb_info *info, void *self);
    static void answered(evhttp_request *request, void *self);
    static void partReceived(evhttp_request *request, void *self);
    void limitPassed();
    void close();
    void end(bool reusable, ClientResult result);

    Endpoint m_endpoint;
    Finished m_finished;
    evhttp_connection *m_connection;
    Timer m_limit;
    CallNumber m_number = 0;
    ClientCall m_call;
    HttpClient::Done m_done;
    bool m_idle = true;
    bool m_sent = false; ///< a byte of the request may have left
    MonotonicTime m_startedAt{};
    MonotonicTime m_idleSince{};
};

} // namespace Sycamoremoor
