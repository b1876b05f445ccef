// Sends a planned load to entries, open loop, and takes the answers.
#include "load_driver.h"

#include "clock_func.h"

#include <event2/event.h>
#include <sycamoremoor/wire/json_parse_func.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace Sycamoremoor
{

using Json = nlohmann::json;

namespace
{

constexpr timeval TickInterval{.tv_sec = 0, .tv_usec = 1'000};
constexpr std::size_t MaxAttempts = 20;
constexpr Duration RetryDelay = std::chrono::milliseconds(500);
constexpr Duration ResubmitDelay = std::chrono::milliseconds(50);
constexpr Duration AnswerSlack = std::chrono::seconds(20); ///< waited beyond a job's deadline

timeval toTimeval(Duration duration)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    return {.tv_sec = seconds.count(), .tv_usec = (duration - seconds).count()};
}

void readOutcome(const Json &answer, JobOutcome &outcome)
{
    if (const auto error = answer.find("error"); error != answer.end()) {
        outcome.error = errorKindFromCode(error->value("code", ""));
        const auto ran = error->value("ran", "");
        outcome.ran = ran == "not_run" ? RunState::NotRun : (ran == "ran" ? RunState::Ran : RunState::Unknown);
        if (answer.contains("results") || answer.contains("result")) {
            outcome.faults.push_back("submission " + outcome.key.toString() + " failed and has results");
        }
    } else {
        outcome.error = ErrorKind::None;
        outcome.ran = RunState::Ran;
        outcome.results = answer.value("results", std::vector<std::string>());
    }
    outcome.taskRan.clear();
    for (const auto &task : answer.value("account", Json::array())) {
        outcome.taskRan.push_back(task.value("ran", ""));
    }
}

} // namespace

LoadDriver::LoadDriver(const LoadSettings &settings, const std::vector<PlannedJob> &plan, std::vector<Endpoint> entries)
    : m_settings(settings)
    , m_plan(plan)
    , m_entries(std::move(entries))
    , m_caller(m_loop.base())
    , m_ticker(event_new(m_loop.base(), -1, EV_PERSIST, &LoadDriver::tick, this))
    , m_outcomes(plan.size())
{
}

LoadDriver::~LoadDriver()
{
    event_free(m_ticker);
}

std::vector<JobOutcome> LoadDriver::run(const std::function<void(std::size_t, std::size_t)> &progress)
{
    m_start = monotonicClockNow();
    event_add(m_ticker, &TickInterval);
    auto nextProgress = std::chrono::seconds(1);
    m_loop.runWhile([&] {
        if (elapsed() >= nextProgress) {
            progress(m_sent, m_answered);
            nextProgress += std::chrono::seconds(1);
        }
        return m_sent < m_plan.size() || m_open > 0;
    });
    return std::move(m_outcomes);
}

void LoadDriver::tick(int /*socket*/, short /*what*/, void *self)
{
    static_cast<LoadDriver *>(self)->sendDue();
}

void LoadDriver::sendDue()
{
    const auto now = elapsed();
    for (; m_sent < m_plan.size() && m_plan[m_sent].at <= now; ++m_sent) {
        const auto index = m_sent;
        m_outcomes[index].key = newSubmissionKey();
        submit(index, 0);
        if (m_plan[index].resubmitted) {
            after(ResubmitDelay, [this, index] { resubmit(index); });
        }
        if (m_plan[index].cancelled) {
            after(m_plan[index].tasks.front().runTime / 2, [this, index] { cancel(index); });
        }
    }
}

void LoadDriver::submit(std::size_t index, std::size_t attempt)
{
    ++m_open;
    const HttpRequest request{.path = "/v1/jobs", .body = body(index), .headers = {{"Idempotency-Key", m_outcomes[index].key.toString()}}};
    m_caller.call(entryFor(index + attempt), request, m_settings.deadline + AnswerSlack, [this, index, attempt](const HttpReply &reply) {
        --m_open;
        take(index, attempt, reply);
    });
}

void LoadDriver::take(std::size_t index, std::size_t attempt, const HttpReply &reply)
{
    auto &outcome = m_outcomes[index];
    const auto answer = parseJson(reply.body);
    const auto mayRetry = reply.status == 0
        || (answer.is_object() && answer.contains("error") && answer.at("error").value("code", "") == "owner_unavailable")
        || (answer.is_object() && answer.contains("error") && answer.at("error").value("code", "") == "draining");
    if (mayRetry && attempt + 1 < MaxAttempts && elapsed() - m_plan[index].at < m_settings.deadline) {
        after(RetryDelay, [this, index, attempt] { submit(index, attempt + 1); });
        return;
    }
    ++m_answered;
    if (!answer.is_object()) {
        return;
    }
    outcome.answered = true;
    outcome.response = elapsed() - m_plan[index].at;
    readOutcome(answer, outcome);
}

void LoadDriver::resubmit(std::size_t index)
{
    ++m_open;
    const HttpRequest request{.path = "/v1/jobs", .body = body(index), .headers = {{"Idempotency-Key", m_outcomes[index].key.toString()}}};
    m_caller.call(entryFor(index + 1), request, m_settings.deadline + AnswerSlack, [this, index](const HttpReply &reply) {
        --m_open;
        const auto answer = parseJson(reply.body);
        const auto results = answer.is_object() ? answer.value("results", std::vector<std::string>()) : std::vector<std::string>();
        if (!results.empty() && m_outcomes[index].answered && m_outcomes[index].error == ErrorKind::None
            && results != m_outcomes[index].results) {
            m_outcomes[index].faults.push_back("submission " + m_outcomes[index].key.toString() + " got two different answers");
        }
    });
}

void LoadDriver::cancel(std::size_t index)
{
    ++m_open;
    const HttpRequest request{.method = HttpMethod::Delete, .path = "/v1/jobs/" + m_outcomes[index].key.toString()};
    m_caller.call(entryFor(index), request, AnswerSlack, [this](const HttpReply &) { --m_open; });
}

void LoadDriver::after(Duration delay, std::function<void()> action)
{
    ++m_open;
    const auto run = [](int, short, void *argument) {
        const std::unique_ptr<std::function<void()>> owned(static_cast<std::function<void()> *>(argument));
        (*owned)();
    };
    auto counted = [this, action = std::move(action)] {
        --m_open;
        action();
    };
    const auto time = toTimeval(delay);
    event_base_once(m_loop.base(), -1, EV_TIMEOUT, run, std::make_unique<std::function<void()>>(std::move(counted)).release(), &time);
}

std::string LoadDriver::body(std::size_t index) const
{
    const auto &key = m_outcomes[index].key;
    Json tasks = Json::array();
    for (const auto &task : m_plan[index].tasks) {
        const auto runMs = std::chrono::duration_cast<std::chrono::milliseconds>(task.runTime).count();
        const auto declaredMs = std::chrono::duration_cast<std::chrono::milliseconds>(task.declaredRunTime).count();
        tasks.push_back({{"kind", "assessment"},
                         {"payload", "run_ms=" + std::to_string(runMs) + " result=" + expectedResult(key, tasks.size())},
                         {"cores", static_cast<double>(task.milliCores) / 1'000},
                         {"memory_mb", task.megabytes},
                         {"run_time_ms", declaredMs},
                         {"idempotent", task.idempotent}});
    }
    const auto deadlineMs = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.deadline).count();
    return Json{{"service", m_settings.service}, {"team", m_settings.team}, {"deadline_ms", deadlineMs}, {"tasks", std::move(tasks)}}
        .dump();
}

const Endpoint &LoadDriver::entryFor(std::size_t number) const
{
    return m_entries[number % m_entries.size()];
}

Duration LoadDriver::elapsed() const
{
    return monotonicClockNow() - m_start;
}

} // namespace Sycamoremoor
