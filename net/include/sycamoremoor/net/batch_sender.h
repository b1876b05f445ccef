// Sends batches of a scheduler to guards, and reads the reports that stream back.
#pragma once

#include <sycamoremoor/core/scheduler_output_type.h>
#include <sycamoremoor/net/http_client.h>

#include <sigc++/signal.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace Sycamoremoor
{

class EventLoop;
class MetricRegistry;
class Timer;

/**
 * One exchange for each batch. It lasts until every run of the batch was reported; closing it stops what is left.
 * The recall of a batch is repeated until every run was reported.
 */
class BatchSender
{
public:
    using FindGuard = std::function<std::optional<Endpoint>(const AgentName &)>;

    /** @param findGuard tells where the guard of a worker listens */
    BatchSender(EventLoop &loop, HttpClient &client, MetricRegistry &metrics, FindGuard findGuard);
    ~BatchSender();

    BatchSender(const BatchSender &) = delete;
    BatchSender &operator=(const BatchSender &) = delete;

    /** Emitted for reports and broken exchanges. */
    sigc::signal<void(SchedulerInput)> &signalInput();

    void carryOut(const SendBatch &output);
    void carryOut(const RenewBatches &output);
    void carryOut(const RecallBatch &output);
    void carryOut(const CancelBatch &output);

private:
    struct Exchange;

    void sendRecall(BatchNumber batch);
    void recallEnded(BatchNumber batch);
    void received(BatchNumber batch, std::string_view part);
    /** Takes a line of the answer to @p call, unless another call has taken its place. */
    void takeLine(BatchNumber batch, CallNumber call, std::string_view line);
    void takeProjection(BatchNumber batch, Exchange &exchange, std::string_view line);
    void limitPassed(BatchNumber batch);
    void ended(BatchNumber batch, const ClientResult &result);

    EventLoop &m_loop;
    HttpClient &m_client;
    MetricRegistry &m_metrics;
    FindGuard m_findGuard;
    sigc::signal<void(SchedulerInput)> m_input;
    std::map<BatchNumber, std::unique_ptr<Exchange>> m_exchanges;
    std::unique_ptr<Timer> m_passedLimit; ///< of the exchange that was last silent for too long
};

} // namespace Sycamoremoor
