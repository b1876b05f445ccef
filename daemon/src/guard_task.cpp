// A guard as a task: its sockets and its machine on one event loop.
#include "guard_task.h"

#include "listener_limits_func.h"

#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/net/process_pages_func.h>
#include <sycamoremoor/platform/store_client.h>

#include <sigc++/functors/mem_fun.h>

#include <type_traits>

namespace Sycamoremoor
{

GuardTask::GuardTask(EventLoop &loop, const GuardTaskSettings &settings)
    : m_router(m_metrics, [this] { return m_randomBits(); })
    , m_server(loop,
               settings.listen,
               listenerSettings(settings.limits, ListenerKind::GuardPeers),
               [this](const HttpExchangePointer &exchange) { m_router.route(exchange); })
    , m_client(loop)
    , m_guardServer(loop, m_router, m_metrics)
    , m_runnerDoor(loop, m_client, m_metrics)
    , m_announcements(loop,
                      settings.announcements,
                      listenerSettings(settings.limits, ListenerKind::Announcements),
                      [this](const HttpExchangePointer &exchange) { m_runnerDoor.take(exchange); })
    , m_peerRefusals(m_server, m_metrics, "listen")
    , m_announcementRefusals(m_announcements, m_metrics, "announcements")
    , m_publisher(loop, makeStoreHooks(m_client, settings.store), settings.record)
    , m_evacuations(loop, makeStoreHooks(m_client, settings.store), settings.machine.evacuateWithin)
    , m_stopWatcher(loop, m_server)
    , m_driver(
          loop, GuardMachine(settings.machine), m_metrics, [this] { return m_randomBits(); }, *this)
{
    addProcessPages(m_router, m_metrics, [this] { return m_driver.machine().isAccepting(); });
    const auto feed = sigc::mem_fun(m_driver, &Driver::feed);
    m_guardServer.signalInput().connect(feed);
    m_runnerDoor.signalInput().connect(feed);
    m_evacuations.signalRead().connect(feed);
}

void GuardTask::start()
{
    m_publisher.start();
    m_evacuations.start();
    m_driver.feed(Tick{});
}

void GuardTask::drain()
{
    m_driver.feed(DrainRequested{});
}

const Endpoint &GuardTask::endpoint() const
{
    return m_server.endpoint();
}

sigc::signal<void(std::uint32_t)> &GuardTask::signalStopped()
{
    return m_stopWatcher.signalStopped();
}

template<typename Output>
void GuardTask::carryOut(const Output &output)
{
    if constexpr (std::is_same_v<Output, Stopped>) {
        m_guardServer.endWatches();
        m_stopWatcher.machineStopped(output.cutOff);
    } else if constexpr (CarriesOut<GuardServer, Output>) {
        m_guardServer.carryOut(output);
    } else {
        m_runnerDoor.carryOut(output);
    }
}

} // namespace Sycamoremoor
