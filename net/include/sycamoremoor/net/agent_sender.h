// Sends messages of an entry to agents, and reads the reports that stream back.
#pragma once

#include <sycamoremoor/core/entry_input_type.h>
#include <sycamoremoor/core/entry_output_type.h>

#include <sigc++/signal.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Sycamoremoor
{

class HttpClient;
class MetricRegistry;

/** One exchange for each message. It ends when the agent has reported all of its tasks. */
class AgentSender
{
public:
    AgentSender(HttpClient &client, MetricRegistry &metrics);
    ~AgentSender();

    AgentSender(const AgentSender &) = delete;
    AgentSender &operator=(const AgentSender &) = delete;

    /** Emitted for reports and failures. */
    sigc::signal<void(EntryInput)> &signalInput();

    void carryOut(const SendToAgent &output);

    /** Notes reports that came by another way, so that the end of an exchange does not count their tasks as unreported. */
    void reported(const TaskReports &reports);

private:
    struct Exchange;
    using ExchangeNumber = std::uint64_t;

    void received(ExchangeNumber number, std::string_view part);
    void takeLine(Exchange &exchange, std::string_view line);
    void ended(ExchangeNumber number, Delivery delivery);

    HttpClient &m_client;
    MetricRegistry &m_metrics;
    sigc::signal<void(EntryInput)> m_input;
    ExchangeNumber m_lastNumber = 0;
    std::map<ExchangeNumber, std::unique_ptr<Exchange>> m_exchanges;
    std::unordered_multimap<TaskId, ExchangeNumber> m_awaited; ///< tasks that their exchange has not reported as ended
};

} // namespace Sycamoremoor
