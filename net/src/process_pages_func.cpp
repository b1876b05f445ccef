// Pages that every process serves: metrics, liveness, readiness.
#include <sycamoremoor/net/process_pages_func.h>

#include <sycamoremoor/net/http_exchange.h>
#include <sycamoremoor/net/metric_registry.h>
#include <sycamoremoor/net/path_type.h>
#include <sycamoremoor/net/router.h>
#include <sycamoremoor/wire/http_status.h>

#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr std::string_view OpenMetricsType = "application/openmetrics-text; version=1.0.0; charset=utf-8";
constexpr std::string_view TextType = "text/plain; charset=utf-8";

} // namespace

void addProcessPages(Router &router, const MetricRegistry &metrics, std::function<bool()> isReady)
{
    router.add(RequestMethod::Get, Path::Metrics, [&metrics](const RoutedRequest &request) {
        request.exchange->reply({HttpStatus::Ok, metrics.toText(), OpenMetricsType, {}});
    });
    router.add(RequestMethod::Get, Path::Health, [](const RoutedRequest &request) {
        request.exchange->reply({HttpStatus::Ok, "ok\n", TextType, {}});
    });
    router.add(RequestMethod::Get, Path::Ready, [isReady = std::move(isReady)](const RoutedRequest &request) {
        const bool ready = isReady();
        request.exchange->reply({ready ? HttpStatus::Ok : HttpStatus::ServiceUnavailable, ready ? "ready\n" : "not ready\n", TextType, {}});
    });
}

} // namespace Sycamoremoor
