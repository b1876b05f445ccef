// Finds out whether anything listens at an endpoint.
#include <sycamoremoor/net/connect_probe.h>

#include "socket_func.h"

#include <sycamoremoor/net/event_loop.h>

#include <event2/event.h>

#include <unistd.h>

#include <cerrno>
#include <utility>

namespace Sycamoremoor
{

ConnectProbe::ConnectProbe(EventLoop &loop, const Endpoint &endpoint, Duration limit, Done done)
    : m_done(std::move(done))
    , m_socket(beginConnect(endpoint))
    , m_limit(loop, [this] { finish(m_resultAtLimit); })
{
    if (m_socket < 0) {
        m_resultAtLimit = errno == ECONNREFUSED ? ProbeResult::Refused : ProbeResult::Unanswered;
        m_limit.start(Duration::zero());
        return;
    }
    m_ended = event_new(loop.base(), m_socket, EV_WRITE, &ConnectProbe::attemptEnded, this);
    event_add(m_ended, nullptr);
    m_limit.start(limit);
}

ConnectProbe::~ConnectProbe()
{
    if (m_ended != nullptr) {
        event_free(m_ended);
    }
    if (m_socket >= 0) {
        close(m_socket);
    }
}

void ConnectProbe::attemptEnded(int socket, short /*what*/, void *self)
{
    auto *probe = static_cast<ConnectProbe *>(self);
    switch (connectError(socket)) {
    case 0:
        probe->finish(ProbeResult::Accepted);
        return;
    case ECONNREFUSED:
        probe->finish(ProbeResult::Refused);
        return;
    default:
        probe->finish(ProbeResult::Unanswered);
        return;
    }
}

void ConnectProbe::finish(ProbeResult result)
{
    m_limit.stop();
    if (const auto done = std::exchange(m_done, nullptr)) {
        done(result);
    }
}

} // namespace Sycamoremoor
