// A server of HTTP on an event loop.
#pragma once

#include <sycamoremoor/net/client_refusal_type.h>
#include <sycamoremoor/net/http_type.h>
#include <sycamoremoor/net/timer.h>

#include <sigc++/signal.h>

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

struct bufferevent;
struct evconnlistener;
struct event;
struct event_base;
struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace Sycamoremoor
{

class EventLoop;
class HttpExchange;
class ServerConnection;
struct ServerConnectionRules;

using HttpExchangePointer = std::shared_ptr<HttpExchange>;

/**
 * Receives requests whole and hands them on as exchanges. TCP_NODELAY is set on every connection. What clients may make it hold is bounded, see
 * docs/design/client-limits.md.
 */
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

    /** Emitted when a request was refused or a connection closed for its limits. */
    sigc::signal<void(ClientRefusal)> &signalRefused();

    /** Returns how many connections are open. */
    [[nodiscard]] std::size_t connections() const;

private:
    friend class HttpExchange;

    static void requestReceived(evhttp_request *handle, void *self);
    static void requestCompleted(evhttp_request *handle, void *exchange);
    static void idleConnectionClosed(evhttp_connection *connection, void *self);
    static bufferevent *makeConnection(event_base *base, void *self);
    static void acceptFailed(evconnlistener *listener, void *http);
    static void tendConnections(int socket, short what, void *self);
    void take(evhttp_request *handle);
    void partGiven(bufferevent *transport);
    void answerGiven(const HttpExchange &exchange, evhttp_connection *connection);
    void refused(ServerConnection &connection, ClientRefusal refusal);
    void closeSoon(bufferevent *transport);
    void tend();
    void adoptConnections();
    void closeRefused();
    void closeLargest();
    void closeOldest();
    void close(ServerConnection &connection, ClientRefusal refusal);
    void pause();
    void resume();
    void completed(HttpExchange *exchange, evhttp_connection *connection);
    void closed(HttpExchange *exchange, evhttp_connection *connection);
    void forget(evhttp_connection *connection);
    void release(HttpExchange *exchange);

    EventLoop &m_loop;
    HttpServerSettings m_settings;
    Handler m_handler;
    evhttp *m_server;
    evconnlistener *m_listener = nullptr;
    event *m_tend; ///< active when connections are to be adopted or closed
    Timer m_retry;
    Endpoint m_endpoint;
    bool m_draining = false;
    bool m_isPaused = false;         ///< accepts nothing
    bool m_lacksDescriptors = false; ///< accepts nothing until m_retry fires
    std::size_t m_held = 0;
    std::size_t m_largeBuffers = 0; ///< connections that have them
    std::unique_ptr<ServerConnectionRules> m_rules;
    std::vector<bufferevent *> m_accepted; ///< not adopted yet, referenced
    std::vector<bufferevent *> m_refused;  ///< to be closed, referenced
    std::unordered_map<HttpExchange *, HttpExchangePointer> m_exchanges;
    std::unordered_map<bufferevent *, std::unique_ptr<ServerConnection>> m_connections;
    sigc::signal<void()> m_idle;
    sigc::signal<void(ClientRefusal)> m_refusals;
};

} // namespace Sycamoremoor
