// The runner stand-in: an upstream that starts whatever it is given and remembers every start.
#pragma once

#include "http_server.h"
#include "task_script.h"

#include <sycamoremoor/core/endpoint_type.h>
#include <sycamoremoor/core/time_type.h>

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <string>
#include <vector>

struct event_base;

namespace Sycamoremoor
{

/** Settings of a runner stand-in. */
struct RunnerSettings {
    std::string name = "runner";
    std::int64_t slots = 8;                                 ///< beyond it tasks run slower, in proportion
    double cores = 30;                                      ///< only reported on
    std::int64_t memory = 130'000;                          ///< MB, only reported on
    Duration usageLag = std::chrono::seconds(1);            ///< age of the usage that health tells
    Duration leaveGrace = std::chrono::milliseconds(2'500); ///< how long a leaving runner still waits for late starts
    std::string startLog;                                   ///< file that starts are appended to, empty if none
};

/** What the stand-in was told to do wrong. */
struct RunnerFaults {
    bool failAll = false;  ///< every task fails at once
    bool hang = false;     ///< tasks do not end
    double slowFactor = 1; ///< tasks take so many times longer
    bool silent = false;   ///< nothing is answered, but tasks run
};

/** One start as it was seen. */
struct RunnerStart {
    std::string id;
    std::string kind;
    WallTime at;
    std::size_t runningBefore = 0;
};

/**
 * Serves POST /v1/tasks, GET and DELETE /v1/tasks/ID, GET /v1/health, POST /control and GET /control/starts.
 * The same id given twice is started twice, and the log shows it.
 */
class RunnerStandin
{
public:
    RunnerStandin(event_base *base, const Endpoint &endpoint, RunnerSettings settings);
    ~RunnerStandin();

    RunnerStandin(const RunnerStandin &) = delete;
    RunnerStandin &operator=(const RunnerStandin &) = delete;

    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] RunnerFaults &faults();
    [[nodiscard]] const std::vector<RunnerStart> &starts() const;

    /** Says that it leaves, and calls @p left once it is idle and the grace has passed. */
    void leave(std::function<void()> left);

private:
    struct Task {
        std::string id;
        std::string state = "running";
        std::string result;
        double cores = 0;
        std::int64_t memory = 0;
        HttpExchangePointer exchange;
    };
    using TaskNumber = std::uint64_t;
    struct Usage {
        MonotonicTime at;
        double cores = 0;
        std::int64_t memory = 0;
    };

    void take(const HttpExchangePointer &exchange);
    void takeTaskPath(const HttpExchangePointer &exchange);
    void start(const HttpExchangePointer &exchange);
    void logStart(const RunnerStart &start);
    Duration runTime(const TaskScript &script) const;
    void finish(TaskNumber number, const std::string &state, const std::string &result);
    void answerState(const HttpExchangePointer &exchange, const std::string &id);
    void answerHealth(const HttpExchangePointer &exchange);
    void answerStarts(const HttpExchangePointer &exchange);
    void control(const HttpExchangePointer &exchange);
    void answer(const HttpExchangePointer &exchange, const std::string &body);
    void noteUsage();
    void checkLeft();

    event_base *m_base;
    RunnerSettings m_settings;
    RunnerFaults m_faults;
    std::string m_incarnation;
    std::ofstream m_log;
    TaskNumber m_lastNumber = 0;
    std::map<TaskNumber, Task> m_running;
    std::map<std::string, Task> m_ended; ///< by id, the newest of each
    std::vector<RunnerStart> m_starts;
    std::size_t m_mostRunning = 0;
    double m_cores = 0;
    std::int64_t m_memory = 0;
    std::vector<Usage> m_usage; ///< oldest first
    bool m_leaving = false;
    MonotonicTime m_leavingSince;
    std::function<void()> m_left;
    std::vector<HttpExchangePointer> m_unanswered;
    HttpServer m_server;
};

} // namespace Sycamoremoor
