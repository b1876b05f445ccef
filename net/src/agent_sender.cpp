// Sends messages of an entry to agents, and reads the reports that stream back.
#include <sycamoremoor/net/agent_sender.h>

#include <sycamoremoor/net/http_client.h>
#include <sycamoremoor/net/line_reader.h>
#include <sycamoremoor/net/log_func.h>
#include <sycamoremoor/net/metric_registry.h>
#include <sycamoremoor/net/path_type.h>
#include <sycamoremoor/wire/message_codec.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace Sycamoremoor
{

namespace
{

constexpr Duration StartSlack = std::chrono::seconds(30); ///< beyond the last deadline, for the truth about stopped tasks
constexpr Duration StopLimit = std::chrono::seconds(30);
constexpr Duration QueryLimit = std::chrono::seconds(5);

/** What differs between the kinds of message. */
struct MessageShape {
    std::string_view path;
    Duration timeLimit;
    bool newConnection = false;
    std::vector<TaskId> tasks;
    Incarnation agentIncarnation;
};

MessageShape shapeOf(const StartTasks &message)
{
    MessageShape shape{Path::StartTasks, StartSlack, false, {}, message.agentIncarnation};
    for (const auto &start : message.tasks) {
        shape.tasks.push_back(start.task);
        shape.timeLimit = std::max(shape.timeLimit, start.deadline + StartSlack);
    }
    return shape;
}

MessageShape shapeOf(const StopTasks &message)
{
    return {Path::StopTasks, StopLimit, false, message.tasks, message.agentIncarnation};
}

MessageShape shapeOf(const QueryTasks &message)
{
    return {Path::QueryTasks, QueryLimit, true, message.tasks, message.agentIncarnation};
}

} // namespace

/** An open exchange with an agent. */
struct AgentSender::Exchange {
    AgentName agent;
    Incarnation incarnation;
    bool isQuery = false;
    std::vector<TaskId> tasks;
    LineReader lines;
};

AgentSender::AgentSender(HttpClient &client, MetricRegistry &metrics)
    : m_client(client)
    , m_metrics(metrics)
{
}

AgentSender::~AgentSender() = default;

sigc::signal<void(EntryInput)> &AgentSender::signalInput()
{
    return m_input;
}

void AgentSender::carryOut(const SendToAgent &output)
{
    auto shape = std::visit([](const auto &message) { return shapeOf(message); }, output.message);
    ClientCall call;
    call.endpoint = output.endpoint;
    call.path = shape.path;
    call.body = std::visit([](const auto &message) { return encode(message); }, output.message);
    call.timeLimit = shape.timeLimit;
    call.newConnection = shape.newConnection;
    m_metrics.addMessage(MessageDirection::Out, shape.path, call.body.size());
    const auto number = ++m_lastNumber;
    for (const auto &task : shape.tasks) {
        m_awaited.emplace(task, number);
    }
    auto exchange = std::make_unique<Exchange>();
    exchange->agent = output.agent;
    exchange->incarnation = shape.agentIncarnation;
    exchange->isQuery = shape.newConnection;
    exchange->tasks = std::move(shape.tasks);
    m_exchanges.emplace(number, std::move(exchange));
    call.received = [this, number](std::string_view part) {
        received(number, part);
    };
    m_client.send(std::move(call), [this, number](const ClientResult &result) { ended(number, result.delivery); });
}

void AgentSender::received(ExchangeNumber number, std::string_view part)
{
    const auto found = m_exchanges.find(number);
    if (found == m_exchanges.end()) {
        return;
    }
    // A report may make the machine send, and its exchanges change.
    std::vector<std::string> lines;
    found->second->lines.take(part, [&lines](std::string_view line) { lines.emplace_back(line); });
    for (const auto &line : lines) {
        if (const auto open = m_exchanges.find(number); open != m_exchanges.end()) {
            takeLine(*open->second, line);
        }
    }
}

void AgentSender::takeLine(Exchange &exchange, std::string_view line)
{
    TaskReports reports;
    if (const auto error = decode(line, reports)) {
        writeLog({Severity::Error, "net", "Agent " + exchange.agent.value() + " sent no report: " + error->detail});
        return;
    }
    m_metrics.addMessage(MessageDirection::In, Path::TaskReports, line.size());
    if (exchange.isQuery) {
        // A query is answered by any state.
        for (const auto &report : reports.reports) {
            std::erase(exchange.tasks, report.task);
        }
    }
    reported(reports);
    m_input.emit(TaskReportsReceived{std::move(reports)});
}

void AgentSender::reported(const TaskReports &reports)
{
    for (const auto &report : reports.reports) {
        if (!isFinal(report.state)) {
            continue;
        }
        const auto [begin, end] = m_awaited.equal_range(report.task);
        for (auto position = begin; position != end; ++position) {
            if (const auto found = m_exchanges.find(position->second); found != m_exchanges.end()) {
                std::erase(found->second->tasks, report.task);
            }
        }
        m_awaited.erase(begin, end);
    }
}

void AgentSender::ended(ExchangeNumber number, Delivery delivery)
{
    const auto node = m_exchanges.extract(number);
    auto &exchange = *node.mapped();
    for (const auto &task : exchange.tasks) {
        const auto [begin, end] = m_awaited.equal_range(task);
        for (auto position = begin; position != end; ++position) {
            if (position->second == number) {
                m_awaited.erase(position);
                break;
            }
        }
    }
    if (!exchange.tasks.empty()) {
        m_input.emit(AgentSendFailed{exchange.agent, exchange.incarnation, delivery, std::move(exchange.tasks)});
    }
}

} // namespace Sycamoremoor
