// A server of HTTP on an event loop.
#include <sycamoremoor/net/http_server.h>

#include "server_connection.h"
#include "socket_func.h"

#include <sycamoremoor/net/clock_func.h>
#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/net/http_exchange.h>
#include <sycamoremoor/wire/text_codec.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <mutex>
#include <system_error>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr std::size_t LeastSingleRead = 4'096;
constexpr std::size_t MostSingleRead = 16'384; ///< the library's own default
constexpr std::size_t ClosedTogether = 16;     ///< a share of all connections: a search for the oldest passes all of them
constexpr std::size_t ClosedOfFew = 8;      ///< of a listener that takes few, so that newcomers pass it as fast as NewcomerTime lets them
constexpr std::size_t ClosedOfFewShare = 4; ///< of the connections, at most
constexpr std::size_t LeastBuffer = 2'304;  ///< the least that the system sets
constexpr std::size_t LargeBuffer = 65'536; ///< the system's usual window of a new connection
constexpr Duration RetryInterval = std::chrono::milliseconds(50); ///< while descriptors or room lack: 20 vain attempts a second
constexpr Duration NewcomerTime = std::chrono::milliseconds(250); ///< the request of a connection may come so much later, as on late rounds

constexpr std::array ReadHeaders{ContentTypeHeader, IdempotencyKeyHeader, RequestIdHeader, HostHeader, DeadlineHeader};

RequestMethod methodOf(evhttp_request *handle)
{
    switch (evhttp_request_get_command(handle)) {
    case EVHTTP_REQ_GET:
        return RequestMethod::Get;
    case EVHTTP_REQ_POST:
        return RequestMethod::Post;
    case EVHTTP_REQ_PUT:
        return RequestMethod::Put;
    case EVHTTP_REQ_DELETE:
        return RequestMethod::Delete;
    default:
        return RequestMethod::Other;
    }
}

std::string decodePath(const char *path)
{
    std::size_t length = 0;
    const std::unique_ptr<char, decltype(&std::free)> decoded(evhttp_uridecode(path, 0, &length), &std::free);
    return decoded ? std::string(decoded.get(), length) : std::string();
}

std::map<std::string, std::string> readParameters(const char *query)
{
    std::map<std::string, std::string> parameters;
    evkeyvalq pairs{};
    if (query != nullptr && evhttp_parse_query_str(query, &pairs) == 0) {
        for (auto *pair = pairs.tqh_first; pair != nullptr; pair = pair->next.tqe_next) {
            parameters.emplace(pair->key, pair->value);
        }
    }
    evhttp_clear_headers(&pairs);
    return parameters;
}

std::map<std::string, std::string> readHeaders(evhttp_request *handle)
{
    std::map<std::string, std::string> headers;
    for (const auto name : ReadHeaders) {
        if (const char *value = evhttp_find_header(evhttp_request_get_input_headers(handle), name.data()); value != nullptr) {
            headers.emplace(name, value);
        }
    }
    return headers;
}

std::string readBody(evhttp_request *handle)
{
    auto *buffer = evhttp_request_get_input_buffer(handle);
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, body.data(), body.size());
    return body;
}

/** Returns the path as it was sent: the library takes one that begins with two slashes for the name of a host. */
std::string sentPathOf(evhttp_request *handle)
{
    const std::string_view target = evhttp_request_get_uri(handle);
    if (target.starts_with('/')) {
        return std::string(target.substr(0, target.find_first_of("?#")));
    }
    const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(handle));
    return path == nullptr ? "" : path;
}

ServerRequest readRequest(evhttp_request *handle)
{
    const auto *uri = evhttp_request_get_evhttp_uri(handle);
    const char *path = evhttp_uri_get_path(uri);
    return {methodOf(handle),
            decodePath(path == nullptr ? "" : path),
            sentPathOf(handle),
            readParameters(evhttp_uri_get_query(uri)),
            readHeaders(handle),
            readBody(handle)};
}

/** Servers by the library's handle: its callback for failures of accept has no other argument. */
class ServersByHandle
{
public:
    static ServersByHandle &instance()
    {
        static ServersByHandle servers;
        return servers;
    }

    void set(evhttp *handle, HttpServer *server)
    {
        const std::lock_guard lock(m_mutex);
        m_servers[handle] = server;
    }

