// One connection of a client.
#include "client_connection.h"

#include "socket_func.h"

#include <sycamoremoor/net/clock_func.h>
#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/wire/text_codec.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include <algorithm>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr int LibraryTimeLimitSeconds = 24 * 3'600; ///< our own limits end calls long before
constexpr Duration UnacknowledgedLimit = std::chrono::seconds(4);
constexpr ev_ssize_t MaxAnswerBytes = 256LL << 20U;

evhttp_cmd_type commandOf(RequestMethod method)
{
    switch (method) {
    case RequestMethod::Get:
        return EVHTTP_REQ_GET;
    case RequestMethod::Put:
        return EVHTTP_REQ_PUT;
    case RequestMethod::Delete:
        return EVHTTP_REQ_DELETE;
    default:
        return EVHTTP_REQ_POST;
    }
}

std::string takeBytes(evhttp_request *request)
{
    auto *buffer = evhttp_request_get_input_buffer(request);
    std::string bytes(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, bytes.data(), bytes.size());
    return bytes;
}

void writeRequest(evhttp_request *request, const ClientCall &call)
{
    auto *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", endpointToString(call.endpoint).c_str());
    for (const auto &[name, value] : call.headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    if (call.method == RequestMethod::Post || call.method == RequestMethod::Put) {
        evhttp_add_header(headers, "Content-Type", "application/json");
        evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
    }
}

} // namespace

ClientConnection::ClientConnection(EventLoop &loop, const Endpoint &endpoint, Finished finished)
    : m_endpoint(endpoint)
    , m_finished(std::move(finished))
    , m_connection(evhttp_connection_base_new(loop.base(), nullptr, endpoint.host.c_str(), endpoint.port))
    , m_limit(loop, [this] { limitPassed(); })
{
    evhttp_connection_set_timeout(m_connection, LibraryTimeLimitSeconds);
    evhttp_connection_set_max_body_size(m_connection, MaxAnswerBytes);
    auto *transport = evhttp_connection_get_bufferevent(m_connection);
    evbuffer_add_cb(bufferevent_get_output(transport), &ClientConnection::bytesMoved, this);
}

ClientConnection::~ClientConnection()
{
    close();
}

void ClientConnection::close()
{
    if (m_connection == nullptr) {
        return;
    }
    auto *transport = evhttp_connection_get_bufferevent(m_connection);
    evbuffer_remove_cb(bufferevent_get_output(transport), &ClientConnection::bytesMoved, this);
    evhttp_connection_free(m_connection);
    m_connection = nullptr;
}

void ClientConnection::send(ClientCall call, CallNumber number, HttpClient::Done done)
{
    m_number = number;
    m_call = std::move(call);
    m_done = std::move(done);
    m_idle = false;
    m_sent = false;
    m_startedAt = monotonicNow();
    m_limit.start(std::min(m_call.connectLimit, m_call.timeLimit));
    auto *request = evhttp_request_new(&ClientConnection::answered, this);
    writeRequest(request, m_call);
    if (m_call.received) {
        evhttp_request_set_chunked_cb(request, &ClientConnection::partReceived);
    }
    if (evhttp_make_request(m_connection, request, commandOf(m_call.method), m_call.path.c_str()) != 0) {
        m_limit.start(Duration::zero()); // the hook must not be called from within send()
        return;
    }
    setConnectionOptions(bufferevent_getfd(evhttp_connection_get_bufferevent(m_connection)), UnacknowledgedLimit);
}

bool ClientConnection::isIdle() const
{
    return m_idle;
}

const Endpoint &ClientConnection::endpoint() const
{
    return m_endpoint;
}

CallNumber ClientConnection::number() const
{
    return m_number;
}

MonotonicTime ClientConnection::idleSince() const
{
    return m_idleSince;
}

MonotonicTime ClientConnection::startedAt() const
{
    return m_startedAt;
}

void ClientConnection::bytesMoved(evbuffer * /*buffer*/, const evbuffer_cb_info *info, void *self)
{
    auto *connection = static_cast<ClientConnection *>(self);
    if (info->n_deleted > 0 && !connection->m_sent) {
        connection->m_sent = true;
        connection->m_limit.start(connection->m_call.timeLimit);
    }
}

void ClientConnection::partReceived(evhttp_request *request, void *self)
{
    auto *connection = static_cast<ClientConnection *>(self);
    const auto part = takeBytes(request);
    if (connection->m_idle) {
        return; // the call has ended; the connection is closed in the next round of the loop
    }
    if (evhttp_request_get_response_code(request) == HTTP_OK) {
        const auto received = connection->m_call.received; // the hook may cancel the call, and with it itself
        received(part);
    }
}

void ClientConnection::answered(evhttp_request *request, void *self)
{
    auto *connection = static_cast<ClientConnection *>(self);
    if (connection->m_idle) {
        return;
    }
    const int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
    ClientResult result;
    result.answered = status != 0;
    result.status = status;
    result.disconnected = !result.answered && connection->m_sent;
    if (result.answered) {
        result.body = takeBytes(request);
    }
    const bool reusable = result.answered;
    connection->end(reusable, std::move(result));
}

void ClientConnection::abandon()
{
    m_limit.stop();
    m_idle = true;
    m_number = 0;
    m_call = {};
    m_done = nullptr;
}

void ClientConnection::limitPassed()
{
    if (!m_idle) {
        close(); // else a request that is reported as not sent could still leave in this round of the loop
        end(false, {});
    }
}

void ClientConnection::end(bool reusable, ClientResult result)
{
    m_limit.stop();
    result.delivery = m_sent ? Delivery::Unknown : Delivery::NotSent;
    m_idle = true;
    m_number = 0;
    m_idleSince = monotonicNow();
    m_call = {};
    const auto done = std::exchange(m_done, nullptr);
    m_finished(this, reusable);
    done(std::move(result));
}

} // namespace Sycamoremoor
