// Sends batches of a scheduler to guards, and reads the reports that stream back.
#include <sycamoremoor/net/batch_sender.h>

#include <sycamoremoor/net/line_reader.h>
#include <sycamoremoor/net/log_func.h>
#include <sycamoremoor/net/metric_registry.h>
#include <sycamoremoor/net/path_type.h>
#include <sycamoremoor/net/timer.h>
#include <sycamoremoor/wire/message_codec.h>

#include <algorithm>
#include <string>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr Duration ConnectLimit = std::chrono::milliseconds(300); ///< guards answer within milliseconds, or not at all
constexpr Duration RenewLimit = std::chrono::milliseconds(300);
constexpr Duration RecallLimit = std::chrono::milliseconds(600); ///< a guard that answers stops the runs within a tenth of a second
constexpr Duration RecallInterval = std::chrono::milliseconds(100);
constexpr Duration ExchangeSlack = std::chrono::seconds(2);            ///< beyond the last run's limit, for the guard to report its stop
constexpr Duration ExchangeLimit = std::chrono::hours(24);             ///< of the client; the exchange's own limit ends it sooner
constexpr int ProjectionSlack = 2;                                     ///< per projected run time, until the exchange counts as silent
constexpr std::string_view ProjectionStart = R"({"projected_order":)"; ///< tells a projection from a report

} // namespace

/** An open exchange with a guard. */
struct BatchSender::Exchange {
    Endpoint endpoint;
    CallNumber call = 0;
    std::size_t unreported = 0;
    LineReader lines;
    std::unique_ptr<Timer> limit;      ///< the exchange counts as silent then
    std::optional<RecallBatch> recall; ///< what the exchange repeats until every run was reported
    std::unique_ptr<Timer> repeat;     ///< sends the recall again
};

BatchSender::BatchSender(EventLoop &loop, HttpClient &client, MetricRegistry &metrics, FindGuard findGuard)
    : m_loop(loop)
    , m_client(client)
    , m_metrics(metrics)
    , m_findGuard(std::move(findGuard))
{
}

BatchSender::~BatchSender() = default;

sigc::signal<void(SchedulerInput)> &BatchSender::signalInput()
{
    return m_input;
}

void BatchSender::carryOut(const SendBatch &output)
{
    const auto number = output.batch.batch;
    const auto endpoint = m_findGuard(output.agent);
    if (!endpoint) {
        writeLog({Severity::Warning, "batches", "Worker " + output.agent.value() + " is not in the directory any more."});
        m_input.emit(BatchInterrupted{number, Delivery::NotSent});
        return;
    }
    ClientCall call;
    call.endpoint = *endpoint;
    call.path = Path::StartBatch;
    call.body = encode(output.batch);
    call.connectLimit = ConnectLimit;
    call.timeLimit = ExchangeLimit;
    auto limit = ExchangeSlack;
    for (const auto &order : output.batch.orders) {
        limit = std::max(limit, order.startWithin + order.runLimit + ExchangeSlack);
    }
    call.received = [this, number](std::string_view part) {
        received(number, part);
    };
    m_metrics.addMessage(MessageDirection::Out, Path::StartBatch, call.body.size());
    auto exchange = std::make_unique<Exchange>();
    exchange->endpoint = *endpoint;
    exchange->unreported = output.batch.orders.size();
    exchange->limit = std::make_unique<Timer>(m_loop, [this, number] { limitPassed(number); });
    exchange->limit->start(limit);
    exchange->call = m_client.send(std::move(call), [this, number](const ClientResult &result) { ended(number, result); });
    m_exchanges[number] = std::move(exchange);
}

void BatchSender::carryOut(const RenewBatches &output)
{
    const auto endpoint = m_findGuard(output.agent);
    if (!endpoint) {
        return;
    }
    ClientCall call;
    call.endpoint = *endpoint;
    call.path = Path::RenewBatches;
    call.body = encode(output.renewal);
    call.connectLimit = ConnectLimit;
    call.timeLimit = RenewLimit;
    m_metrics.addMessage(MessageDirection::Out, Path::RenewBatches, call.body.size());
    m_client.send(std::move(call), [](const ClientResult & /*result*/) {});
}

