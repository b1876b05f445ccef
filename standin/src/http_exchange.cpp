// One HTTP request to a stand-in, on evhttp.
#include "http_exchange.h"

#include <event2/buffer.h>
#include <event2/http.h>

#include <cstdlib>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr int HttpOk = 200;

std::string methodName(evhttp_request *request)
{
    switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    default:
        return "";
    }
}

std::string decodedPath(evhttp_request *request)
{
    const auto *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
    std::size_t size = 0;
    auto *decoded = evhttp_uridecode(path == nullptr ? "" : path, 0, &size);
    std::string text(decoded, size);
    std::free(decoded); // NOLINT(cppcoreguidelines-no-malloc): made by libevent
    return text;
}

std::string takeBody(evhttp_request *request)
{
    auto *buffer = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, body.data(), body.size());
    return body;
}

/** Hands bytes to @p send in a buffer of libevent. */
template<typename Send>
void withBuffer(const std::string &bytes, Send send)
{
    auto *buffer = evbuffer_new();
    evbuffer_add(buffer, bytes.data(), bytes.size());
    send(buffer);
    evbuffer_free(buffer);
}

} // namespace

HttpExchange::HttpExchange(evhttp_request *request)
    : m_request(request)
    , m_method(methodName(request))
    , m_path(decodedPath(request))
    , m_body(takeBody(request))
{
}

HttpExchange::~HttpExchange()
{
    if (m_request == nullptr) {
        return;
    }
    if (auto *connection = evhttp_request_get_connection(m_request); connection != nullptr) {
        evhttp_connection_free(connection);
    } else if (m_streaming) {
        evhttp_send_reply_end(m_request);
    } else {
        evhttp_send_reply(m_request, HttpOk, nullptr, nullptr); // only frees it: its connection is gone
    }
}

const std::string &HttpExchange::method() const
{
    return m_method;
}

const std::string &HttpExchange::path() const
{
    return m_path;
}

const std::string &HttpExchange::body() const
{
    return m_body;
}

void HttpExchange::reply(int status, const std::string &body)
{
    auto *request = std::exchange(m_request, nullptr);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", "application/json");
    withBuffer(body, [request, status](evbuffer *buffer) { evhttp_send_reply(request, status, nullptr, buffer); });
}

void HttpExchange::startStream()
{
    m_streaming = true;
    evhttp_add_header(evhttp_request_get_output_headers(m_request), "Content-Type", "application/json");
    evhttp_send_reply_start(m_request, HttpOk, nullptr);
}

bool HttpExchange::sendChunk(const std::string &chunk)
{
    if (evhttp_request_get_connection(m_request) == nullptr) {
        return false;
    }
    withBuffer(chunk, [this](evbuffer *buffer) { evhttp_send_reply_chunk(m_request, buffer); });
    return true;
}

} // namespace Sycamoremoor
