// Bounds the time that a connection may take to send one whole request.
#include "receive_limit.h"

#include <sycamoremoor/wire/caller_codec.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <sys/socket.h>

#include <string>

namespace Sycamoremoor
{

namespace
{

/** Returns the whole text of the answer to a request that did not arrive in time. */
std::string timeoutReply()
{
    const auto answer = encodeError(ErrorKind::RequestTimeout, "", "");
    return "HTTP/1.1 " + std::to_string(answer.httpStatus) + " Request Timeout\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(answer.body.size()) + "\r\nConnection: close\r\n\r\n" + answer.body;
}

} // namespace

ReceiveLimit::ReceiveLimit(EventLoop &loop, bufferevent *connection, Duration limit)
    : m_connection(connection)
    , m_limit(limit)
    , m_timer(loop, [this] { expire(); })
{
    evbuffer_add_cb(bufferevent_get_input(connection), &ReceiveLimit::bytesMoved, this);
}

ReceiveLimit::~ReceiveLimit()
{
    end();
}

void ReceiveLimit::requestReceived()
{
    end();
    m_answering = true;
}

void ReceiveLimit::requestAnswered()
{
    m_answering = false;
    if (evbuffer_get_length(bufferevent_get_input(m_connection)) > 0) {
        begin();
    }
}

void ReceiveLimit::detach()
{
    evbuffer_remove_cb(bufferevent_get_input(m_connection), &ReceiveLimit::bytesMoved, this);
}

void ReceiveLimit::bytesMoved(evbuffer * /*buffer*/, const evbuffer_cb_info *info, void *self)
{
    auto *limit = static_cast<ReceiveLimit *>(self);
    if (info->n_added > 0 && !limit->m_answering) {
        limit->begin();
    }
}

void ReceiveLimit::begin()
{
    if (!m_receiving) {
        m_receiving = true;
        bufferevent_incref(m_connection);
        m_timer.start(m_limit);
    }
}

void ReceiveLimit::end()
{
    if (m_receiving) {
        m_receiving = false;
        m_timer.stop();
        bufferevent_decref(m_connection);
    }
}

void ReceiveLimit::expire()
{
    const int socket = bufferevent_getfd(m_connection);
    const auto reply = timeoutReply();
    ::send(socket, reply.data(), reply.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    ::shutdown(socket, SHUT_RDWR);
    end();
}

} // namespace Sycamoremoor
