// A guard as a task: its sockets and its machine on one event loop.
#pragma once

#include "client_limits_type.h"

#include <sycamoremoor/core/guard_machine.h>
#include <sycamoremoor/net/agent_directory.h>
#include <sycamoremoor/net/guard_server.h>
#include <sycamoremoor/net/http_client.h>
#include <sycamoremoor/net/http_server.h>
#include <sycamoremoor/net/machine_driver.h>
#include <sycamoremoor/net/metric_registry.h>
#include <sycamoremoor/net/random_bits.h>
#include <sycamoremoor/net/refusal_reporter.h>
#include <sycamoremoor/net/router.h>
#include <sycamoremoor/net/stop_watcher.h>
#include <sycamoremoor/platform/evacuation_watcher.h>
#include <sycamoremoor/platform/runner_door.h>

#include <sigc++/signal.h>

namespace Sycamoremoor
{

class EventLoop;

/** What a guard task is told at its start. */
struct GuardTaskSettings {
    GuardSettings machine;
    AgentRecord record;     ///< what it publishes of itself
    Endpoint listen;        ///< where schedulers reach it
    Endpoint announcements; ///< where its upstream announces itself
    Endpoint store;
    ClientLimits limits;
};

/** Drives a GuardMachine. Belongs to the loop's thread; others talk to it by EventLoop::post(). */
class GuardTask
{
public:
    /** Listens at once. @throws std::system_error if an address cannot be bound */
    GuardTask(EventLoop &loop, const GuardTaskSettings &settings);

    /** Begins to work. */
    void start();

    /** Begins a planned stop. More calls do no harm. */
    void drain();

    /** Returns the address where schedulers reach it. */
    [[nodiscard]] const Endpoint &endpoint() const;

    /** Emitted when a planned stop is done and every report has left; tells what was cut off. */
    sigc::signal<void(std::uint32_t)> &signalStopped();

private:
    using Driver = MachineDriver<GuardMachine, GuardInput, GuardOutput, GuardTask>;
    friend Driver;

    template<typename Output>
    void carryOut(const Output &output);

    RandomBits m_randomBits;
    MetricRegistry m_metrics;
    Router m_router;
    HttpServer m_server;
    HttpClient m_client;
    GuardServer m_guardServer;
    RunnerDoor m_runnerDoor;
    HttpServer m_announcements;
    RefusalReporter m_peerRefusals;
    RefusalReporter m_announcementRefusals;
    AgentPublisher m_publisher;
    EvacuationWatcher m_evacuations;
    StopWatcher m_stopWatcher;
    Driver m_driver;
};

} // namespace Sycamoremoor
