// One HTTP connection of a client, with one exchange at a time.
#pragma once

#include <sycamoremoor/core/endpoint_type.h>
#include <sycamoremoor/core/time_type.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

struct bufferevent;
struct event;
struct event_base;
struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;
struct evhttp_request;

namespace Sycamoremoor
{

/** Methods that this project uses. */
enum class HttpMethod {
    Get,
    Post,
    Delete,
    End,
};

/** What is asked of a server. */
struct HttpRequest {
    HttpMethod method = HttpMethod::Post;
    std::string path; ///< with query, percent-encoded where needed
    std::string body; ///< JSON, or empty
    std::map<std::string, std::string> headers;
};

/** How an exchange ended. */
struct HttpReply {
    int status = 0;           ///< of HTTP; zero if no answer came
    bool mayHaveLeft = false; ///< some of the request left this process
    std::string body;
    std::uint32_t retryAfterSeconds = 0; ///< value of Retry-After, zero if none
};

/** Hooks of one exchange. */
struct HttpHooks {
    std::function<void(HttpReply)> ended;           ///< called once; the connection must not be destroyed from within it
    std::function<void(const std::string &)> chunk; ///< if set, takes the body piece by piece
};

/** Owns a socket with TCP_NODELAY. After a reply without a status the connection is of no more use. */
class HttpConnection
{
public:
    HttpConnection(event_base *base, Endpoint endpoint);
    /** Closes the socket; the hooks of an open exchange are not called. */
    ~HttpConnection();

    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /** Sends @p request. @param timeout bound of the exchange; zero means none */
    void send(const HttpRequest &request, Duration timeout, HttpHooks hooks);

    [[nodiscard]] const Endpoint &endpoint() const;

private:
    static void requestDone(evhttp_request *request, void *self);
    static void requestChunk(evhttp_request *request, void *self);
    static void outputChanged(evbuffer *buffer, const evbuffer_cb_info *info, void *self);
    static void timedOut(int socket, short what, void *self);
    void end(HttpReply reply);

    Endpoint m_endpoint;
    evhttp_connection *m_connection = nullptr;
    event *m_timer = nullptr;
    bool m_mayHaveLeft = false;
    HttpHooks m_hooks;
};

} // namespace Sycamoremoor
