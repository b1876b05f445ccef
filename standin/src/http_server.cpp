// A small HTTP server for stand-ins, on evhttp.
#include "http_server.h"

#include <event2/event.h>
#include <event2/http.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <memory>
#include <system_error>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr int QuietConnectionSeconds = 24 * 3'600;

std::uint16_t boundPort(evutil_socket_t socket)
{
    sockaddr_storage address{};
    socklen_t size = sizeof address;
    getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    if (address.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<const sockaddr_in6 &>(address).sin6_port);
    }
    return ntohs(reinterpret_cast<const sockaddr_in &>(address).sin_port);
}

/** A request on its way from libevent's callback to the handler. */
struct Handover {
    HttpServer::Handler handler;
    HttpExchangePointer exchange;
};

void handOver(evutil_socket_t /*socket*/, short /*what*/, void *argument)
{
    const std::unique_ptr<Handover> handover(static_cast<Handover *>(argument));
    handover->handler(std::move(handover->exchange));
}

} // namespace

HttpServer::HttpServer(event_base *base, const Endpoint &endpoint, Handler handler)
    : m_base(base)
    , m_server(evhttp_new(base))
    , m_handler(std::move(handler))
{
    evhttp_set_allowed_methods(m_server, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE);
    evhttp_set_timeout(m_server, QuietConnectionSeconds);
    evhttp_set_gencb(m_server, &HttpServer::takeRequest, this);
    auto *bound = evhttp_bind_socket_with_handle(m_server, endpoint.host.c_str(), endpoint.port);
    if (bound == nullptr) {
        const auto error = errno;
        evhttp_free(m_server);
        throw std::system_error(error, std::generic_category(), "cannot listen at " + endpoint.host + ":" + std::to_string(endpoint.port));
    }
    const auto socket = evhttp_bound_socket_get_fd(bound);
    const int enable = 1; // accepted sockets inherit it
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
    m_port = boundPort(socket);
}

HttpServer::~HttpServer()
{
    evhttp_free(m_server);
}

std::uint16_t HttpServer::port() const
{
    return m_port;
}

void HttpServer::takeRequest(evhttp_request *request, void *self)
{
    const auto *server = static_cast<HttpServer *>(self);
    auto handover = std::make_unique<Handover>(Handover{server->m_handler, std::make_shared<HttpExchange>(request)});
    const timeval now{};
    event_base_once(server->m_base, -1, EV_TIMEOUT, handOver, handover.release(), &now);
}

} // namespace Sycamoremoor
