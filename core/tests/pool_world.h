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
    std::function<void(const RunnerStart &, RunnerRun &)> shapeRun; ///< may change how a run ends and how long it takes
};

/** A kind of job that callers send. */
struct PoolLoad {
    QueueRecord queue;
    std::uint32_t tasks = 1;
    MilliCores cores{3'100};
    Duration runTime = std::chrono::milliseconds(60);
    double perSecond = 10;
    double estimateError = 0; ///< declared run time off by up to this share
    double spread = 0;        ///< of the logarithms of the number of tasks and of their run time, from job to job
};

/** What became of the jobs of a queue. */
struct PoolTally {
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

/** Runs machines against each other and notes every broken promise. */
class PoolWorld
{
public:
    explicit PoolWorld(PoolSettings settings);
    ~PoolWorld();

    PoolWorld(const PoolWorld &) = delete;
    PoolWorld &operator=(const PoolWorld &) = delete;

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
    void hangUp(ConnectionId connection);

    /** Returns the time from the start. */
    [[nodiscard]] Duration time() const;

    [[nodiscard]] std::mt19937_64 &random();
    [[nodiscard]] const std::vector<std::string> &broken() const;
    [[nodiscard]] const PoolTally &tally(const QueueName &queue);
    [[nodiscard]] std::uint32_t unanswered() const;
    [[nodiscard]] std::uint32_t runsAt(std::uint32_t worker) const;
    [[nodiscard]] std::vector<ConnectionId> openCallers() const;

private:
    struct SchedulerNode;
    struct GuardNode;
    struct Exchange;
    struct Caller;

    void startScheduler(std::uint32_t index);
    void startGuard(std::uint32_t index);
    void announce(std::uint32_t worker);
    void feedScheduler(std::uint32_t index, SchedulerInput input);
    void feedGuard(std::uint32_t index, GuardInput input);
    void carryOut(std::uint32_t scheduler, const SchedulerOutput &output);
    void carryOutGuard(std::uint32_t worker, const GuardOutput &output);
    void deliverBatch(std::uint32_t scheduler, const SendBatch &output);
    /** What befalls an order to a runner. */
    enum class OrderStep {
        CarryOut, ///< the runner obeys it
        Answer,   ///< its answer arrives
        GiveUp,   ///< the time limit passes without one
    };
    void giveOrder(std::uint32_t worker, const std::function<void(OrderStep)> &carryOut);
    void breakExchange(std::uint64_t number, bool tellScheduler, bool tellGuard);
    void tellRoom(std::uint32_t worker, std::uint32_t scheduler);
    void answer(const AnswerQueueJob &answer);
    void runStarted(std::uint32_t worker, const RunnerStart &start);
    void runOver(std::uint32_t worker, const RunId &run);
    void runnerTimer(std::uint32_t worker);
    void listSoon(std::uint32_t worker);
    Duration delay();
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
    std::map<QueueTaskId, std::uint32_t> m_runningTasks; ///< worker on which a task runs now
    std::map<QueueJobId, std::uint32_t> m_startsOfWork;
    std::map<QueueJobId, std::set<QueueTaskId>> m_doneTasks;
    std::set<QueueJobId> m_refusedWork;
    std::map<QueueName, PoolTally> m_tallies;
    std::vector<std::string> m_broken;
};

} // namespace Sycamoremoor
