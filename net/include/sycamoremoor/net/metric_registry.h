// Counters and histograms of one process, as OpenMetrics text.
#pragma once

#include <sycamoremoor/core/step_type.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Sycamoremoor
{

/** Which way a message went. */
enum class MessageDirection {
    In,
    Out,
    End,
};

/** Everything that one process measures. Belongs to the thread of its task. */
class MetricRegistry
{
public:
    MetricRegistry();
    ~MetricRegistry();

    MetricRegistry(const MetricRegistry &) = delete;
    MetricRegistry &operator=(const MetricRegistry &) = delete;

    /** Adds to a counter. */
    void add(const Count &count);

    /** Adds a value to a histogram. */
    void add(const Observation &observation);

    /** Counts one message of a path with its bytes. */
    void addMessage(MessageDirection direction, std::string_view path, std::size_t bytes);

    /** Returns everything as OpenMetrics text. */
    [[nodiscard]] std::string toText() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sycamoremoor
