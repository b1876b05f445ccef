// Metrics as OpenMetrics text.
#include <sycamoremoor/core/table/metric_table.h>
#include <sycamoremoor/net/metric_registry.h>

#include <gtest/gtest.h>

namespace Sycamoremoor
{

TEST(MetricRegistryTest, NamesEveryMetricAndEnds)
{
    const MetricRegistry metrics;
    const auto text = metrics.toText();
    for (const auto &row : CounterTable) {
        EXPECT_NE(text.find(std::string(row.name) + "_total 0\n"), std::string::npos) << row.name;
    }
    for (const auto &row : HistogramTable) {
        EXPECT_NE(text.find(std::string(row.name) + "_bucket{le=\"+Inf\"} 0\n"), std::string::npos) << row.name;
    }
    EXPECT_TRUE(text.ends_with("# EOF\n"));
}

TEST(MetricRegistryTest, CountsWhatWasAdded)
{
    MetricRegistry metrics;
    metrics.add(Count{CounterMetric::TasksSent, 3});
    for (const double seconds : {0.0001, 0.01, 1'000.0}) {
        metrics.add(Observation{HistogramMetric::JobSeconds, seconds});
    }
    metrics.addMessage(MessageDirection::In, "/v1/jobs", 10);
    metrics.addMessage(MessageDirection::In, "/v1/jobs", 5);
    const auto text = metrics.toText();
    EXPECT_NE(text.find("sycamoremoor_tasks_sent_total 3\n"), std::string::npos);
    EXPECT_NE(text.find("sycamoremoor_job_seconds_bucket{le=\"0.0005\"} 1\n"), std::string::npos);
    EXPECT_NE(text.find("sycamoremoor_job_seconds_bucket{le=\"+Inf\"} 3\n"), std::string::npos);
    EXPECT_NE(text.find("sycamoremoor_job_seconds_count 3\n"), std::string::npos);
    EXPECT_NE(text.find("sycamoremoor_messages_total{direction=\"in\",path=\"/v1/jobs\"} 2\n"), std::string::npos);
    EXPECT_NE(text.find("sycamoremoor_message_bytes_total{direction=\"in\",path=\"/v1/jobs\"} 15\n"), std::string::npos);
}

} // namespace Sycamoremoor
