// Tells guards which jobs were cancelled at a scheduler.
#pragma once

#include <sycamoremoor/core/scheduler_output_type.h>
#include <sycamoremoor/net/http_client.h>
#include <sycamoremoor/net/known_guard_type.h>
#include <sycamoremoor/net/timer.h>

#include <sigc++/signal.h>

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace Sycamoremoor
{

class EventLoop;
class MetricRegistry;

/** Tells every known guard of cancelled jobs, repeatedly if it does not answer. Jobs that are cancelled meanwhile leave together. */
class CancelSender
{
public:
    using FindGuards = std::function<KnownGuards()>;

    /** @param findGuards returns the guards that are known now */
    CancelSender(EventLoop &loop, HttpClient &client, MetricRegistry &metrics, FindGuards findGuards);
    ~CancelSender();

    CancelSender(const CancelSender &) = delete;
    CancelSender &operator=(const CancelSender &) = delete;

    /** Emitted once for each cancellation: the guards have confirmed it, or have not in time. */
    sigc::signal<void(SchedulerInput)> &signalInput();

    void carryOut(const SpreadCancel &output);

private:
    struct Cancellation;
    struct Outbox;

    /** Hands the jobs that were cancelled in this round to the outboxes of all guards. */
    void distribute();
    /** Sends what waits for a guard, unless a request to it is open. */
    void send(const AgentName &agent);
    void answered(const AgentName &agent, const std::vector<QueueJobId> &jobs, const ClientResult &result);
    /** Tells what is not confirmed in time, and forgets what guards are no longer told. */
    void expire();
    void startTimer();

    EventLoop &m_loop;
    HttpClient &m_client;
    MetricRegistry &m_metrics;
    FindGuards m_findGuards;
    sigc::signal<void(SchedulerInput)> m_input;
    std::set<QueueJobId> m_new; ///< cancelled in this round
    std::map<QueueJobId, Cancellation> m_cancellations;
    std::map<AgentName, Outbox> m_outboxes;
    Timer m_distributeTimer;
    Timer m_expireTimer;
};

} // namespace Sycamoremoor
