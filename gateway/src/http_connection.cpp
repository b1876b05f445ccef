// One HTTP connection of a client, on evhttp.
#include <sycamoremoor/gateway/http_connection.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <charconv>
#include <cstring>
#include <utility>

namespace Sycamoremoor
{

namespace
{

/** Our own timers bound every exchange; evhttp's must not end a watch that is merely quiet. */
constexpr int QuietConnectionSeconds = 7 * 24 * 3'600;

constexpr std::array<evhttp_cmd_type, static_cast<std::size_t>(HttpMethod::End)> EvhttpMethods{
    EVHTTP_REQ_GET,
    EVHTTP_REQ_POST,
    EVHTTP_REQ_DELETE,
};

timeval toTimeval(Duration duration)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    return {.tv_sec = seconds.count(), .tv_usec = (duration - seconds).count()};
}

std::string takeAll(evbuffer *buffer)
{
    std::string bytes(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, bytes.data(), bytes.size());
    return bytes;
}

std::string hostHeader(const Endpoint &endpoint)
{
    const auto isIpv6 = endpoint.host.find(':') != std::string::npos;
    return (isIpv6 ? "[" + endpoint.host + "]" : endpoint.host) + ":" + std::to_string(endpoint.port);
}

} // namespace

HttpConnection::HttpConnection(event_base *base, Endpoint endpoint)
    : m_endpoint(std::move(endpoint))
    , m_connection(evhttp_connection_base_new(base, nullptr, m_endpoint.host.c_str(), m_endpoint.port))
    , m_timer(evtimer_new(base, &HttpConnection::timedOut, this))
{
    evhttp_connection_set_timeout(m_connection, QuietConnectionSeconds);
    evbuffer_add_cb(bufferevent_get_output(evhttp_connection_get_bufferevent(m_connection)), &HttpConnection::outputChanged, this);
}

HttpConnection::~HttpConnection()
{
    event_free(m_timer);
    evhttp_connection_free(m_connection);
}

void HttpConnection::send(const HttpRequest &request, Duration timeout, HttpHooks hooks)
{
    m_hooks = std::move(hooks);
    m_mayHaveLeft = false;
    auto *outgoing = evhttp_request_new(&HttpConnection::requestDone, this);
    if (m_hooks.chunk) {
        evhttp_request_set_chunked_cb(outgoing, &HttpConnection::requestChunk);
    }
    auto *headers = evhttp_request_get_output_headers(outgoing);
    evhttp_add_header(headers, "Host", hostHeader(m_endpoint).c_str());
    if (!request.body.empty()) {
        evhttp_add_header(headers, "Content-Type", "application/json");
        evbuffer_add(evhttp_request_get_output_buffer(outgoing), request.body.data(), request.body.size());
    }
    for (const auto &[name, value] : request.headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    if (timeout > Duration::zero()) {
        const auto bound = toTimeval(timeout);
        evtimer_add(m_timer, &bound);
    }
    if (evhttp_make_request(m_connection, outgoing, EvhttpMethods.at(static_cast<std::size_t>(request.method)), request.path.c_str())
        != 0) {
        const timeval now{};
        evtimer_add(m_timer, &now);
        return;
    }
    const int enable = 1;
    if (const auto socket = bufferevent_getfd(evhttp_connection_get_bufferevent(m_connection)); socket >= 0) {
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
    }
}

const Endpoint &HttpConnection::endpoint() const
{
    return m_endpoint;
}

void HttpConnection::requestDone(evhttp_request *request, void *self)
{
    auto *connection = static_cast<HttpConnection *>(self);
    HttpReply reply{.mayHaveLeft = connection->m_mayHaveLeft};
    if (request != nullptr) {
        reply.status = evhttp_request_get_response_code(request);
        reply.body = takeAll(evhttp_request_get_input_buffer(request));
        if (const auto *retryAfter = evhttp_find_header(evhttp_request_get_input_headers(request), "Retry-After"); retryAfter != nullptr) {
            const auto *end = retryAfter + std::strlen(retryAfter);
            std::from_chars(retryAfter, end, reply.retryAfterSeconds);
        }
    }
    connection->end(std::move(reply));
}

void HttpConnection::requestChunk(evhttp_request *request, void *self)
{
    const auto piece = takeAll(evhttp_request_get_input_buffer(request));
    static_cast<HttpConnection *>(self)->m_hooks.chunk(piece);
}

void HttpConnection::outputChanged(evbuffer * /*buffer*/, const evbuffer_cb_info *info, void *self)
{
    if (info->n_deleted > 0) {
        static_cast<HttpConnection *>(self)->m_mayHaveLeft = true;
    }
}

void HttpConnection::timedOut(int /*socket*/, short /*what*/, void *self)
{
    auto *connection = static_cast<HttpConnection *>(self);
    connection->end({.mayHaveLeft = connection->m_mayHaveLeft});
}

void HttpConnection::end(HttpReply reply)
{
    evtimer_del(m_timer);
    if (const auto hooks = std::exchange(m_hooks, {}); hooks.ended) {
        hooks.ended(std::move(reply));
    }
}

} // namespace Sycamoremoor
