// Command load: drives entries with a seeded load and reports what was measured.
#include "commands.h"
#include "load_driver.h"
#include "options.h"
#include "text_table.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace Sycamoremoor
{

using Json = nlohmann::ordered_json;

namespace
{

constexpr std::string_view QueryPath = "/internal/v1/query-tasks";
constexpr std::string_view StartPath = "/internal/v1/start-tasks";

/** Everything that was measured. */
struct Measured {
    std::vector<PlannedJob> plan;
    std::vector<Duration> ideal;
    std::vector<JobOutcome> outcomes;
    MessageCounts messages;
    std::vector<std::string> broken;
    std::size_t starts = 0;
};

double quantile(std::vector<double> sorted, double share)
{
    std::sort(sorted.begin(), sorted.end());
    return sorted.empty() ? 0 : sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(share * static_cast<double>(sorted.size())))];
}

/** Returns response over ideal of the complete jobs with @p least to @p most tasks. */
std::vector<double> ratios(const Measured &measured, Duration hops, std::size_t least, std::size_t most)
{
    std::vector<double> values;
    for (std::size_t index = 0; index < measured.plan.size(); ++index) {
        const auto &outcome = measured.outcomes[index];
        const auto tasks = measured.plan[index].tasks.size();
        if (outcome.answered && outcome.error == ErrorKind::None && tasks >= least && tasks <= most) {
            const auto ideal = measured.ideal[index] + hops;
            values.push_back(static_cast<double>(outcome.response.count()) / static_cast<double>(ideal.count()));
        }
    }
    return values;
}

Json quantiles(const std::vector<double> &values)
{
    return {{"jobs", values.size()},
            {"p50", quantile(values, 0.5)},
            {"p90", quantile(values, 0.9)},
            {"p99", quantile(values, 0.99)},
            {"max", quantile(values, 1)}};
}

Json responseReport(const Measured &measured, Duration hops)
{
    auto report = quantiles(ratios(measured, hops, 0, SIZE_MAX));
    report["by_tasks"] = {{"1-4", quantiles(ratios(measured, hops, 1, 4))},
                          {"5-16", quantiles(ratios(measured, hops, 5, 16))},
                          {"17-60", quantiles(ratios(measured, hops, 17, SIZE_MAX))}};
    return report;
}

/**
 * Returns how many messages the requests of one path were. A request and its response are two, but a start's response is
 * the reports that stream back, each received one being counted at its own path.
 */
double messagesOf(const std::string &path, double requests, const std::map<std::string, double> &streamed)
{
    if (path == StartPath) {
        return requests;
    }
    const auto found = streamed.find(path);
    const auto streams = found == streamed.end() ? 0 : std::min(requests, found->second);
    return streams + (2 * (requests - streams));
}

/** Wasted are refused tasks with their reports, reports that changed nothing, and queries. Heartbeats are left out of the sums. */
Json messageReport(const Measured &measured)
{
    Json byKind = Json::object();
    double total = 0;
    for (const auto &[path, requests] : measured.messages.byPath) {
        const auto messages = messagesOf(path, requests, measured.messages.reports);
        byKind[path] = messages;
        total += path.find("heartbeat") == std::string::npos ? messages : 0;
    }
    const auto counter = [&measured](const std::string &name) {
        const auto found = measured.messages.counters.find("sycamoremoor_" + name + "_total");
        return found == measured.messages.counters.end() ? 0.0 : found->second;
    };
    const auto queries = measured.messages.byPath.find(std::string(QueryPath));
    const auto queryMessages = queries == measured.messages.byPath.end() ? 0.0 : 2 * queries->second;
    const auto wasted = (2 * counter("tasks_refused")) + counter("reports_duplicate") + queryMessages;
    const auto tasks = static_cast<double>(std::max<std::size_t>(measured.starts, 1));
    return {{"per_task", total / tasks}, {"wasted_share", total == 0 ? 0 : wasted / total}, {"total", total}, {"by_kind", byKind}};
}

Json answerReport(const Measured &measured)
{
    Json answers = Json::object();
    for (const auto &outcome : measured.outcomes) {
        const std::string code = outcome.answered ? std::string(errorRow(outcome.error).code) : "no_answer";
        answers[code] = answers.value(code, 0) + 1;
    }
    return answers;
}

Json goodputReport(const Measured &measured, const LoadSettings &settings)
{
    std::size_t jobs = 0;
    std::size_t tasks = 0;
    Duration work{};
    for (std::size_t index = 0; index < measured.plan.size(); ++index) {
        if (measured.outcomes[index].answered && measured.outcomes[index].error == ErrorKind::None) {
            ++jobs;
            tasks += measured.plan[index].tasks.size();
            for (const auto &task : measured.plan[index].tasks) {
                work += task.runTime;
            }
        }
    }
    const auto seconds = std::chrono::duration<double>(settings.length).count();
    return {{"jobs_per_s", static_cast<double>(jobs) / seconds},
            {"tasks_per_s", static_cast<double>(tasks) / seconds},
            {"work_share", std::chrono::duration<double>(work).count() / seconds / static_cast<double>(settings.slots)}};
}