    void forget(evhttp *handle)
    {
        const std::lock_guard lock(m_mutex);
        m_servers.erase(handle);
    }

    HttpServer *find(evhttp *handle)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_servers.find(handle);
        return found == m_servers.end() ? nullptr : found->second;
    }

private:
    std::mutex m_mutex;
    std::unordered_map<evhttp *, HttpServer *> m_servers;
};

/** Returns how much is read at once: one read of every connection together holds no more than the server may, if that is possible. */
std::size_t singleReadOf(const HttpServerSettings &settings)
{
    return std::clamp(settings.maxHeldBytes / std::max<std::size_t>(settings.maxConnections, 1), LeastSingleRead, MostSingleRead);
}

/** Returns the settings with no more connections than the bytes in sockets suffice for, with the least buffers. */
HttpServerSettings withinSocketBytes(HttpServerSettings settings)
{
    const auto most = settings.maxSocketBytes / 2 / LeastBuffer;
    settings.maxConnections = std::min(settings.maxConnections, most > 2 * Backlog ? most - Backlog : Backlog);
    return settings;
}

/** Returns how much the system may hold of each connection, accepted or not, with half of the bytes in sockets. */
std::size_t smallBufferOf(const HttpServerSettings &settings)
{
    return std::clamp(settings.maxSocketBytes / 2 / (settings.maxConnections + Backlog), LeastBuffer, LargeBuffer);
}

/** Returns how many connections may have large buffers, with the other half. */
std::size_t mostLargeBuffersOf(const HttpServerSettings &settings)
{
    return settings.maxSocketBytes / 2 / LargeBuffer;
}

} // namespace

HttpServer::HttpServer(EventLoop &loop, const Endpoint &endpoint, const HttpServerSettings &settings, Handler handler)
    : m_loop(loop)
    , m_settings(withinSocketBytes(settings))
    , m_handler(std::move(handler))
    , m_server(evhttp_new(loop.base()))
    , m_tend(event_new(loop.base(), -1, EV_PERSIST, &HttpServer::tendConnections, this))
    , m_retry(loop,
              [this] {
                  m_lacksDescriptors = false;
                  tend();
              })
    , m_endpoint(endpoint)
    , m_rules(std::make_unique<ServerConnectionRules>())
{
    const int listener = listenAt(m_endpoint, smallBufferOf(m_settings));
    auto *bound = listener < 0 ? nullptr : evhttp_accept_socket_with_handle(m_server, listener);
    if (bound == nullptr) {
        const int error = errno;
        event_free(m_tend);
        evhttp_free(m_server);
        throw std::system_error(error, std::generic_category(), "cannot listen at " + endpointToString(endpoint));
    }
    m_listener = evhttp_bound_socket_get_listener(bound);
    ServersByHandle::instance().set(m_server, this);
    evconnlistener_set_error_cb(m_listener, &HttpServer::acceptFailed);
    m_rules->receiveLimit = settings.receiveLimit;
    m_rules->maxHeadFields = settings.maxHeaderFields;
    m_rules->singleRead = singleReadOf(settings);
    m_rules->holds = [this](std::ptrdiff_t bytes) {
        m_held = static_cast<std::size_t>(static_cast<std::ptrdiff_t>(m_held) + bytes);
        if (bytes > 0 && m_held > m_settings.maxHeldBytes) {
            event_active(m_tend, EV_READ, 0);
        }
    };
    m_rules->refused = [this](ServerConnection &connection, ClientRefusal refusal) {
        refused(connection, refusal);
    };
    evhttp_set_allowed_methods(m_server,
                               EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE | EVHTTP_REQ_PUT | EVHTTP_REQ_PATCH | EVHTTP_REQ_HEAD
                                   | EVHTTP_REQ_OPTIONS);
    evhttp_set_max_body_size(m_server, static_cast<ev_ssize_t>(settings.maxBodyBytes));
    evhttp_set_max_headers_size(m_server, static_cast<ev_ssize_t>(settings.maxHeaderBytes));
    evhttp_set_timeout(m_server, static_cast<int>(settings.quietLimit.count()));
    evhttp_set_flags(m_server, EVHTTP_SERVER_LINGERING_CLOSE);
    evhttp_set_bevcb(m_server, &HttpServer::makeConnection, this);
    evhttp_set_gencb(m_server, &HttpServer::requestReceived, this);
}

