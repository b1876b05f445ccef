// An agent as a task: its sockets and its machine on one event loop.
#pragma once

#include <sycamoremoor/core/agent_machine.h>
#include <sycamoremoor/net/agent_server.h>
#include <sycamoremoor/net/entry_sender.h>
#include <sycamoremoor/net/http_client.h>
#include <sycamoremoor/net/http_server.h>
#include <sycamoremoor/net/machine_driver.h>
#include <sycamoremoor/net/metric_registry.h>
#include <sycamoremoor/net/random_bits.h>
#include <sycamoremoor/net/refusal_reporter.h>
#include <sycamoremoor/net/router.h>
#include <sycamoremoor/net/stop_watcher.h>
#include <sycamoremoor/net/upstream_client.h>

#include <sigc++/signal.h>

#include <cstdint>

namespace Sycamoremoor
{

class EventLoop;

/** What an agent task is told at its start. */
struct AgentTaskSettings {
    AgentSettings machine; ///< the endpoint's port 0 is replaced by the one that was chosen
    Endpoint listen;
    HttpServerSettings server;
};

/** Drives an AgentMachine. Belongs to the loop's thread; others talk to it by EventLoop::post(). */
class AgentTask
{
public:
    /** Listens at once. @throws std::system_error if the address cannot be bound */
    AgentTask(EventLoop &loop, AgentTaskSettings settings);

    /** Begins to work. */
    void start();

    /** Begins a planned stop. More calls do no harm. */
    void drain();

    /** Returns the address that it listens at. */
    [[nodiscard]] const Endpoint &endpoint() const;

    /** Emitted when a planned stop is done and every answer has left; tells what was cut off. */
    sigc::signal<void(std::uint32_t)> &signalStopped();

private:
    using Driver = MachineDriver<AgentMachine, AgentInput, AgentOutput, AgentTask>;
    friend Driver;

    template<typename Output>
    void carryOut(const Output &output);

    RandomBits m_randomBits;
    MetricRegistry m_metrics;
    Router m_router;
    HttpServer m_server;
    RefusalReporter m_refusals;
    HttpClient m_client;
    AgentServer m_agentServer;
    EntrySender m_entrySender;
    UpstreamClient m_upstream;
    StopWatcher m_stopWatcher;
    Driver m_driver;
};

} // namespace Sycamoremoor
