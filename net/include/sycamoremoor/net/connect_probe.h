// Finds out whether anything listens at an endpoint.
#pragma once

#include <sycamoremoor/core/endpoint_type.h>
#include <sycamoremoor/net/timer.h>

#include <functional>

struct event;

namespace Sycamoremoor
{

class EventLoop;

/** Result of a ConnectProbe. */
enum class ProbeResult {
    Accepted,   ///< a connection was opened
    Refused,    ///< the machine answered that nothing listens there
    Unanswered, ///< neither came within the time limit, or the connection failed otherwise
    End,
};

/** Opens one connection and closes it at once. */
class ConnectProbe
{
public:
    using Done = std::function<void(ProbeResult)>;

    /** @param done called once, never from within this constructor; it may destroy the probe */
    ConnectProbe(EventLoop &loop, const Endpoint &endpoint, Duration limit, Done done);
    ~ConnectProbe();

    ConnectProbe(const ConnectProbe &) = delete;
    ConnectProbe &operator=(const ConnectProbe &) = delete;

private:
    static void attemptEnded(int socket, short what, void *self);
    void finish(ProbeResult result);

    Done m_done;
    int m_socket;
    event *m_ended = nullptr;
    ProbeResult m_resultAtLimit = ProbeResult::Unanswered;
    Timer m_limit;
};

} // namespace Sycamoremoor
