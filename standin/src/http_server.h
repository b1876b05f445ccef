// A small HTTP server for stand-ins.
#pragma once

#include "http_exchange.h"

#include <sycamoremoor/core/endpoint_type.h>

#include <cstdint>
#include <functional>

struct event_base;
struct evhttp;
struct evhttp_request;

namespace Sycamoremoor
{

/** Hands every request to one hook, from the event loop and never from within libevent's own request callback. */
class HttpServer
{
public:
    using Handler = std::function<void(HttpExchangePointer)>;

    /**
     * Listens at @p endpoint; port 0 takes a free one.
     * @throws std::system_error if it cannot
     */
    HttpServer(event_base *base, const Endpoint &endpoint, Handler handler);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Returns the port that is listened at. */
    [[nodiscard]] std::uint16_t port() const;

private:
    static void takeRequest(evhttp_request *request, void *self);

    event_base *m_base;
    evhttp *m_server;
    std::uint16_t m_port = 0;
    Handler m_handler;
};

} // namespace Sycamoremoor
