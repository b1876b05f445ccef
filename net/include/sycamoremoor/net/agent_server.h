// The HTTP interface of an agent: turns requests into inputs, and answers into replies.
#pragma once

#include <sycamoremoor/core/agent_input_type.h>
#include <sycamoremoor/core/agent_output_type.h>
#include <sycamoremoor/net/report_exchanges.h>
#include <sycamoremoor/net/router.h>

#include <sigc++/signal.h>

#include <map>

namespace Sycamoremoor
{

/** Takes what entries send to an agent. */
class AgentServer
{
public:
    AgentServer(Router &router, MetricRegistry &metrics);

    /** Emitted for each thing that happened. */
    sigc::signal<void(AgentInput)> &signalInput();

    void carryOut(const AnswerProcessStatus &answer);

    /** Sends reports on open exchanges. @return those that no open exchange waits for */
    TaskReports report(const ReportToOwner &output);

private:
    void takeStart(const RoutedRequest &request);
    void takeStop(const RoutedRequest &request);
    void takeQuery(const RoutedRequest &request);
    void takeStatus(const RoutedRequest &request);

    ReportExchanges m_exchanges;
    sigc::signal<void(AgentInput)> m_input;
    std::uint64_t m_lastConnection = 0;
    std::map<ConnectionId, HttpExchangePointer> m_statusRequests;
};

} // namespace Sycamoremoor
