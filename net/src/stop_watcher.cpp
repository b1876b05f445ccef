// Waits until the last answers of a stopping process have left.
#include <sycamoremoor/net/stop_watcher.h>

#include <sycamoremoor/net/http_server.h>
#include <sycamoremoor/net/log_func.h>

#include <string>

namespace Sycamoremoor
{

namespace
{

constexpr Duration CheckInterval = std::chrono::milliseconds(100);
constexpr std::uint32_t QuietChecks = 3;  ///< without an open exchange, so that a request on its way is still answered
constexpr std::uint32_t MostChecks = 100; ///< an answer that its receiver does not take is given up then

} // namespace

StopWatcher::StopWatcher(EventLoop &loop, HttpServer &server)
    : m_server(server)
    , m_timer(loop, [this] { check(); })
{
}

void StopWatcher::machineStopped(std::uint32_t cutOff)
{
    m_cutOff = cutOff;
    m_checksLeft = MostChecks;
    m_quietChecks = 0;
    m_timer.start(CheckInterval);
}

sigc::signal<void(std::uint32_t)> &StopWatcher::signalStopped()
{
    return m_stopped;
}

void StopWatcher::check()
{
    --m_checksLeft;
    const auto open = m_server.openExchanges();
    m_quietChecks = open > 0 ? 0 : m_quietChecks + 1;
    if (m_quietChecks > QuietChecks || m_checksLeft == 0) {
        if (open > 0) {
            writeLog(
                {Severity::Warning, "drain", "Exchanges were still open when the wait for them ended.", {{"open", std::to_string(open)}}});
        }
        m_stopped.emit(m_cutOff);
        return;
    }
    m_timer.start(CheckInterval);
}

} // namespace Sycamoremoor
