// A scheduler as a task: its sockets and its machine on one event loop.
#pragma once

#include <sycamoremoor/core/scheduler_machine.h>
#include <sycamoremoor/net/agent_directory.h>
#include <sycamoremoor/net/batch_sender.h>
#include <sycamoremoor/net/cancel_sender.h>
#include <sycamoremoor/net/http_client.h>
#include <sycamoremoor/net/http_server.h>
#include <sycamoremoor/net/machine_driver.h>
#include <sycamoremoor/net/metric_registry.h>
#include <sycamoremoor/net/random_bits.h>
#include <sycamoremoor/net/room_watcher.h>
#include <sycamoremoor/net/router.h>
#include <sycamoremoor/net/stop_watcher.h>
#include <sycamoremoor/platform/front_door.h>

#include <sigc++/signal.h>

namespace Sycamoremoor
{

class EventLoop;

/** What a scheduler task is told at its start. */
struct SchedulerTaskSettings {
    SchedulerSettings machine;
    Endpoint listen;    ///< of its own pages
    Endpoint callers;   ///< where jobs arrive
    Endpoint readiness; ///< where the balancer asks
    Endpoint store;
    std::size_t followedWorkers = GuardSubset::DefaultSize; ///< workers whose capacity it follows, if there are as many
};

/** Drives a SchedulerMachine. Belongs to the loop's thread; others talk to it by EventLoop::post(). */
class SchedulerTask
{
public:
    /** Listens at once. @throws std::system_error if an address cannot be bound */
    SchedulerTask(EventLoop &loop, const SchedulerTaskSettings &settings);

    /** Begins to work. */
    void start();

    /** Begins a planned stop. More calls do no harm. */
    void drain();

    /** Returns the address of its own pages. */
    [[nodiscard]] const Endpoint &endpoint() const;

    /** Emitted when a planned stop is done and every answer has left; tells what was cut off. */
    sigc::signal<void(std::uint32_t)> &signalStopped();

private:
    using Driver = MachineDriver<SchedulerMachine, SchedulerInput, SchedulerOutput, SchedulerTask>;
    friend Driver;

    void carryOut(const SendBatch &output);
    void carryOut(const RenewBatches &output);
    void carryOut(const RecallBatch &output);
    void carryOut(const CancelBatch &output);
    void carryOut(const AnswerQueueJob &output);
    void carryOut(const SpreadCancel &output);
    void carryOut(const AnswerCancel &output);
    void carryOut(const Stopped &output);
    void takeConfig(const PrefixWatcher::Items &items);
    void answerReadiness(const HttpExchangePointer &exchange);

    RandomBits m_randomBits;
    MetricRegistry m_metrics;
    Router m_router;
    HttpServer m_pages;
    HttpServer m_callers;
    HttpServer m_readiness;
    HttpClient m_client;
    FrontDoor m_frontDoor;
    PrefixWatcher m_config;
    AgentDirectory m_directory;
    RoomWatcher m_rooms;
    BatchSender m_batches;
    CancelSender m_cancels;
    StopWatcher m_stopWatcher;
    Driver m_driver;
};

} // namespace Sycamoremoor
