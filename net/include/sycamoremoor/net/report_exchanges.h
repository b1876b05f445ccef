// Open exchanges of an agent's owners that wait for reports of tasks.
#pragma once

#include <sycamoremoor/core/agent_message_type.h>
#include <sycamoremoor/core/agent_output_type.h>
#include <sycamoremoor/net/http_server.h>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Sycamoremoor
{

class MetricRegistry;

/** Streams each report on the newest exchange that waits for its task, and ends exchanges that wait for nothing. */
class ReportExchanges
{
public:
    explicit ReportExchanges(MetricRegistry &metrics);

    /**
     * Keeps an exchange open until its tasks are reported.
     * @param anyState a report of any state will do, as for a query; else one of an ended task
     */
    void open(const HttpExchangePointer &exchange, const OwnerClaim &right, const std::vector<TaskId> &tasks, bool anyState);

    /**
     * Sends what can be sent.
     * @return the reports that no open exchange waits for
     */
    TaskReports send(const ReportToOwner &output);

private:
    using ExchangeNumber = std::uint64_t;

    struct Exchange {
        HttpExchangePointer exchange;
        EntryName owner;
        Incarnation incarnation;
        bool anyState = false;
        std::vector<TaskId> awaited;
    };

    [[nodiscard]] ExchangeNumber newestFor(const TaskId &task, const EntryName &owner, Incarnation incarnation) const;
    void settle(const TaskReport &report, ExchangeNumber usedExchange, const EntryName &owner);
    void stopAwaiting(ExchangeNumber number, const TaskId &task);
    void gone(ExchangeNumber number);

    MetricRegistry &m_metrics;
    ExchangeNumber m_lastNumber = 0;
    std::map<ExchangeNumber, Exchange> m_exchanges;
    std::unordered_multimap<TaskId, ExchangeNumber> m_byTask;
};

} // namespace Sycamoremoor
