// Pages that every process serves: metrics, liveness, readiness.
#include <sycamoremoor/net/process_pages_func.h>

#include <sycamoremoor/net/http_exchange.h>
#include <sycamoremoor/net/metric_registry.h>
#include <sycamoremoor/net/path_type.h>
#include <sycamoremoor/net/router.h>

#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr std::string_view OpenMetricsType = "application/openmetrics-text; version=1.0.0; charset=utf-8";
constexpr std::string_view TextType = "text/plain; charset=utf-8";
constexpr int HttpOk = 200;
constexpr int HttpUnavailable = 503;

} // namespace

void addProcessPages(Router &router, const MetricRegistry &metrics, std::function<bool()> isReady)
{
    router.add(RequestMethod::Get, Path::Metrics, [&metrics](const RoutedRequest &request) {
        request.exchange->reply({HttpOk, metrics.toText(), OpenMetricsType, {}});
    });
    router.add(RequestMethod::Get, Path::Health, [](const RoutedRequest &request) {
        request.exchange->reply({HttpOk, "ok\n", TextType, {}});
    });
    router.add(RequestMethod::Get, Path::Ready, [isReady = std::move(isReady)](const RoutedRequest &request) {
        const bool ready = isReady();
        request.exchange->reply({ready ? HttpOk : HttpUnavailable, ready ? "ready\n" : "not ready\n", TextType, {}});
    });
}

} // namespace Sycamoremoor
