// An entry as a task: its sockets and its machine on one event loop.
#pragma once

#include <sycamoremoor/core/entry_machine.h>
#include <sycamoremoor/gateway/key_value_client.h>
#include <sycamoremoor/net/agent_sender.h>
#include <sycamoremoor/net/entry_server.h>
#include <sycamoremoor/net/http_client.h>
#include <sycamoremoor/net/http_server.h>
#include <sycamoremoor/net/machine_driver.h>
#include <sycamoremoor/net/metric_registry.h>
#include <sycamoremoor/net/peer_sender.h>
#include <sycamoremoor/net/platform_task.h>
#include <sycamoremoor/net/random_bits.h>
#include <sycamoremoor/net/refusal_reporter.h>
#include <sycamoremoor/net/router.h>
#include <sycamoremoor/net/stop_watcher.h>

#include <sigc++/signal.h>

#include <cstdint>

namespace Sycamoremoor
{

class EventLoop;

/** What an entry task is told at its start. */
struct EntryTaskSettings {
    EntrySettings machine; ///< the endpoint's port 0 is replaced by the one that was chosen
    Endpoint listen;
    HttpServerSettings server;
    CallerLimits limits;
    KeyValueSettings platform;
};

/** Drives an EntryMachine. Belongs to the loop's thread; others talk to it by EventLoop::post(). */
class EntryTask
{
public:
    /** Listens at once. @throws std::system_error if the address cannot be bound */
    EntryTask(EventLoop &loop, EntryTaskSettings settings);

    /** Begins to work. */
    void start();

    /** Begins a planned stop. More calls do no harm. */
    void drain();

    /** Returns the address that it listens at. */
    [[nodiscard]] const Endpoint &endpoint() const;

    /** Emitted when a planned stop is done and every answer has left; tells what was cut off. */
    sigc::signal<void(std::uint32_t)> &signalStopped();

private:
    using Driver = MachineDriver<EntryMachine, EntryInput, EntryOutput, EntryTask>;
    friend Driver;

    template<typename Output>
    void carryOut(const Output &output);
    void takeInput(EntryInput input);

    RandomBits m_randomBits;
    MetricRegistry m_metrics;
    Router m_router;
    HttpServer m_server;
    RefusalReporter m_refusals;
    HttpClient m_client;
    KeyValueClient m_keyValueClient;
    EntryServer m_entryServer;
    AgentSender m_agentSender;
    PeerSender m_peerSender;
    PlatformTask m_platform;
    StopWatcher m_stopWatcher;
    Driver m_driver;
};

} // namespace Sycamoremoor
