// Counts and logs the refusals of a server.
#include <sycamoremoor/net/refusal_reporter.h>

#include "line_budget.h"

#include <sycamoremoor/net/clock_func.h>
#include <sycamoremoor/net/http_server.h>
#include <sycamoremoor/net/log_func.h>
#include <sycamoremoor/net/metric_registry.h>

#include <sigc++/functors/mem_fun.h>

#include <string_view>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr std::uint32_t LinesPerSecond
    = 1; ///< of each kind: a crowd is refused thousands of times a second, and other lines need their room

struct RefusalRow {
    CounterMetric counter;
    std::string_view text;
};

constexpr std::array<RefusalRow, static_cast<std::size_t>(ClientRefusal::End)> Refusals{{
    {CounterMetric::HeadsRefused, "A request is refused: its head is malformed or too large."},
    {CounterMetric::FieldsRefused, "A request is refused: its head has too many fields."},
    {CounterMetric::BodiesRefused, "A request is refused: its body is too large."},
    {CounterMetric::SlowRequestsRefused, "A request is refused: it did not arrive in time."},
    {CounterMetric::ConnectionsClosedForMemory, "A connection is closed: connections hold too much memory."},
    {CounterMetric::ConnectionsClosedForRoom, "A connection is closed: there are too many."},
    {CounterMetric::AcceptsFailed, "No connection can be accepted: the process has no descriptor left."},
}};

} // namespace

RefusalReporter::RefusalReporter(HttpServer &server, MetricRegistry &metrics, std::string listener)
    : m_metrics(metrics)
    , m_listener(std::move(listener))
{
    for (auto &budget : m_budgets) {
        budget = std::make_unique<LineBudget>(LinesPerSecond);
    }
    server.signalRefused().connect(sigc::mem_fun(*this, &RefusalReporter::report));
}

RefusalReporter::~RefusalReporter() = default;

void RefusalReporter::report(ClientRefusal refusal)
{
    const auto &row = Refusals.at(static_cast<std::size_t>(refusal));
    m_metrics.add(Count{row.counter, 1});
    auto &budget = *m_budgets.at(static_cast<std::size_t>(refusal));
    const auto now = monotonicNow();
    if (!budget.take(now)) {
        return;
    }
    writeLog({Severity::Warning,
              "clients",
              std::string(row.text),
              {{"listener", m_listener}, {"others", std::to_string(budget.takeSkipped())}}});
}

} // namespace Sycamoremoor