HttpServer::~HttpServer()
{
    for (const auto &[key, exchange] : m_exchanges) {
        exchange->onGone(nullptr);
    }
    adoptConnections();
    closeRefused();
    m_isPaused = false; // the listener goes before the connections
    ServersByHandle::instance().forget(m_server);
    evhttp_free(m_server);
    event_free(m_tend);
}

const Endpoint &HttpServer::endpoint() const
{
    return m_endpoint;
}

void HttpServer::drain()
{
    m_draining = true;
}

bool HttpServer::isDraining() const
{
    return m_draining;
}

std::size_t HttpServer::openExchanges() const
{
    return m_exchanges.size();
}

sigc::signal<void()> &HttpServer::signalIdle()
{
    return m_idle;
}

sigc::signal<void(ClientRefusal)> &HttpServer::signalRefused()
{
    return m_refusals;
}

std::size_t HttpServer::connections() const
{
    return m_connections.size();
}

void HttpServer::requestReceived(evhttp_request *handle, void *self)
{
    static_cast<HttpServer *>(self)->take(handle);
}

bufferevent *HttpServer::makeConnection(event_base *base, void *self)
{
    auto *server = static_cast<HttpServer *>(self);
    auto *connection = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_incref(connection);
    server->m_accepted.push_back(connection);
    server->m_connections[connection] = std::make_unique<ServerConnection>(server->m_loop, connection, *server->m_rules);
    if (server->m_connections.size() >= server->m_settings.maxConnections) {
        server->pause();
    }
    event_active(server->m_tend, EV_READ, 0); // before anything is read from it
    return connection;
}

void HttpServer::acceptFailed(evconnlistener * /*listener*/, void *http)
{
    const int error = errno;
    auto *server = ServersByHandle::instance().find(static_cast<evhttp *>(http));
    if (server == nullptr) {
        return;
    }
    // Other errors concern one connection only, which is gone.
    if (error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM) {
        server->pause();
        server->m_lacksDescriptors = true;
        server->m_retry.start(RetryInterval);
        server->m_refusals.emit(ClientRefusal::NoDescriptor);
        server->closeOldest();
    }
}

void HttpServer::tendConnections(int /*socket*/, short /*what*/, void *self)
{
    static_cast<HttpServer *>(self)->tend();
}

void HttpServer::tend()
{
    adoptConnections();
    closeRefused();
    closeLargest();
    if (m_connections.size() >= m_settings.maxConnections) {
        closeOldest();
    }
    if (m_connections.size() >= m_settings.maxConnections) {
        m_retry.start(RetryInterval);
    }
    resume();
}

void HttpServer::adoptConnections()
{
    for (auto *transport : std::exchange(m_accepted, {})) {
        bufferevent_event_cb ended = nullptr;
        void *argument = nullptr;
        bufferevent_getcb(transport, nullptr, nullptr, &ended, &argument);
        if (ended == nullptr) {
            m_connections.erase(transport); // the library gave it up
        } else if (const auto found = m_connections.find(transport); found != m_connections.end()) {
            auto *connection = static_cast<evhttp_connection *>(argument);
            found->second->adopt(connection);
            if (m_largeBuffers < mostLargeBuffersOf(m_settings)) {
                ++m_largeBuffers;
                found->second->enlargeBuffers(LargeBuffer);
            }
            evhttp_connection_set_closecb(connection, &HttpServer::idleConnectionClosed, this);
        }
        bufferevent_decref(transport);
    }
}

void HttpServer::refused(ServerConnection &connection, ClientRefusal refusal)
{
    m_refusals.emit(refusal);
    if (refusal == ClientRefusal::TooManyFields && connection.connection() != nullptr) {
        closeSoon(evhttp_connection_get_bufferevent(connection.connection()));
    }
}

void HttpServer::closeSoon(bufferevent *transport)
{
    bufferevent_incref(transport);
    m_refused.push_back(transport);
    event_active(m_tend, EV_READ, 0);
}

void HttpServer::closeRefused()
{
    for (auto *transport : std::exchange(m_refused, {})) {
        if (const auto found = m_connections.find(transport); found != m_connections.end()) {
            evhttp_connection_free(found->second->connection());
        }
        bufferevent_decref(transport);
    }
}

