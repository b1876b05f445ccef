// The runner stand-in: tasks, faults and the log of starts.
#include "runner_standin.h"

#include "timer_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <utility>

namespace Sycamoremoor
{

using Json = nlohmann::json;

namespace
{

constexpr int HttpOk = 200;
constexpr int HttpBadRequest = 400;
constexpr int HttpNotFound = 404;
constexpr std::string_view TaskPath = "/v1/tasks/";
constexpr Duration LeaveCheckInterval = std::chrono::milliseconds(50);

std::string drawIncarnation()
{
    std::random_device device;
    const auto high = std::uint64_t{device()} << 31U; // stays below 2^63, so that every JSON reader can hold it
    return std::to_string((high ^ device()) | 1U);
}

Json endOfTask(const std::string &state, const std::string &result)
{
    return {{"state", state}, {"result", result}};
}

} // namespace

RunnerStandin::RunnerStandin(event_base *base, const Endpoint &endpoint, RunnerSettings settings)
    : m_base(base)
    , m_settings(std::move(settings))
    , m_incarnation(drawIncarnation())
    , m_server(base, endpoint, [this](const auto &exchange) { take(exchange); })
{
    if (!m_settings.startLog.empty()) {
        m_log.open(m_settings.startLog, std::ios::app);
    }
}

RunnerStandin::~RunnerStandin()
{
    m_running.clear(); // before the server frees their connections
    m_unanswered.clear();
}

std::uint16_t RunnerStandin::port() const
{
    return m_server.port();
}

RunnerFaults &RunnerStandin::faults()
{
    return m_faults;
}

const std::vector<RunnerStart> &RunnerStandin::starts() const
{
    return m_starts;
}

void RunnerStandin::take(const HttpExchangePointer &exchange)
{
    const auto &path = exchange->path();
    if (path == "/v1/tasks" && exchange->method() == "POST") {
        start(exchange);
    } else if (path.starts_with(TaskPath)) {
        takeTaskPath(exchange);
    } else if (path == "/v1/health") {
        answerHealth(exchange);
    } else if (path == "/control/starts") {
        answerStarts(exchange);
    } else if (path == "/control" && exchange->method() == "POST") {
        control(exchange);
    } else {
        exchange->reply(HttpNotFound, "{}");
    }
}

void RunnerStandin::takeTaskPath(const HttpExchangePointer &exchange)
{
    const auto id = exchange->path().substr(TaskPath.size());
    if (exchange->method() == "DELETE") {
        std::vector<TaskNumber> doomed;
        for (const auto &[number, task] : m_running) {
            if (task.id == id) {
                doomed.push_back(number);
            }
        }
        for (const auto number : doomed) {
            finish(number, "stopped", "");
        }
    }
    answerState(exchange, id);
}

void RunnerStandin::start(const HttpExchangePointer &exchange)
{
    const auto json = Json::parse(exchange->body(), nullptr, false);
    if (!json.is_object() || !json.contains("id") || !json.at("id").is_string()) {
        exchange->reply(HttpBadRequest, R"({"error":"a task needs an id"})");
        return;
    }
    Task task{.id = json.at("id").get<std::string>(),
              .cores = json.value("cores", 0.0),
              .memory = json.value("memory_mb", std::int64_t{0}),
              .exchange = exchange};
    logStart({task.id, json.value("kind", std::string()), wallNow(), m_running.size()});
    const auto script = readTaskScript(json.value("payload", std::string()));
    const auto number = ++m_lastNumber;
    m_cores += task.cores;
    m_memory += task.memory;
    m_running.emplace(number, std::move(task));
    m_mostRunning = std::max(m_mostRunning, m_running.size());
    noteUsage();
    if (m_faults.failAll) {
        finish(number, "failed", "told to fail everything");
    } else if (!m_faults.hang) {
        callAfter(
            m_base, runTime(script), [this, number, script] { finish(number, script.fails ? "failed" : "succeeded", script.result); });
    }
}

void RunnerStandin::logStart(const RunnerStart &start)
{
    m_starts.push_back(start);
    if (m_log.is_open()) {
        const Json line{{"id", start.id},
                        {"kind", start.kind},
                        {"at_us", start.at.time_since_epoch().count()},
                        {"runner", m_settings.name},
                        {"running_before", start.runningBefore}};
        m_log << line.dump() << std::endl; // NOLINT(performance-avoid-endl): the line must outlive a kill
    }
}

Duration RunnerStandin::runTime(const TaskScript &script) const
{
    const auto crowding = std::max(1.0, static_cast<double>(m_running.size()) / static_cast<double>(m_settings.slots));
    const auto microseconds = static_cast<double>(script.runTime.count()) * crowding * m_faults.slowFactor;
    return Duration(static_cast<std::int64_t>(microseconds));
}

void RunnerStandin::finish(TaskNumber number, const std::string &state, const std::string &result)
{
    const auto found = m_running.find(number);
    if (found == m_running.end()) {
        return; // it was stopped
    }
    auto task = std::move(found->second);
    m_running.erase(found);
    m_cores -= task.cores;
    m_memory -= task.memory;
    noteUsage();
    task.state = state;
    task.result = result;
    answer(std::exchange(task.exchange, nullptr), endOfTask(state, result).dump());
    m_ended[task.id] = std::move(task);
}

void RunnerStandin::answerState(const HttpExchangePointer &exchange, const std::string &id)
{
    const auto isTask = [&id](const auto &item) {
        return item.second.id == id;
    };
    if (std::any_of(m_running.begin(), m_running.end(), isTask)) {
        answer(exchange, R"({"known":true,"state":"running","result":""})");
    } else if (const auto ended = m_ended.find(id); ended != m_ended.end()) {
        auto json = endOfTask(ended->second.state, ended->second.result);
        json["known"] = true;
        answer(exchange, json.dump());
    } else {
        answer(exchange, R"({"known":false,"state":"","result":""})");
    }
}

void RunnerStandin::answerHealth(const HttpExchangePointer &exchange)
{
    const auto lagged = monotonicNow() - m_settings.usageLag;
    Usage usage;
    while (m_usage.size() > 1 && m_usage[1].at <= lagged) {
        m_usage.erase(m_usage.begin());
    }
    if (!m_usage.empty() && m_usage.front().at <= lagged) {
        usage = m_usage.front();
    }
    const Json json{
        {"incarnation", std::stoull(m_incarnation)}, {"leaving", m_leaving}, {"cores_used", usage.cores}, {"memory_mb_used", usage.memory}};
    answer(exchange, json.dump());
}

void RunnerStandin::answerStarts(const HttpExchangePointer &exchange)
{
    Json starts = Json::array();
    for (const auto &start : m_starts) {
        starts.push_back({{"id", start.id},
                          {"kind", start.kind},
                          {"at_us", start.at.time_since_epoch().count()},
                          {"running_before", start.runningBefore}});
    }
    exchange->reply(HttpOk, Json{{"runner", m_settings.name}, {"most_running", m_mostRunning}, {"starts", std::move(starts)}}.dump());
}

void RunnerStandin::control(const HttpExchangePointer &exchange)
{
    const auto json = Json::parse(exchange->body(), nullptr, false);
    if (!json.is_object()) {
        exchange->reply(HttpBadRequest, "{}");
        return;
    }
    m_faults.failAll = json.value("fail_all", m_faults.failAll);
    m_faults.hang = json.value("hang", m_faults.hang);
    m_faults.slowFactor = json.value("slow_factor", m_faults.slowFactor);
    m_faults.silent = json.value("silent", m_faults.silent);
    if (!m_faults.silent) {
        m_unanswered.clear();
    }
    if (json.value("die", false)) {
        std::_Exit(EXIT_FAILURE);
    }
    m_leaving = json.value("leave", m_leaving);
    exchange->reply(HttpOk, "{}");
}

void RunnerStandin::answer(const HttpExchangePointer &exchange, const std::string &body)
{
    if (m_faults.silent) {
        m_unanswered.push_back(exchange);
    } else {
        exchange->reply(HttpOk, body);
    }
}

void RunnerStandin::noteUsage()
{
    m_usage.push_back({monotonicNow(), m_cores, m_memory});
}

void RunnerStandin::leave(std::function<void()> left)
{
    if (m_left) {
        return;
    }
    m_leaving = true;
    m_leavingSince = monotonicNow();
    m_left = std::move(left);
    checkLeft();
}

void RunnerStandin::checkLeft()
{
    if (m_running.empty() && monotonicNow() - m_leavingSince >= m_settings.leaveGrace) {
        m_left();
        return;
    }
    callAfter(m_base, LeaveCheckInterval, [this] { checkLeft(); });
}

} // namespace Sycamoremoor