void BatchSender::carryOut(const RecallBatch &output)
{
    const auto number = output.recall.batch;
    if (const auto open = m_exchanges.find(number); open != m_exchanges.end() && open->second->call != 0) {
        m_client.cancel(open->second->endpoint, open->second->call);
    }
    auto exchange = std::make_unique<Exchange>();
    exchange->recall = output;
    exchange->repeat = std::make_unique<Timer>(m_loop, [this, number] { sendRecall(number); });
    m_exchanges[number] = std::move(exchange);
    sendRecall(number);
}

void BatchSender::sendRecall(BatchNumber batch)
{
    auto &exchange = *m_exchanges.at(batch);
    const auto endpoint = m_findGuard(exchange.recall->agent);
    if (!endpoint) {
        exchange.repeat->start(RecallInterval);
        return;
    }
    ClientCall call;
    call.endpoint = *endpoint;
    call.path = Path::RecallBatch;
    call.body = encode(exchange.recall->recall);
    call.connectLimit = ConnectLimit;
    call.timeLimit = RecallLimit;
    call.received = [this, batch](std::string_view part) {
        received(batch, part);
    };
    m_metrics.addMessage(MessageDirection::Out, Path::RecallBatch, call.body.size());
    exchange.endpoint = *endpoint;
    exchange.unreported = exchange.recall->recall.orders;
    exchange.lines = {};
    exchange.call = m_client.send(std::move(call), [this, batch](const ClientResult & /*result*/) { recallEnded(batch); });
}

void BatchSender::recallEnded(BatchNumber batch)
{
    const auto found = m_exchanges.find(batch);
    if (found == m_exchanges.end()) {
        return;
    }
    if (found->second->unreported == 0) {
        m_exchanges.erase(found);
    } else {
        found->second->call = 0;
        found->second->repeat->start(RecallInterval);
    }
}

void BatchSender::carryOut(const CancelBatch &output)
{
    if (const auto found = m_exchanges.find(output.batch); found != m_exchanges.end()) {
        if (found->second->call != 0) {
            m_client.cancel(found->second->endpoint, found->second->call);
        }
        m_exchanges.erase(found);
    }
}

void BatchSender::received(BatchNumber batch, std::string_view part)
{
    // A report may cancel the exchange, and with it the reader of its lines, or put the recall of the batch in its place.
    if (const auto found = m_exchanges.find(batch); found != m_exchanges.end()) {
        const auto call = found->second->call;
        std::vector<std::string> lines;
        found->second->lines.take(part, [&lines](std::string_view line) { lines.emplace_back(line); });
        for (const auto &line : lines) {
            takeLine(batch, call, line);
        }
    }
}

void BatchSender::takeLine(BatchNumber batch, CallNumber call, std::string_view line)
{
    const auto found = m_exchanges.find(batch);
    if (found == m_exchanges.end() || found->second->call != call) {
        return;
    }
    if (line.starts_with(ProjectionStart)) {
        takeProjection(batch, *found->second, line);
        return;
    }
    RunReport report;
    if (const auto error = decode(line, report)) {
        writeLog({Severity::Error, "batches", "A report cannot be read: " + error->detail + "."});
        return;
    }
    found->second->unreported -= std::min<std::size_t>(found->second->unreported, 1);
    m_input.emit(RunReported{batch, report});
}

void BatchSender::takeProjection(BatchNumber batch, Exchange &exchange, std::string_view line)
{
    RunProjection projection;
    if (const auto error = decode(line, projection)) {
        writeLog({Severity::Error, "batches", "A projection of a run cannot be read: " + error->detail + "."});
        return;
    }
    if (exchange.limit) {
        exchange.limit->start(projection.runTime * ProjectionSlack + ExchangeSlack);
    }
    m_input.emit(RunProjected{batch, projection});
}

void BatchSender::limitPassed(BatchNumber batch)
{
    const auto found = m_exchanges.find(batch);
    if (found == m_exchanges.end()) {
        return;
    }
    m_client.cancel(found->second->endpoint, found->second->call);
    m_passedLimit = std::move(found->second->limit); // its hook is running
    ended(batch, {});
}

void BatchSender::ended(BatchNumber batch, const ClientResult &result)
{
    const auto found = m_exchanges.find(batch);
    if (found == m_exchanges.end()) {
        return;
    }
    const auto unreported = found->second->unreported;
    m_exchanges.erase(found);
    if (unreported > 0) {
        m_input.emit(BatchInterrupted{batch, result.answered ? Delivery::Unknown : result.delivery});
    }
}

} // namespace Sycamoremoor
