// A server of HTTP on an event loop.
#pragma once

#include <sycamoremoor/net/http_type.h>

#include <sigc++/signal.h>

#include <functional>
#include <memory>
#include <unordered_map>

struct bufferevent;
struct event_base;
struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace Sycamoremoor
{

class EventLoop;
class HttpExchange;
class ReceiveLimit;

using HttpExchangePointer = std::shared_ptr<HttpExchange>;

/** Receives requests whole and hands them on as exchanges. TCP_NODELAY is set on every connection. */
class HttpServer
{
public:
    using Handler = std::function<void(const HttpExchangePointer &)>;

    /**
     * Listens at once.
     * @param endpoint port 0 chooses a free one
     * @throws std::system_error if the address cannot be bound
     */
    HttpServer(EventLoop &loop, const Endpoint &endpoint, const HttpServerSettings &settings, Handler handler);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Returns the address that it listens at. */
    [[nodiscard]] const Endpoint &endpoint() const;

    /** Asks the other ends to close connections after each answer from now on. New requests are still taken. */
    void drain();

    [[nodiscard]] bool isDraining() const;

    /** Returns how many requests were received whose answers have not left. */
    [[nodiscard]] std::size_t openExchanges() const;

    /** Emitted when the last open exchange ended. */
    sigc::signal<void()> &signalIdle();

private:
    friend class HttpExchange;

    static void requestReceived(evhttp_request *handle, void *self);
    static void requestCompleted(evhttp_request *handle, void *exchange);
    static void idleConnectionClosed(evhttp_connection *connection, void *self);
    static bufferevent *makeConnection(event_base *base, void *self);
    void take(evhttp_request *handle);
    void completed(HttpExchange *exchange, evhttp_connection *connection);
    void closed(HttpExchange *exchange, evhttp_connection *connection);
    void forget(evhttp_connection *connection);
    void release(HttpExchange *exchange);

    EventLoop &m_loop;
    HttpServerSettings m_settings;
    Handler m_handler;
    evhttp *m_server;
    Endpoint m_endpoint;
    bool m_draining = false;
    std::unordered_map<HttpExchange *, HttpExchangePointer> m_exchanges;
    std::unordered_map<bufferevent *, std::unique_ptr<ReceiveLimit>> m_receiving;
    sigc::signal<void()> m_idle;
};

} // namespace Sycamoremoor
