// Waits until the last answers of a stopping process have left.
#pragma once

#include <sycamoremoor/net/timer.h>

#include <sigc++/signal.h>

#include <cstdint>

namespace Sycamoremoor
{

class EventLoop;
class HttpServer;

/** Ends a planned stop: connections that are idle for a moment, and no open exchange. */
class StopWatcher
{
public:
    StopWatcher(EventLoop &loop, HttpServer &server);

    /** The machine is done. @param cutOff submissions that were cut off */
    void machineStopped(std::uint32_t cutOff);

    /** Emitted once when every answer has left. */
    sigc::signal<void(std::uint32_t)> &signalStopped();

private:
    void check();

    HttpServer &m_server;
    Timer m_timer;
    std::uint32_t m_cutOff = 0;
    std::uint32_t m_checksLeft = 0;
    std::uint32_t m_quietChecks = 0; ///< consecutive ones without an open exchange
    sigc::signal<void(std::uint32_t)> m_stopped;
};

} // namespace Sycamoremoor