void HttpServer::closeLargest()
{
    while (m_held > m_settings.maxHeldBytes) {
        ServerConnection *largest = nullptr;
        for (const auto &[transport, connection] : m_connections) {
            if (connection->heldBytes() > (largest == nullptr ? 0 : largest->heldBytes()) && connection->maySpare()) {
                largest = connection.get();
            }
        }
        if (largest == nullptr) {
            return; // what is held is on its way to clients that read
        }
        close(*largest, ClientRefusal::TooManyBytes);
    }
}

void HttpServer::closeOldest()
{
    const auto latest = monotonicNow() - NewcomerTime;
    std::vector<ServerConnection *> spared;
    for (const auto &[transport, connection] : m_connections) {
        if (connection->since() <= latest && connection->maySpare()) {
            spared.push_back(connection.get());
        }
    }
    const auto ofFew = std::clamp<std::size_t>(m_connections.size() / ClosedOfFewShare, 1, ClosedOfFew);
    const auto count = std::min(spared.size(), std::max(m_connections.size() / ClosedTogether, ofFew));
    const auto end = spared.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::partial_sort(spared, end, {}, &ServerConnection::since);
    std::for_each(spared.begin(), end, [this](ServerConnection *connection) { close(*connection, ClientRefusal::TooManyConnections); });
}

void HttpServer::close(ServerConnection &connection, ClientRefusal refusal)
{
    m_refusals.emit(refusal);
    evhttp_connection_free(connection.connection());
}

void HttpServer::pause()
{
    m_isPaused = true;
    evconnlistener_disable(m_listener);
}

void HttpServer::resume()
{
    if (m_isPaused && !m_lacksDescriptors && m_connections.size() < m_settings.maxConnections) {
        m_isPaused = false;
        evconnlistener_enable(m_listener);
    }
}

void HttpServer::take(evhttp_request *handle)
{
    auto *transport = evhttp_connection_get_bufferevent(evhttp_request_get_connection(handle));
    setConnectionOptions(bufferevent_getfd(transport), m_settings.unacknowledgedLimit);
    if (const auto found = m_connections.find(transport); found != m_connections.end()) {
        found->second->requestReceived();
        if (found->second->isRefused()) {
            closeSoon(transport); // it was answered already
            return;
        }
    }
    auto exchange = std::make_shared<HttpExchange>(*this, handle, readRequest(handle));
    m_exchanges.emplace(exchange.get(), exchange);
    evhttp_request_set_on_complete_cb(handle, &HttpServer::requestCompleted, exchange.get());
    m_handler(exchange);
}

void HttpServer::requestCompleted(evhttp_request *handle, void *exchange)
{
    auto *completed = static_cast<HttpExchange *>(exchange);
    completed->m_server.completed(completed, evhttp_request_get_connection(handle));
}

void HttpServer::completed(HttpExchange *exchange, evhttp_connection *connection)
{
    evhttp_connection_set_closecb(connection, &HttpServer::idleConnectionClosed, this);
    if (const auto found = m_connections.find(evhttp_connection_get_bufferevent(connection)); found != m_connections.end()) {
        found->second->requestAnswered();
    }
    release(exchange);
}

void HttpServer::partGiven(bufferevent *transport)
{
    if (const auto found = m_connections.find(transport); found != m_connections.end()) {
        found->second->partGiven();
    }
}

void HttpServer::answerGiven(const HttpExchange &exchange, evhttp_connection *connection)
{
    if (const auto found = m_connections.find(evhttp_connection_get_bufferevent(connection)); found != m_connections.end()) {
        found->second->answerGiven(exchange.request().body.size());
    }
}

void HttpServer::idleConnectionClosed(evhttp_connection *connection, void *self)
{
    static_cast<HttpServer *>(self)->forget(connection);
}

void HttpServer::closed(HttpExchange *exchange, evhttp_connection *connection)
{
    forget(connection);
    release(exchange);
}

void HttpServer::forget(evhttp_connection *connection)
{
    if (const auto found = m_connections.find(evhttp_connection_get_bufferevent(connection)); found != m_connections.end()) {
        m_largeBuffers -= found->second->hasLargeBuffers() ? 1 : 0;
        m_connections.erase(found);
    }
    resume();
}

void HttpServer::release(HttpExchange *exchange)
{
    m_exchanges.erase(exchange);
    if (m_exchanges.empty()) {
        m_idle.emit();
    }
}

} // namespace Sycamoremoor
