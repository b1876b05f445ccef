// Bounds the time that a connection may take to send one whole request.
#pragma once

#include <sycamoremoor/net/timer.h>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace Sycamoremoor
{

/** Watches one accepted connection. A request that does not arrive whole in time is answered 408 and cut off. */
class ReceiveLimit
{
public:
    ReceiveLimit(EventLoop &loop, bufferevent *connection, Duration limit);
    ~ReceiveLimit();

    ReceiveLimit(const ReceiveLimit &) = delete;
    ReceiveLimit &operator=(const ReceiveLimit &) = delete;

    /** The request is whole; nothing is bounded until it is answered. */
    void requestReceived();

    /** The answer has left; the next request may begin. */
    void requestAnswered();

    /** The connection is about to be freed. */
    void detach();

private:
    static void bytesMoved(evbuffer *buffer, const evbuffer_cb_info *info, void *self);
    void begin();
    void end();
    void expire();

    bufferevent *m_connection;
    Duration m_limit;
    Timer m_timer;
    bool m_answering = false;
    bool m_receiving = false; ///< while true this holds a reference, so that the connection's socket is not another's
};

} // namespace Sycamoremoor
