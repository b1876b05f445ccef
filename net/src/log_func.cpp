// The log: short sentences with the prefix of the part that speaks.
#include <sycamoremoor/net/log_func.h>

#include "line_budget.h"
#include "patient_sink.h"

#include <sycamoremoor/net/clock_func.h>

#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <array>
#include <atomic>
#include <ctime>
#include <mutex>

namespace Sycamoremoor
{

namespace
{

namespace logging = boost::log;

constexpr std::array<std::string_view, static_cast<std::size_t>(Severity::End)> SeverityNames{"debug", "info", "warning", "error"};
constexpr std::array<std::string_view, static_cast<std::size_t>(LogFormat::End)> FormatNames{"text", "json"};
constexpr std::int64_t MicrosecondsPerSecond = 1'000'000;

/** Of each process: a line costs some 20 us, so that logs take at most half a percent of a core. */
constexpr std::uint32_t MostLinesPerSecond = 200;

constexpr std::size_t MaxValueBytes = 4'096; ///< of a field: names that operators choose may be longer than a reader takes

std::mutex budgetMutex;
LineBudget budget(MostLinesPerSecond);

std::atomic<LogFormat> currentFormat{LogFormat::Text};
std::atomic<Severity> currentLevel{Severity::Info};

/** Returns the time in UTC as 2026-01-02T03:04:05.678901Z. */
std::string timestamp(WallTime time)
{
    const auto microseconds = time.time_since_epoch().count();
    const std::time_t seconds = microseconds / MicrosecondsPerSecond;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 64> text{};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text.data() + length, text.size() - length, ".%06lldZ", static_cast<long long>(microseconds % MicrosecondsPerSecond));
    return text.data();
}

std::string boundedValue(const std::string &value)
{
    return value.size() <= MaxValueBytes ? value : value.substr(0, MaxValueBytes) + "...";
}

std::string formatLine(const LogLine &line)
{
    const auto severity = SeverityNames.at(static_cast<std::size_t>(line.severity));
    const auto time = timestamp(wallNow());
    if (currentFormat == LogFormat::Text) {
        auto text = time + " " + std::string(severity) + " " + std::string(line.component) + ": " + line.text;
        for (const auto &[name, value] : line.fields) {
            text.append(" ").append(name).append("=").append(boundedValue(value));
        }
        return text;
    }
    nlohmann::ordered_json json{{"time", time}, {"level", severity}, {"part", line.component}, {"text", line.text}};
    for (const auto &[name, value] : line.fields) {
        json[std::string(name)] = boundedValue(value);
    }
    return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

LogLine leftOutLine(std::uint64_t lines, const std::string &reason)
{
    return {Severity::Warning, "log", std::to_string(lines) + " lines were left out" + reason + "."};
}

template<typename Enum, std::size_t Size>
std::optional<Enum> fromName(const std::array<std::string_view, Size> &names, std::string_view name)
{
    for (std::size_t index = 0; index < Size; ++index) {
        if (names.at(index) == name) {
            return static_cast<Enum>(index);
        }
    }
    return std::nullopt;
}

} // namespace

void startLog(Severity level, LogFormat format)
{
    currentLevel = level;
    currentFormat = format;
    logging::core::get()->remove_all_sinks();
    const auto sink = boost::make_shared<PatientSink>(
        STDOUT_FILENO, [](std::uint64_t lines) { return formatLine(leftOutLine(lines, ", since nobody read them")); });
    logging::core::get()->add_sink(boost::make_shared<logging::sinks::synchronous_sink<PatientSink>>(sink));
}

namespace
{

void putLine(const LogLine &line)
{
    static thread_local logging::sources::severity_logger<Severity> logger;
    if (auto record = logger.open_record(logging::keywords::severity = line.severity); record) {
        logging::record_ostream stream(record);
        stream << formatLine(line);
        stream.flush();
        logger.push_record(boost::move(record));
    }
}

} // namespace

void writeLog(const LogLine &line)
{
    if (line.severity < currentLevel) {
        return;
    }
    std::uint64_t leftOut = 0;
    {
        const std::lock_guard lock(budgetMutex);
        if (!budget.take(monotonicNow())) {
            return;
        }
        leftOut = budget.takeLeftOut();
    }
    if (leftOut > 0) {
        putLine(leftOutLine(leftOut, " to bound the volume"));
    }
    putLine(line);
}

std::string excerptOf(std::string_view text)
{
    constexpr std::size_t MaxBytes = 120;
    return text.size() <= MaxBytes ? std::string(text) : std::string(text.substr(0, MaxBytes)) + "...";
}

std::optional<Severity> severityFromName(std::string_view name)
{
    return fromName<Severity>(SeverityNames, name);
}

std::optional<LogFormat> logFormatFromName(std::string_view name)
{
    return fromName<LogFormat>(FormatNames, name);
}

} // namespace Sycamoremoor
