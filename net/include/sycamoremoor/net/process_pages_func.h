// Pages that every process serves: metrics, liveness, readiness.
#pragma once

#include <functional>

namespace Sycamoremoor
{

class MetricRegistry;
class Router;

/** Adds /metrics, /healthz and /readyz. */
void addProcessPages(Router &router, const MetricRegistry &metrics, std::function<bool()> isReady);

} // namespace Sycamoremoor
