// A scheduler as a task: its sockets and its machine on one event loop.
#include "scheduler_task.h"

#include "listener_limits_func.h"

#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/net/http_exchange.h>
#include <sycamoremoor/net/process_pages_func.h>
#include <sycamoremoor/platform/front_door.h>
#include <sycamoremoor/platform/queue_codec.h>
#include <sycamoremoor/platform/store_client.h>
#include <sycamoremoor/wire/http_status.h>

#include <sigc++/functors/mem_fun.h>

#include <memory>
#include <utility>

namespace Sycamoremoor
{

namespace
{

/** A change of configuration is in force within two seconds, even if the watch has gone deaf. */
constexpr PrefixWatchTimes ConfigTimes{std::chrono::milliseconds(900), std::chrono::seconds(10)};

} // namespace

SchedulerTask::SchedulerTask(EventLoop &loop, const SchedulerTaskSettings &settings)
    : m_router(m_metrics, [this] { return m_randomBits(); })
    , m_pages(loop,
              settings.listen,
              listenerSettings(settings.limits, ListenerKind::SchedulerPages),
              [this](const HttpExchangePointer &exchange) { m_router.route(exchange); })
    , m_callers(loop,
                settings.callers,
                listenerSettings(settings.limits, ListenerKind::Callers),
                [this](const HttpExchangePointer &exchange) { m_frontDoor.take(exchange); })
    , m_readiness(loop,
                  settings.readiness,
                  listenerSettings(settings.limits, ListenerKind::Readiness),
                  [this](const HttpExchangePointer &exchange) { answerReadiness(exchange); })
    , m_pageRefusals(m_pages, m_metrics, "listen")
    , m_callerRefusals(m_callers, m_metrics, "callers")
    , m_readinessRefusals(m_readiness, m_metrics, "readiness")
    , m_client(loop)
    , m_frontDoor(m_metrics,
                  jobBytesOf(settings.limits),
                  {[this] { return m_driver.machine().queues(); },
                   [this](const QueueJobId &id) {
                       return m_driver.machine().hasJob(id);
                   }})
    , m_config(loop, makeStoreHooks(m_client, settings.store), ConfigKey, ConfigTimes)
    , m_evacuations(loop, makeStoreHooks(m_client, settings.store), settings.evacuateWithin)
    , m_directory(loop, makeStoreHooks(m_client, settings.store))
    , m_rooms(loop,
              m_client,
              settings.machine.name,
              GuardSubset(settings.machine.name, settings.machine.zone, settings.followedWorkers),
              {[this] { return m_driver.machine().reportInterval(); },
               [this](const AgentName &agent) { return m_driver.machine().isUsing(agent); },
               [this] { return m_driver.machine().missesWorkers(); },
               [this](const ZoneName &zone) {
                   return m_driver.machine().isEvacuated(zone);
               }})
    , m_batches(loop, m_client, m_metrics, [this](const AgentName &agent) { return m_rooms.endpoint(agent); })
    , m_cancels(loop, m_client, m_metrics, [this] { return m_rooms.guards(); })
    , m_stopWatcher(loop, m_callers)
    , m_driver(
          loop, SchedulerMachine(settings.machine), m_metrics, [this] { return m_randomBits(); }, *this)
{
    addProcessPages(m_router, m_metrics, [this] { return m_driver.machine().isReady(); });
    const auto feed = sigc::mem_fun(m_driver, &Driver::feed);
    m_frontDoor.signalInput().connect(feed);
    m_rooms.signalInput().connect(feed);
    m_batches.signalInput().connect(feed);
    m_cancels.signalInput().connect(feed);
    m_config.signalChanged().connect(sigc::mem_fun(*this, &SchedulerTask::takeConfig));
    m_evacuations.signalRead().connect(feed);
    m_directory.signalChanged().connect(sigc::mem_fun(m_rooms, &RoomWatcher::setGuards));
}

void SchedulerTask::start()
{
    m_config.start();
    m_evacuations.start();
    m_directory.start();
    m_driver.feed(Tick{});
}

void SchedulerTask::drain()
{
    m_callers.drain();
    m_driver.feed(DrainRequested{});
}

const Endpoint &SchedulerTask::endpoint() const
{
    return m_pages.endpoint();
}

sigc::signal<void(std::uint32_t)> &SchedulerTask::signalStopped()
{
    return m_stopWatcher.signalStopped();
}

void SchedulerTask::carryOut(const SendBatch &output)
{
    m_batches.carryOut(output);
}

void SchedulerTask::carryOut(const RenewBatches &output)
{
    m_batches.carryOut(output);
}

void SchedulerTask::carryOut(const RecallBatch &output)
{
    m_batches.carryOut(output);
}

void SchedulerTask::carryOut(const CancelBatch &output)
{
    m_batches.carryOut(output);
}

void SchedulerTask::carryOut(const AnswerQueueJob &output)
{
    m_frontDoor.carryOut(output);
}

void SchedulerTask::carryOut(const SpreadCancel &output)
{
    m_cancels.carryOut(output);
}

void SchedulerTask::carryOut(const AnswerCancel &output)
{
    m_frontDoor.carryOut(output);
}

void SchedulerTask::carryOut(const Stopped &output)
{
    m_stopWatcher.machineStopped(output.cutOff);
}

void SchedulerTask::takeConfig(const PrefixWatcher::Items &items)
{
    const auto found = items.find(ConfigKey);
    if (found == items.end()) {
        return; // none was written yet
    }
    if (auto queues = decodeQueues(found->second.value)) {
        m_driver.feed(QueuesRead{std::make_shared<const QueueSet>(std::move(*queues))});
    } else {
        m_metrics.add(Count{CounterMetric::ConfigsUnreadable, 1});
        writeLog({Severity::Error,
                  "config",
                  "The configuration cannot be read; the version before stays in force.",
                  {{"store_version", std::to_string(found->second.version)},
                   {"bytes", std::to_string(found->second.value.size())},
                   {"record", excerptOf(found->second.value)}}});
    }
}

void SchedulerTask::answerReadiness(const HttpExchangePointer &exchange)
{
    const bool ready = m_driver.machine().isReady();
    exchange->reply({ready ? HttpStatus::Ok : HttpStatus::ServiceUnavailable, "{}", "application/json", {}});
}

} // namespace Sycamoremoor
