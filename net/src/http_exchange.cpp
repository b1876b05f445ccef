// One request that a server has received, until its reply is sent.
#include <sycamoremoor/net/http_exchange.h>

#include "socket_func.h"

#include <sycamoremoor/net/http_server.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include <string>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr timeval HangUpCheckInterval{.tv_sec = 0, .tv_usec = 100'000}; ///< of a stream, where the socket's events cannot tell

void addHeader(evhttp_request *handle, const char *name, const std::string &value)
{
    evhttp_add_header(evhttp_request_get_output_headers(handle), name, value.c_str());
}

bufferevent *transportOf(evhttp_request *handle)
{
    return evhttp_connection_get_bufferevent(evhttp_request_get_connection(handle));
}

} // namespace

HttpExchange::HttpExchange(HttpServer &server, evhttp_request *handle, ServerRequest request)
    : m_server(server)
    , m_handle(handle)
    , m_request(std::move(request))
{
    watchHangUp();
}

HttpExchange::~HttpExchange()
{
    if (m_hangUp != nullptr) {
        event_free(m_hangUp);
    }
}

const ServerRequest &HttpExchange::request() const
{
    return m_request;
}

void HttpExchange::dropBody()
{
    std::string().swap(m_request.body);
}

void HttpExchange::onGone(std::function<void()> hook)
{
    m_gone = std::move(hook);
}

void HttpExchange::reply(const ServerReply &reply)
{
    if (m_handle == nullptr) {
        return;
    }
    addHeader(m_handle, "Content-Type", std::string(reply.contentType));
    for (const auto &[name, value] : reply.headers) {
        addHeader(m_handle, name.c_str(), value);
    }
    addConnectionHeader();
    auto *body = evbuffer_new();
    evbuffer_add(body, reply.body.data(), reply.body.size());
    auto *handle = m_handle;
    finish();
    evhttp_send_reply(handle, reply.status, nullptr, body);
    evbuffer_free(body);
    m_server.answerGiven(*this, evhttp_request_get_connection(handle));
    m_server.partGiven(transportOf(handle));
}

void HttpExchange::stream(std::string_view part)
{
    if (m_handle == nullptr) {
        return;
    }
    startStream();
    auto *chunk = evbuffer_new();
    evbuffer_add(chunk, part.data(), part.size());
    evhttp_send_reply_chunk(m_handle, chunk);
    evbuffer_free(chunk);
    m_server.partGiven(transportOf(m_handle));
}

void HttpExchange::endStream()
{
    if (m_handle == nullptr) {
        return;
    }
    startStream();
    auto *handle = m_handle;
    finish();
    auto &server = m_server;
    auto *transport = transportOf(handle);
    server.answerGiven(*this, evhttp_request_get_connection(handle));
    evhttp_send_reply_end(handle); // may end the connection, and this exchange
    server.partGiven(transport);
}

std::size_t HttpExchange::unsentBytes() const
{
    if (m_handle == nullptr) {
        return 0;
    }
    auto *transport = evhttp_connection_get_bufferevent(evhttp_request_get_connection(m_handle));
    return evbuffer_get_length(bufferevent_get_output(transport));
}

void HttpExchange::startStream()
{
    if (!m_streaming) {
        m_streaming = true;
        watchHangUpOfStream();
        addHeader(m_handle, "Content-Type", "application/x-ndjson");
        addConnectionHeader();
        evhttp_send_reply_start(m_handle, HTTP_OK, nullptr);
    }
}

void HttpExchange::addConnectionHeader()
{
    if (m_server.isDraining()) {
        addHeader(m_handle, "Connection", "close");
    }
}

void HttpExchange::watchHangUp()
{
    auto *connection = evhttp_request_get_connection(m_handle);
    auto *transport = evhttp_connection_get_bufferevent(connection);
    // Reading on would stop the process when the other end sends a second request before the first is answered.
    bufferevent_disable(transport, EV_READ);
    evhttp_connection_set_closecb(connection, &HttpExchange::connectionClosed, this);
    // EV_READ too: libevent reports a reset as readable and never as closed. Edge-triggered, since the bytes of a second request that
    // came early stay in the socket and would make every round of the loop ready.
    m_hangUp = event_new(bufferevent_get_base(transport),
                         bufferevent_getfd(transport),
                         EV_READ | EV_CLOSED | EV_ET | EV_PERSIST,
                         &HttpExchange::checkHangUp,
                         this);
    event_add(m_hangUp, nullptr);
}

void HttpExchange::watchHangUpOfStream()
{
    // The events of one socket are all edge-triggered or none is, and those that write the answer are not.
    event_del(m_hangUp);
    auto *transport = evhttp_connection_get_bufferevent(evhttp_request_get_connection(m_handle));
    event_assign(
        m_hangUp, bufferevent_get_base(transport), bufferevent_getfd(transport), EV_READ | EV_CLOSED, &HttpExchange::checkHangUp, this);
    event_add(m_hangUp, nullptr);
}

void HttpExchange::checkHangUp(int /*socket*/, short /*what*/, void *self)
{
    auto *exchange = static_cast<HttpExchange *>(self);
    if (exchange->m_handle == nullptr) {
        return;
    }
    auto *connection = evhttp_request_get_connection(exchange->m_handle);
    auto *transport = evhttp_connection_get_bufferevent(connection);
    if (hasHungUp(bufferevent_getfd(transport))) {
        evhttp_connection_free(connection);
        return;
    }
    if (!exchange->m_streaming) {
        return; // a second request came early; the end of the connection is another edge
    }
    event_assign(exchange->m_hangUp, bufferevent_get_base(transport), -1, 0, &HttpExchange::checkHangUp, exchange);
    event_add(exchange->m_hangUp, &HangUpCheckInterval);
}

void HttpExchange::connectionClosed(evhttp_connection *connection, void *self)
{
    auto *exchange = static_cast<HttpExchange *>(self);
    exchange->hangUp();
    exchange->m_server.closed(exchange, connection);
}

void HttpExchange::hangUp()
{
    auto *handle = std::exchange(m_handle, nullptr);
    event_del(m_hangUp);
    const auto gone = std::exchange(m_gone, nullptr);
    if (handle == nullptr) {
        return;
    }
    if (gone) {
        gone();
    }
    if (evhttp_request_get_connection(handle) == nullptr) {
        evhttp_request_free(handle);
    }
}

void HttpExchange::finish()
{
    m_handle = nullptr;
    m_gone = nullptr;
    event_del(m_hangUp);
}

} // namespace Sycamoremoor
