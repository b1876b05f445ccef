// Counts and logs the refusals of a server.
#pragma once

#include <sycamoremoor/net/client_refusal_type.h>

#include <sigc++/trackable.h>

#include <array>
#include <cstddef>
#include <memory>
#include <string>

namespace Sycamoremoor
{

class HttpServer;
class LineBudget;
class MetricRegistry;

/** Counts every refusal of a server, and logs one of each kind a second. */
class RefusalReporter : public sigc::trackable
{
public:
    /** @param listener name of the server in the log */
    RefusalReporter(HttpServer &server, MetricRegistry &metrics, std::string listener);
    ~RefusalReporter();

    RefusalReporter(const RefusalReporter &) = delete;
    RefusalReporter &operator=(const RefusalReporter &) = delete;

private:
    void report(ClientRefusal refusal);

    MetricRegistry &m_metrics;
    std::string m_listener;
    std::array<std::unique_ptr<LineBudget>, static_cast<std::size_t>(ClientRefusal::End)> m_budgets;
};

} // namespace Sycamoremoor
