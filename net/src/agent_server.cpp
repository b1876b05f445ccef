// The HTTP interface of an agent: turns requests into inputs, and answers into replies.
#include <sycamoremoor/net/agent_server.h>

#include "internal_request_func.h"

#include <sycamoremoor/net/path_type.h>

#include <utility>

namespace Sycamoremoor
{

AgentServer::AgentServer(Router &router, MetricRegistry &metrics)
    : m_exchanges(metrics)
{
    router.add(RequestMethod::Post, Path::StartTasks, [this](const RoutedRequest &request) { takeStart(request); });
    router.add(RequestMethod::Post, Path::StopTasks, [this](const RoutedRequest &request) { takeStop(request); });
    router.add(RequestMethod::Post, Path::QueryTasks, [this](const RoutedRequest &request) { takeQuery(request); });
    router.add(RequestMethod::Get, Path::Status, [this](const RoutedRequest &request) { takeStatus(request); });
}

sigc::signal<void(AgentInput)> &AgentServer::signalInput()
{
    return m_input;
}

void AgentServer::takeStart(const RoutedRequest &request)
{
    StartTasks message;
    if (!decodeOrRefuse(request, message)) {
        return;
    }
    std::vector<TaskId> tasks;
    tasks.reserve(message.tasks.size());
    for (const auto &start : message.tasks) {
        tasks.push_back(start.task);
    }
    m_exchanges.open(request.exchange, message.claim, tasks, false);
    m_input.emit(StartTasksReceived{std::move(message)});
}

void AgentServer::takeStop(const RoutedRequest &request)
{
    if (StopTasks message; decodeOrRefuse(request, message)) {
        m_exchanges.open(request.exchange, message.claim, message.tasks, false);
        m_input.emit(StopTasksReceived{std::move(message)});
    }
}

void AgentServer::takeQuery(const RoutedRequest &request)
{
    if (QueryTasks message; decodeOrRefuse(request, message)) {
        m_exchanges.open(request.exchange, message.claim, message.tasks, true);
        m_input.emit(QueryTasksReceived{std::move(message)});
    }
}

void AgentServer::takeStatus(const RoutedRequest &request)
{
    const ConnectionId connection(++m_lastConnection);
    m_statusRequests.emplace(connection, request.exchange);
    request.exchange->onGone([this, connection] { m_statusRequests.erase(connection); });
    m_input.emit(AgentStatusRequested{connection});
}

void AgentServer::carryOut(const AnswerProcessStatus &answer)
{
    const auto node = m_statusRequests.extract(answer.connection);
    if (!node.empty()) {
        node.mapped()->reply({200, encode(answer.status), "application/json", {}});
    }
}

TaskReports AgentServer::report(const ReportToOwner &output)
{
    return m_exchanges.send(output);
}

} // namespace Sycamoremoor
