// Sends messages of an agent to entries.
#pragma once

#include <sycamoremoor/core/agent_input_type.h>
#include <sycamoremoor/core/agent_output_type.h>

#include <sigc++/signal.h>

#include <functional>
#include <string>
#include <string_view>

namespace Sycamoremoor
{

class HttpClient;
class MetricRegistry;
struct ClientResult;

/** One call for each message; its answer becomes the input that fits. */
class EntrySender
{
public:
    EntrySender(HttpClient &client, MetricRegistry &metrics);

    /** Emitted for answers and failures. */
    sigc::signal<void(AgentInput)> &signalInput();

    void carryOut(const SendHeartbeat &output);
    void carryOut(const SendLedgerReport &output);

    /** Reports to an owner by a message of its own. */
    void sendReports(const EntryName &owner, const Endpoint &entry, const TaskReports &reports);

private:
    void send(const Endpoint &entry, std::string_view path, std::string body, std::function<void(const ClientResult &)> done);

    HttpClient &m_client;
    MetricRegistry &m_metrics;
    sigc::signal<void(AgentInput)> m_input;
};

} // namespace Sycamoremoor
