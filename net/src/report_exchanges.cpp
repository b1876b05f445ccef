// Open exchanges of an agent's owners that wait for reports of tasks.
#include <sycamoremoor/net/report_exchanges.h>

#include <sycamoremoor/net/http_exchange.h>
#include <sycamoremoor/net/metric_registry.h>
#include <sycamoremoor/net/path_type.h>
#include <sycamoremoor/wire/message_codec.h>

#include <algorithm>
#include <utility>

namespace Sycamoremoor
{

namespace
{

/** Returns a message like @p reports, without its reports. */
TaskReports emptyLike(const TaskReports &reports)
{
    TaskReports empty;
    empty.agent = reports.agent;
    empty.incarnation = reports.incarnation;
    empty.owner = reports.owner;
    empty.queued = reports.queued;
    empty.running = reports.running;
    return empty;
}

} // namespace

ReportExchanges::ReportExchanges(MetricRegistry &metrics)
    : m_metrics(metrics)
{
}

void ReportExchanges::open(const HttpExchangePointer &exchange, const OwnerClaim &right, const std::vector<TaskId> &tasks, bool anyState)
{
    if (tasks.empty()) {
        exchange->endStream();
        return;
    }
    const auto number = ++m_lastNumber;
    m_exchanges.emplace(number, Exchange{exchange, right.owner, right.incarnation, anyState, tasks});
    for (const auto &task : tasks) {
        m_byTask.emplace(task, number);
    }
    exchange->onGone([this, number] { gone(number); });
}

TaskReports ReportExchanges::send(const ReportToOwner &output)
{
    auto unsent = emptyLike(output.reports);
    std::map<ExchangeNumber, TaskReports> batches;
    for (const auto &report : output.reports.reports) {
        const auto number = newestFor(report.task, output.owner, output.reports.owner);
        if (number == 0) {
            unsent.reports.push_back(report);
            continue;
        }
        batches.try_emplace(number, emptyLike(output.reports)).first->second.reports.push_back(report);
    }
    for (const auto &[number, batch] : batches) {
        const auto line = encode(batch) + "\n";
        m_metrics.addMessage(MessageDirection::Out, Path::TaskReports, line.size());
        // Writing may find that the exchange, or another of them, has ended.
        if (const auto found = m_exchanges.find(number); found != m_exchanges.end()) {
            const auto exchange = found->second.exchange;
            exchange->stream(line);
        }
    }
    for (const auto &[number, batch] : batches) {
        for (const auto &report : batch.reports) {
            settle(report, number, output.owner);
        }
    }
    return unsent;
}

ReportExchanges::ExchangeNumber ReportExchanges::newestFor(const TaskId &task, const EntryName &owner, Incarnation incarnation) const
{
    ExchangeNumber newest = 0;
    const auto [begin, end] = m_byTask.equal_range(task);
    for (auto position = begin; position != end; ++position) {
        const auto &exchange = m_exchanges.at(position->second);
        if (exchange.owner == owner && exchange.incarnation == incarnation) {
            newest = std::max(newest, position->second);
        }
    }
    return newest;
}

void ReportExchanges::settle(const TaskReport &report, ExchangeNumber usedExchange, const EntryName &owner)
{
    std::vector<ExchangeNumber> settled;
    const auto [begin, end] = m_byTask.equal_range(report.task);
    for (auto position = begin; position != end; ++position) {
        const auto &exchange = m_exchanges.at(position->second);
        const bool answersQuery = exchange.anyState && position->second == usedExchange;
        if (exchange.owner == owner && (isFinal(report.state) || answersQuery)) {
            settled.push_back(position->second);
        }
    }
    for (const auto number : settled) {
        stopAwaiting(number, report.task);
    }
}

void ReportExchanges::stopAwaiting(ExchangeNumber number, const TaskId &task)
{
    const auto [begin, end] = m_byTask.equal_range(task);
    const auto position = std::find_if(begin, end, [number](const auto &entry) { return entry.second == number; });
    if (position != end) {
        m_byTask.erase(position);
    }
    const auto found = m_exchanges.find(number);
    if (found == m_exchanges.end()) {
        return;
    }
    std::erase(found->second.awaited, task);
    if (found->second.awaited.empty()) {
        const auto exchange = found->second.exchange;
        m_exchanges.erase(found);
        exchange->endStream();
    }
}

void ReportExchanges::gone(ExchangeNumber number)
{
    const auto node = m_exchanges.extract(number);
    if (node.empty()) {
        return;
    }
    for (const auto &task : node.mapped().awaited) {
        const auto [begin, end] = m_byTask.equal_range(task);
        const auto position = std::find_if(begin, end, [number](const auto &entry) { return entry.second == number; });
        if (position != end) {
            m_byTask.erase(position);
        }
    }
}

} // namespace Sycamoremoor
