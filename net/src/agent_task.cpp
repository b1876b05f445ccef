// An agent as a task: its sockets and its machine on one event loop.
#include <sycamoremoor/net/agent_task.h>

#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/net/process_pages_func.h>

#include <sigc++/functors/mem_fun.h>

#include <type_traits>
#include <utility>

namespace Sycamoremoor
{

namespace
{

AgentSettings withPort(AgentSettings settings, std::uint16_t port)
{
    if (settings.endpoint.port == 0) {
        settings.endpoint.port = port;
    }
    return settings;
}

} // namespace

AgentTask::AgentTask(EventLoop &loop, AgentTaskSettings settings)
    : m_router(m_metrics, [this] { return m_randomBits(); })
    , m_server(loop, settings.listen, settings.server, [this](const HttpExchangePointer &exchange) { m_router.route(exchange); })
    , m_refusals(m_server, m_metrics, "listen")
    , m_client(loop)
    , m_agentServer(m_router, m_metrics)
    , m_entrySender(m_client, m_metrics)
    , m_upstream(m_client, settings.machine.upstream)
    , m_stopWatcher(loop, m_server)
    , m_driver(
          loop,
          AgentMachine(withPort(std::move(settings.machine), m_server.endpoint().port)),
          m_metrics,
          [this] { return m_randomBits(); },
          *this)
{
    addProcessPages(m_router, m_metrics, [this] { return m_driver.machine().isReady(); });
    const auto feed = sigc::mem_fun(m_driver, &Driver::feed);
    m_agentServer.signalInput().connect(feed);
    m_entrySender.signalInput().connect(feed);
    m_upstream.signalInput().connect(feed);
}

void AgentTask::start()
{
    m_driver.feed(Tick{});
}

void AgentTask::drain()
{
    m_server.drain();
    m_driver.feed(DrainRequested{});
}

const Endpoint &AgentTask::endpoint() const
{
    return m_server.endpoint();
}

sigc::signal<void(std::uint32_t)> &AgentTask::signalStopped()
{
    return m_stopWatcher.signalStopped();
}

template<typename Output>
void AgentTask::carryOut(const Output &output)
{
    if constexpr (std::is_same_v<Output, Stopped>) {
        m_stopWatcher.machineStopped(output.cutOff);
    } else if constexpr (std::is_same_v<Output, ReportToOwner>) {
        const auto unsent = m_agentServer.report(output);
        if (!unsent.reports.empty() && output.entry.port != 0) {
            m_entrySender.sendReports(output.owner, output.entry, unsent);
        }
    } else if constexpr (std::is_same_v<Output, AnswerProcessStatus>) {
        m_agentServer.carryOut(output);
    } else if constexpr (std::is_same_v<Output, SendHeartbeat> || std::is_same_v<Output, SendLedgerReport>) {
        m_entrySender.carryOut(output);
    } else {
        m_upstream.carryOut(output);
    }
}

} // namespace Sycamoremoor
