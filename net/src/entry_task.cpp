// An entry as a task: its sockets and its machine on one event loop.
#include <sycamoremoor/net/entry_task.h>

#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/net/process_pages_func.h>

#include <sigc++/functors/mem_fun.h>

#include <type_traits>
#include <utility>

namespace Sycamoremoor
{

namespace
{

EntrySettings withPort(EntrySettings settings, std::uint16_t port)
{
    if (settings.endpoint.port == 0) {
        settings.endpoint.port = port;
    }
    return settings;
}

} // namespace

EntryTask::EntryTask(EventLoop &loop, EntryTaskSettings settings)
    : m_router(m_metrics, [this] { return m_randomBits(); })
    , m_server(loop, settings.listen, settings.server, [this](const HttpExchangePointer &exchange) { m_router.route(exchange); })
    , m_refusals(m_server, m_metrics, "listen")
    , m_client(loop)
    , m_keyValueClient(loop.base(), settings.platform)
    , m_entryServer(m_router, settings.machine.name, settings.machine.incarnation, settings.limits)
    , m_agentSender(m_client, m_metrics)
    , m_peerSender(m_client, m_metrics)
    , m_platform(m_keyValueClient)
    , m_stopWatcher(loop, m_server)
    , m_driver(
          loop,
          EntryMachine(withPort(std::move(settings.machine), m_server.endpoint().port)),
          m_metrics,
          [this] { return m_randomBits(); },
          *this)
{
    addProcessPages(m_router, m_metrics, [this] { return m_driver.machine().isReady(); });
    const auto feed = sigc::mem_fun(m_driver, &Driver::feed);
    m_entryServer.signalInput().connect(sigc::mem_fun(*this, &EntryTask::takeInput));
    m_agentSender.signalInput().connect(feed);
    m_peerSender.signalInput().connect(feed);
    m_platform.signalInput().connect(feed);
}

void EntryTask::start()
{
    m_driver.feed(Tick{});
}

void EntryTask::drain()
{
    m_server.drain();
    m_driver.feed(DrainRequested{});
}

const Endpoint &EntryTask::endpoint() const
{
    return m_server.endpoint();
}

sigc::signal<void(std::uint32_t)> &EntryTask::signalStopped()
{
    return m_stopWatcher.signalStopped();
}

void EntryTask::takeInput(EntryInput input)
{
    if (const auto *received = std::get_if<TaskReportsReceived>(&input)) {
        m_agentSender.reported(received->reports);
    }
    m_driver.feed(std::move(input));
}

template<typename Output>
void EntryTask::carryOut(const Output &output)
{
    if constexpr (std::is_same_v<Output, Stopped>) {
        m_stopWatcher.machineStopped(output.cutOff);
    } else if constexpr (CarriesOut<EntryServer, Output>) {
        m_entryServer.carryOut(output);
    } else if constexpr (std::is_same_v<Output, SendToAgent>) {
        m_agentSender.carryOut(output);
    } else if constexpr (std::is_same_v<Output, SendToPeer>) {
        m_peerSender.carryOut(output);
    } else {
        m_platform.carryOut(output);
    }
}

} // namespace Sycamoremoor
