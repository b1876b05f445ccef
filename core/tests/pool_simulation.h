// A pool of workers in simulated time: schedulers, guards, and runners that carry out orders late or not at all.
#pragma once

#include "pool_runner.h"

#include <sycamoremoor/core/guard_machine.h>
#include <sycamoremoor/core/scheduler_machine.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Sycamoremoor
{

/** What a pool is made of and what goes wrong in it. */
struct PoolSettings {
    std::uint64_t seed = 1;
    std::uint32_t schedulers = 3;
    std::uint32_t workers = 8;
    TaskSize capacity{MilliCores(32'000), Megabytes(131'072), Accelerators(0)};
    double lostOrders = 0;  ///< share of orders whose answer is lost; half of them are carried out up to 4 s later
    double lostAnswers = 0; ///< share of orders to runners that are carried out without an answer
    std::function<void(const RunnerStart &, RunnerRun &)> customizeRun; ///< may change how a run ends and how long it takes
};

/** A kind of job that callers send. */
struct PoolLoad {
    QueueRecord queue;
    std::uint32_t tasks = 1;
    MilliCores cores{3'100};
    Duration runTime = std::chrono::milliseconds(60);
    double jobsPerSecond = 10;
    double estimateError = 0; ///< declared run time off by up to this share
    double logDeviation = 0;  ///< of the logarithms of the number of tasks and of their run time, from job to job
};

/** What became of the jobs of a queue. */
struct PoolJobCounts {
    std::uint32_t sent = 0;
    std::uint32_t onTime = 0;
    std::uint32_t late = 0;
    std::uint32_t failed = 0;
    std::uint32_t refused = 0;
    std::uint32_t lost = 0;

    [[nodiscard]] double onTimeShare() const
    {
        return static_cast<double>(onTime) / static_cast<double>(std::max(1U, sent));
    }
};

/** Runs machines against each other and notes every violated invariant. */
class PoolSimulation
{
public:
    explicit PoolSimulation(PoolSettings settings);
    ~PoolSimulation();

    PoolSimulation(const PoolSimulation &) = delete;
    PoolSimulation &operator=(const PoolSimulation &) = delete;

    /** Sends jobs of @p load to all schedulers at random moments of a span of time. */
    void addLoad(const PoolLoad &load, Duration from, Duration until);

    /** Sends one job to a scheduler. @return its connection */
    ConnectionId submit(std::uint32_t scheduler, const PoolLoad &load, const std::string &id);

    /** Calls @p action at a time from the start. */
    void at(Duration time, std::function<void()> action);

    /** Lets time pass up to a time from the start. */
    void runUntil(Duration time);

    void killScheduler(std::uint32_t scheduler);
    void killGuard(std::uint32_t worker);
    void crashRunner(std::uint32_t worker);
    void breakExchanges(double share);
    void disconnectCaller(ConnectionId connection);

    /** Returns the time from the start. */
    [[nodiscard]] Duration time() const;

    [[nodiscard]] std::mt19937_64 &random();
    [[nodiscard]] const std::vector<std::string> &violations() const;
    [[nodiscard]] const PoolJobCounts &jobCounts(const QueueName &queue);
    [[nodiscard]] std::uint32_t openCallerCount() const;
    [[nodiscard]] std::uint32_t runCount(std::uint32_t worker) const;
    [[nodiscard]] std::vector<ConnectionId> openCallers() const;

private:
    struct SchedulerNode;
    struct GuardNode;
    struct Exchange;
    struct Caller;

    void startScheduler(std::uint32_t index);
    void startGuard(std::uint32_t index);
    void announce(std::uint32_t worker);
    void stepScheduler(std::uint32_t index, SchedulerInput input);
    void stepGuard(std::uint32_t index, GuardInput input);
    void applySchedulerOutput(std::uint32_t scheduler, const SchedulerOutput &output);
    void applyGuardOutput(std::uint32_t worker, const GuardOutput &output);
    void deliverBatch(std::uint32_t scheduler, const SendBatch &output);
    /** What befalls an order to a runner. */
    enum class OrderEvent {
        Execute, ///< the runner obeys it
        Answer,  ///< its answer arrives
        Timeout, ///< the time limit passes without one
    };
    void sendOrder(std::uint32_t worker, const std::function<void(OrderEvent)> &handleEvent);
    void breakExchange(std::uint64_t number, bool notifyScheduler, bool notifyGuard);
    void reportCapacity(std::uint32_t worker, std::uint32_t scheduler);
    void answer(const AnswerWork &answer);
    void recordRunStart(std::uint32_t worker, const RunnerStart &start);
    void recordRunEnd(std::uint32_t worker, const RunId &run);
    void setRunnerTimer(std::uint32_t worker);
    void scheduleListing(std::uint32_t worker);
    Duration randomDelay();
    bool chance(double share);
    StepContext context();

    struct Event {
        MonotonicTime at;
        std::uint64_t number = 0;
        std::function<void()> action;

        friend bool operator>(const Event &left, const Event &right)
        {
            return left.at != right.at ? left.at > right.at : left.number > right.number;
        }
    };

    PoolSettings m_settings;
    std::mt19937_64 m_random;
    std::mt19937_64 m_loadRandom; ///< apart, so that the same jobs come whatever becomes of them
    MonotonicTime m_start{std::chrono::hours(1)};
    MonotonicTime m_now = m_start;
    std::uint64_t m_lastEvent = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<std::unique_ptr<SchedulerNode>> m_schedulers;
    std::vector<std::unique_ptr<GuardNode>> m_guards;
    std::map<std::uint64_t, Exchange> m_exchanges;
    std::uint64_t m_lastExchange = 0;
    std::map<ConnectionId, Caller> m_callers;
    std::uint64_t m_lastCaller = 0;
    std::map<WorkTaskId, std::uint32_t> m_runningTasks; ///< worker on which a task runs now
    std::map<WorkId, std::uint32_t> m_startsByJob;
    std::map<WorkId, std::set<WorkTaskId>> m_completedTasks;
    std::set<WorkId> m_refusedJobs;
    std::map<QueueName, PoolJobCounts> m_jobCounts;
    std::vector<std::string> m_violations;
};

} // namespace Sycamoremoor