std::string rounded(const Json &value)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << value.get<double>();
    return text.str();
}

void printReport(const Json &report)
{
    TextTable table({"response over ideal", "jobs", "p50", "p90", "p99", "max"});
    const auto add = [&table](const std::string &title, const Json &row) {
        table.add({title,
                   std::to_string(row.at("jobs").get<std::size_t>()),
                   rounded(row.at("p50")),
                   rounded(row.at("p90")),
                   rounded(row.at("p99")),
                   rounded(row.at("max"))});
    };
    const auto &response = report.at("response_over_ideal");
    add("all jobs", response);
    for (const auto &[tasks, row] : response.at("by_tasks").items()) {
        add(tasks + " tasks", row);
    }
    table.print(std::cout);
    const auto &messages = report.at("messages");
    std::cout << "messages per task: " << rounded(messages.at("per_task")) << ", wasted share: " << rounded(messages.at("wasted_share"))
              << "\n";
    for (const auto &[kind, count] : messages.at("by_kind").items()) {
        std::cout << "  " << kind << ": " << count << "\n";
    }
    std::cout << "answers: " << report.at("answers").dump() << "\n";
    std::cout << "goodput: " << report.at("goodput").dump() << "\n";
    std::cout << "promises broken: " << report.at("promises").at("broken") << "\n";
    for (const auto &sentence : report.at("promises").at("list")) {
        std::cout << "  " << sentence.get<std::string>() << "\n";
    }
}

LoadSettings settingsOf(const Options &options)
{
    constexpr double Percent = 100;
    LoadSettings settings;
    settings.seed = static_cast<std::uint64_t>(options.whole("seed"));
    settings.load = options.real("load");
    settings.slots = options.whole("slots");
    settings.length = options.milliseconds("length-ms");
    settings.burstFactor = options.real("burst");
    settings.resubmitShare = options.real("resubmit-percent") / Percent;
    settings.cancelShare = options.real("cancel-percent") / Percent;
    settings.impossibleShare = options.real("impossible-percent") / Percent;
    settings.deadline = options.milliseconds("deadline-ms");
    settings.service = options.text("service");
    settings.team = options.text("team");
    return settings;
}

/** Reads the counters of the processes that answer now. */
MessageCounts readMetrics(const Options &options)
{
    MessageCounts counts;
    auto processes = options.endpoints("entries");
    const auto agents = options.endpoints("agents");
    processes.insert(processes.end(), agents.begin(), agents.end());
    for (const auto &reply : callAll(processes, {.method = HttpMethod::Get, .path = "/metrics"}, options.milliseconds("timeout-ms"))) {
        addMetrics(reply.body, counts);
    }
    return counts;
}

void subtract(std::map<std::string, double> &values, const std::map<std::string, double> &before)
{
    for (const auto &[name, value] : before) {
        values[name] -= value;
    }
}

void tellProgress(std::size_t sent, std::size_t answered)
{
    if (isatty(STDERR_FILENO) != 0) {
        std::cerr << "\rsent " << sent << ", answered " << answered << std::flush;
    }
}

Measured measure(const Options &options, const LoadSettings &settings)
{
    Measured measured;
    measured.plan = planLoad(settings);
    measured.ideal = idealResponses(measured.plan, settings.slots);
    const auto before = readMetrics(options);
    measured.outcomes = LoadDriver(settings, measured.plan, options.endpoints("entries")).run(tellProgress);
    measured.messages = readMetrics(options);
    subtract(measured.messages.byPath, before.byPath);
    subtract(measured.messages.reports, before.reports);
    subtract(measured.messages.counters, before.counters);
    if (options.isSet("start-logs")) {
        const auto starts = readStartLogs(options.text("start-logs"));
        measured.starts = starts.size();
        measured.broken = brokenPromises(measured.outcomes, measured.plan, starts);
    }
    return measured;
}

} // namespace

ExitCode loadCommand(const Options &options)
{
    if (!options.isSet("entries")) {
        std::cerr << "sycamorectl load: --entries names no entry\n";
        return ExitCode::Usage;
    }
    const auto settings = settingsOf(options);
    const auto measured = measure(options, settings);
    const Duration hops(2 * options.whole("caller-hop-us"));
    const Json report{
        {"seed", settings.seed},
        {"load", settings.load},
        {"slots", settings.slots},
        {"jobs", measured.plan.size()},
        {"tasks_started", measured.starts},
        {"response_over_ideal", responseReport(measured, hops)},
        {"messages", messageReport(measured)},
        {"answers", answerReport(measured)},
        {"promises", {{"checked", options.isSet("start-logs")}, {"broken", measured.broken.size()}, {"list", measured.broken}}},
        {"goodput", goodputReport(measured, settings)}};
    if (options.isSet("report")) {
        std::ofstream(options.text("report")) << report.dump(2) << "\n";
    }
    if (options.isSet("json")) {
        std::cout << report.dump(2) << "\n";
    } else {
        printReport(report);
    }
    return measured.broken.empty() ? ExitCode::Done : ExitCode::PromiseBroken;
}

} // namespace Sycamoremoor
