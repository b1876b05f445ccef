// One request that a server has received, until its reply is sent.
#pragma once

#include <sycamoremoor/net/http_type.h>

#include <cstddef>
#include <functional>
#include <string_view>

struct event;
struct evhttp_connection;
struct evhttp_request;

namespace Sycamoremoor
{

class HttpServer;

/** One exchange of a server. It is answered once, whole or as a stream, or its other end hangs up first. */
class HttpExchange
{
public:
    /** Made by HttpServer. */
    HttpExchange(HttpServer &server, evhttp_request *handle, ServerRequest request);
    ~HttpExchange();

    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    [[nodiscard]] const ServerRequest &request() const;

    /** Frees the body of the request, once it was read: an exchange may be open for long. */
    void dropBody();

    /** Sets what is called, once, when the other end hung up before the answer was given. */
    void onGone(std::function<void()> hook);

    /** Sends the whole answer. Without effect when the other end is gone. */
    void reply(const ServerReply &reply);

    /** Sends the head of a streamed answer, when first called, and one part of it. */
    void stream(std::string_view part);

    /** Ends a streamed answer. */
    void endStream();

    /** Returns how much of the answer waits in this process because the other end does not read. */
    [[nodiscard]] std::size_t unsentBytes() const;

private:
    friend class HttpServer;

    void startStream();
    void addConnectionHeader();
    void watchHangUp();
    void watchHangUpOfStream();
    void hangUp();
    void finish();
    static void checkHangUp(int socket, short what, void *self);
    static void connectionClosed(evhttp_connection *connection, void *self);

    HttpServer &m_server;
    evhttp_request *m_handle; ///< nullptr once answered or gone
    ServerRequest m_request;
    std::function<void()> m_gone;
    event *m_hangUp = nullptr;
    bool m_streaming = false;
};

} // namespace Sycamoremoor
