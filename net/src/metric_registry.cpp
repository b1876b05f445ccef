// Counters and histograms of one process, as OpenMetrics text.
#include <sycamoremoor/net/metric_registry.h>

#include <sycamoremoor/core/table/metric_table.h>

#include <boost/histogram.hpp>

#include <array>
#include <sstream>
#include <vector>

namespace Sycamoremoor
{

namespace
{

namespace bh = boost::histogram;

constexpr unsigned Buckets = 24;
constexpr double LeastSeconds = 0.0005;
constexpr double MostSeconds = 120;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = decltype(bh::make_histogram(Axis(Buckets, LeastSeconds, MostSeconds)));

struct MessageCount {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

constexpr std::array<std::string_view, static_cast<std::size_t>(MessageDirection::End)> DirectionNames{"in", "out"};

void writeHistogram(std::ostream &out, const MetricRow &row, const Histogram &histogram, double sum)
{
    out << "# TYPE " << row.name << " histogram\n# UNIT " << row.name << " seconds\n# HELP " << row.name << ' ' << row.help << ".\n";
    double count = histogram.at(-1);
    out << row.name << "_bucket{le=\"" << LeastSeconds << "\"} " << count << '\n';
    for (int bucket = 0; bucket < static_cast<int>(Buckets); ++bucket) {
        count += histogram.at(bucket);
        out << row.name << "_bucket{le=\"" << histogram.axis().value(bucket + 1) << "\"} " << count << '\n';
    }
    count += histogram.at(static_cast<int>(Buckets));
    out << row.name << "_bucket{le=\"+Inf\"} " << count << '\n';
    out << row.name << "_count " << count << '\n' << row.name << "_sum " << sum << '\n';
}

} // namespace

class MetricRegistry::Private
{
public:
    std::array<std::uint64_t, static_cast<std::size_t>(CounterMetric::End)> counters{};
    std::vector<Histogram> histograms{static_cast<std::size_t>(HistogramMetric::End),
                                      bh::make_histogram(Axis(Buckets, LeastSeconds, MostSeconds))};
    std::array<double, static_cast<std::size_t>(HistogramMetric::End)> sums{};
    std::array<std::map<std::string, MessageCount, std::less<>>, static_cast<std::size_t>(MessageDirection::End)> messages;
};

MetricRegistry::MetricRegistry()
    : d(std::make_unique<Private>())
{
}

MetricRegistry::~MetricRegistry() = default;

void MetricRegistry::add(const Count &count)
{
    d->counters.at(static_cast<std::size_t>(count.metric)) += count.by;
}

void MetricRegistry::add(const Observation &observation)
{
    const auto metric = static_cast<std::size_t>(observation.metric);
    d->histograms.at(metric)(observation.value);
    d->sums.at(metric) += observation.value;
}

void MetricRegistry::addMessage(MessageDirection direction, std::string_view path, std::size_t bytes)
{
    auto &messages = d->messages.at(static_cast<std::size_t>(direction));
    auto found = messages.find(path);
    if (found == messages.end()) {
        found = messages.emplace(path, MessageCount()).first;
    }
    ++found->second.messages;
    found->second.bytes += bytes;
}

std::string MetricRegistry::toText() const
{
    std::ostringstream out;
    for (std::size_t metric = 0; metric < CounterTable.size(); ++metric) {
        const auto &row = CounterTable.at(metric);
        out << "# TYPE " << row.name << " counter\n# HELP " << row.name << ' ' << row.help << ".\n";
        out << row.name << "_total " << d->counters.at(metric) << '\n';
    }
    for (std::size_t metric = 0; metric < HistogramTable.size(); ++metric) {
        writeHistogram(out, HistogramTable.at(metric), d->histograms.at(metric), d->sums.at(metric));
    }
    const std::array<MetricRow, 2> rows{{{"sycamoremoor_messages", "HTTP messages by path and direction"},
                                         {"sycamoremoor_message_bytes", "Bytes of bodies by path and direction"}}};
    for (std::size_t rowIndex = 0; rowIndex < rows.size(); ++rowIndex) {
        const auto &row = rows.at(rowIndex);
        out << "# TYPE " << row.name << " counter\n# HELP " << row.name << ' ' << row.help << ".\n";
        for (std::size_t direction = 0; direction < d->messages.size(); ++direction) {
            for (const auto &[path, count] : d->messages.at(direction)) {
                out << row.name << "_total{direction=\"" << DirectionNames.at(direction) << "\",path=\"" << path << "\"} "
                    << (rowIndex == 0 ? count.messages : count.bytes) << '\n';
            }
        }
    }
    out << "# EOF\n";
    return out.str();
}

} // namespace Sycamoremoor
