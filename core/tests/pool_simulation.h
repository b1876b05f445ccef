// Simulation of a worker pool: schedulers, guards and runners in simulated time, with faults.
#pragma once

#include "pool_rule.h"
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
#include <utility>
#include <vector>

namespace Sycamoremoor
{

/** Processor time that a scheduler takes for its messages. While it is busy, messages wait. All zero: no message ever waits. */
struct SchedulerCosts {
    Duration capacityReport{}; ///< for each report that it reads
    Duration job{};            ///< for each job that it receives, and again for its answer
    Duration batch{};          ///< for each batch, renewal or recall that it sends
    Duration runReport{};      ///< for each other message from a guard
};

/** Size of the simulated pool and the faults injected into it. */
struct PoolSettings {
    std::uint64_t seed = 1;
    std::uint32_t schedulers = 3;
    std::uint32_t workers = 8;
    TaskSize capacity{MilliCores(32'000), Megabytes(131'072), Accelerators(0)};
    double lostOrders = 0;             ///< share of messages to runners without an answer; half of the orders are executed up to 4 s later
    double lostAnswers = 0;            ///< share of orders to runners that are executed, but whose answer is lost
    bool runnersCheckCapacity = false; ///< runners refuse runs that exceed their capacity
    Duration runnerReturnTime = std::chrono::milliseconds(900); ///< from the crash of a runner to its next incarnation
    bool callersResubmit = false;              ///< callers whose connection broke send their job to another scheduler 1.3 s later
    std::uint32_t followedWorkers = 1'000'000; ///< workers whose capacity a scheduler follows, if there are as many
    std::uint32_t zones = 1;                   ///< workers and schedulers are in them by turns
    Duration evacuateWithin{};                 ///< in which evacuate() takes effect, zero if it is not used
    bool guardsReachStore = true;              ///< guards learn of evacuations
    bool schedulersReachStore = true;          ///< schedulers learn of evacuations
    Duration drainWithin{};                    ///< as in GuardSettings
    bool reportsSpeed = true;                  ///< guards report the measured speed of their runners
    PoolRules rulesOff;                        ///< what the simulation does in their place is said there
    SchedulerCosts schedulerCosts;
    SheddingMode shedding = SheddingMode::LatestStart;
    /** Returns the factor on the costs of a scheduler, by its index. If empty, all have the same. */
    std::function<double(std::uint32_t)> costFactor;
    /** Returns the factor on the capacity of a worker, by its index. If empty, all have the same. */
    std::function<double(std::uint32_t)> capacityFactor;
    /** Called for each order to start; sets outcome and end time of the run. If empty, runs succeed after 50 ms. */
    std::function<void(const RunnerStart &, RunnerRun &)> customizeRun;
};

/** Load of one kind of job. */
struct PoolLoad {
    QueueRecord queue;
    std::uint32_t tasks = 1; ///< tasks of a job, the median if logDeviation is not zero
    MilliCores cores{3'100};
    Duration runTime = std::chrono::milliseconds(60); ///< of a task, the median if logDeviation is not zero
    double jobsPerSecond = 10;
    double estimateError = 0;        ///< largest error of the declared run time, as a share of the real one
    double coresDeviation = 0;       ///< standard deviation, between jobs, of the logarithm of their cores
    double logDeviation = 0;         ///< standard deviation, between jobs, of the logarithms of their number of tasks and of their run time
    double maxFactor = 0;            ///< limit of the number of tasks and of the run time of a job, per median; zero for none
    double estimateLogDeviation = 0; ///< standard deviation of the logarithm of a further error of the declared run time
};

/** A job, the processor time that it needs, and what became of it. */
struct PoolJobRecord {
    QueueName queue;
    QueueJobId job;
    double coreSeconds = 0; ///< that it needs
    QueueJobResult result = QueueJobResult::End;
    bool onTime = false;
    Duration held{};       ///< from its arrival to its answer
    Duration slack{};      ///< between its objective and its run time
    Duration retryAfter{}; ///< of a refusal
    MonotonicTime sentAt;
};

/** Number of jobs of a queue by result. */
struct PoolJobCounts {
    std::uint32_t sent = 0;
    std::uint32_t onTime = 0;
    std::uint32_t late = 0;
    std::uint32_t failed = 0;
    std::uint32_t refused = 0;
    std::uint32_t lost = 0; ///< without a result: the scheduler was down, was killed, or reported neither of the above

    std::uint32_t toldAsFailed = 0; ///< of those in @c failed, jobs without a task that crashes its runners

    Duration longestRefusal{}; ///< longest time from sending a job to its refusal

    [[nodiscard]] double onTimeShare() const
    {
        return static_cast<double>(onTime) / static_cast<double>(std::max(1U, sent));
    }
};

/** Messages that a scheduler has read or sent, and the processor time that they took. */
struct SchedulerUsage {
    std::uint64_t reports = 0;  ///< capacity reports that arrived
    std::uint64_t decoded = 0;  ///< of these, those that were decoded
    std::uint64_t batches = 0;  ///< batches that were sent
    std::uint64_t renewals = 0; ///< renewals and recalls that were sent
    std::uint64_t runReports = 0;
    Duration busy{};
};

/** Runs scheduler and guard machines against simulated runners and callers and records every violated invariant. */
class PoolSimulation
{
public:
    explicit PoolSimulation(PoolSettings settings);
    ~PoolSimulation();

    PoolSimulation(const PoolSimulation &) = delete;
    PoolSimulation &operator=(const PoolSimulation &) = delete;

    /** Schedules jobs of @p load, for random schedulers and with exponential gaps, between two times from the start. */
    void addLoad(const PoolLoad &load, Duration from, Duration until);

    /** Sends one job to a scheduler. @return the connection of its caller */
    ConnectionId submit(std::uint32_t scheduler, const PoolLoad &load, const std::string &id);

    /** Schedules @p action for a time from the start. */
    void at(Duration time, std::function<void()> action);

    /** Executes all events up to a time from the start. */
    void runUntil(Duration time);

    /** Ends a scheduler process with its exchanges and callers; it restarts after 400 ms. */
    void killScheduler(std::uint32_t scheduler);

    /** Like killScheduler(), but its machine vanishes, so the guards never notice the end of its exchanges. */
    void killSchedulerUnseenByGuards(std::uint32_t scheduler);

    /** Ends a guard process with its exchanges; it restarts after 400 ms. The runner beside it continues. */
    void killGuard(std::uint32_t worker);

    /** Ends a runner with all of its runs; it restarts after 900 ms. */
    void crashRunner(std::uint32_t worker);

    /** A runner announces that it leaves, and ends with all of its runs after @p remaining; it restarts after 900 ms. */
    void retireRunner(std::uint32_t worker, Duration remaining);

    /** Evacuates a zone, or ends its evacuation. Every process that reaches the store learns of it at a random time within PoolSettings::evacuateWithin. */
    void evacuate(const ZoneName &zone, bool isEvacuated);

    /** Changes the capacity of a runner while it runs; its next announcement says so. */
    void setCapacity(std::uint32_t worker, const TaskSize &capacity);

    /**
     * Lets a runner execute the orders that it gets until @p duration has passed only then, in order; none of them is answered.
     * @param straggling if not zero, orders to start arrive out of order in this time afterwards, and orders to stop are lost
     */
    void silenceRunner(std::uint32_t worker, Duration duration, Duration straggling = {});

    /**
     * Like silenceRunner(), but the path to the runner also looks like the crash of the runner: it resets the open connections and refuses
     * new ones until @p duration has passed.
     */
    void breakPathToRunner(std::uint32_t worker, Duration duration);

    /** Loses the answers of a runner until @p duration has passed; it executes its orders. */
    void muteRunner(std::uint32_t worker, Duration duration);

    /** A goodbye of an earlier boot of a runner reaches the guard of the live one. */
    void deliverDelayedGoodbye(std::uint32_t worker);

    /** An announcement that another writer made in the name of a runner reaches its guard. @param startTimeMs the boot that it names */
    void deliverForeignAnnouncement(std::uint32_t worker, std::int64_t startTimeMs);

    /** Interrupts a random share of the open exchanges. */
    void breakExchanges(double share);

    /**
     * Ends a random share of the open exchanges for their schedulers only. The guards continue the runs, and their reports are lost.
     * @param noticedAfter when the guards notice, from now; never if empty
     */
    void breakExchangesUnseenByGuard(double share, std::optional<Duration> noticedAfter = std::nullopt);

    /**
     * Holds up everything between a scheduler and a guard, in both directions, until @p duration has passed; then it arrives in order.
     * A random share of the exchanges ends for the scheduler in this time.
     */
    void holdUpMessages(std::uint32_t scheduler, std::uint32_t worker, Duration duration);

    /** Holds up batches from a scheduler to a guard, but no other messages, until @p duration has passed; some of their exchanges break. */
    void holdUpBatches(std::uint32_t scheduler, std::uint32_t worker, Duration duration);

    /**
     * Stops a guard process and continues it later; inputs that arrive in between are handled then, in order. The runner beside it
     * continues. A random share of the exchanges ends for the schedulers in this time.
     */
    void freezeGuard(std::uint32_t worker, Duration duration);

    /**
     * Stops a scheduler process and continues it later; inputs that arrive in between are handled then, in order. A random share of
     * its callers loses its connection in this time.
     */
    void freezeScheduler(std::uint32_t scheduler, Duration duration);

    /** Breaks the connection of a caller that waits for its answer; it submits its job to the same scheduler again at once. */
    void reconnectCaller(ConnectionId connection);

    /** Disconnects a caller that waits for its answer; it may submit again, see PoolSettings::callersResubmit. */
    void disconnectCaller(ConnectionId connection);

    /** Returns the zone of a worker or scheduler. */
    [[nodiscard]] ZoneName zoneOf(std::uint32_t index) const;

    /** Returns the simulated time from the start. */
    [[nodiscard]] Duration time() const;

    [[nodiscard]] std::mt19937_64 &random();
    [[nodiscard]] const std::vector<std::string> &violations() const;
    [[nodiscard]] const PoolJobCounts &jobCounts(const QueueName &queue);
    [[nodiscard]] std::uint32_t openCallerCount() const;
    /** Returns the jobs that were answered, in the order of their answers. */
    [[nodiscard]] const std::vector<PoolJobRecord> &jobRecords() const;
    /** Returns the processor time, in core seconds, of all runs of a job that have ended. */
    [[nodiscard]] double ranCoreSeconds(const QueueJobId &job) const;
    /** Returns the number of runners that a task has crashed, by task. */
    [[nodiscard]] const std::map<QueueTaskId, std::uint32_t> &crashCounts() const;
    /** Returns what a scheduler did since the start. */
    [[nodiscard]] const SchedulerUsage &usage(std::uint32_t scheduler) const;
    /** Returns how long tasks waited from the arrival of their batch at a guard until their start, in order of their starts. */
    [[nodiscard]] const std::vector<Duration> &guardWaits() const;
    [[nodiscard]] std::uint32_t runCount(std::uint32_t worker) const;
    [[nodiscard]] std::vector<ConnectionId> openCallers() const;

private:
    struct SchedulerNode;
    struct GuardNode;
    struct ReportPace;
    struct Exchange;
    struct Caller;

    void startScheduler(std::uint32_t index);
    /** Returns whether a scheduler follows the capacity of a worker. */
    [[nodiscard]] bool isFollowed(std::uint32_t worker, std::uint32_t scheduler);
    void startGuard(std::uint32_t index);
    void announce(std::uint32_t worker);
    [[nodiscard]] UpstreamAnnounced announcementOf(std::uint32_t worker) const;
    void stepScheduler(std::uint32_t index, SchedulerInput input);
    /** Lets a scheduler read what has arrived, and carries out its outputs when it has had the processor time for both. */
    void workScheduler(std::uint32_t index);
    void stepGuard(std::uint32_t index, GuardInput input);
    void applySchedulerOutput(std::uint32_t scheduler, const SchedulerOutput &output);
    void applyGuardOutput(std::uint32_t worker, const GuardOutput &output);
    void deliverBatch(std::uint32_t scheduler, const SendBatch &output);
    /** Steps of an order (start or stop) on its way to a runner and back. */
    enum class OrderEvent {
        Execute, ///< the runner executes the order
        Answer,  ///< the answer arrives at the guard
        Timeout, ///< the guard has waited for the answer until its time limit
    };
    void sendOrder(std::uint32_t worker, bool isStart, const std::function<void(OrderEvent)> &handleEvent);
    void receiveBatch(std::uint64_t number, const Exchange &sent, const StartBatch &batch, bool wasHeldUp);
    void breakExchange(std::uint64_t number, bool notifyScheduler, bool notifyGuard);
    void interruptBatch(const Exchange &exchange);
    void abandonBatch(std::uint64_t number, const Exchange &exchange, MonotonicTime arrival);
    /** Breaks random exchanges of a worker, with all schedulers or one, at random times until @p duration has passed. */
    void breakMeanwhile(std::optional<std::uint32_t> scheduler, std::uint32_t worker, Duration duration);
    /** Lets a scheduler miss the reports of a worker until @p duration has passed. */
    void missReports(std::uint32_t scheduler, std::uint32_t worker, Duration duration);
    /** Schedules the arrival of a message between a scheduler and a guard; it is later if the messages between them are held up. */
    void deliver(std::uint32_t scheduler,
                 std::uint32_t worker,
                 MonotonicTime arrival,
                 std::function<void(bool wasHeldUp)> action,
                 bool wasHeldUp = false);
    /** Runs @p action now, or when the process goes on if it is frozen. */
    template<typename Node>
    void whenAwake(Node &node, std::function<void()> action);
    template<typename Node>
    void freeze(Node &node, Duration duration);
    /** Removes a caller whose connection broke, and lets it submit again. */
    void loseCaller(ConnectionId connection);
    ConnectionId submit(std::uint32_t scheduler, Caller caller);
    /** A scheduler closes the exchange of a batch, if it has one. */
    void endExchange(std::uint32_t scheduler, BatchNumber batch);
    void deliverRecall(std::uint32_t scheduler, const RecallBatch &output);
    /** Reports the runs of a recalled batch as not started in the guard's stead. */
    void answerRecall(const Exchange &exchange);
    [[nodiscard]] bool isOff(PoolRule rule) const;
    /** Returns @p batch as it arrives at a guard. */
    [[nodiscard]] StartBatch arriving(std::uint32_t worker, StartBatch batch) const;
    /** Returns the list of a runner as its guard receives it. */
    [[nodiscard]] UpstreamListed arrivingList(std::uint32_t worker);
    void reportCapacity(std::uint32_t worker, std::uint32_t scheduler);
    void reportCrash(std::uint32_t worker, std::uint32_t scheduler, const CrashNotice &notice);
    void probeListener(std::uint32_t worker);
    /** Lets a run crash its runner after a time, unless it has ended by then. */
    void scheduleCrash(std::uint32_t worker, const RunId &run, Duration delay);
    /** Reports the capacity of a worker when the interval between reports to this scheduler has passed. */
    void gatherReports(std::uint32_t worker, std::uint32_t scheduler);
    void answer(const AnswerQueueJob &answer);
    void recordRunStart(std::uint32_t worker, const RunnerStart &start);
    /** Returns the sum of the sizes of the runs on a runner. */
    [[nodiscard]] TaskSize usedCapacity(std::uint32_t worker) const;
    void recordRunEnd(std::uint32_t worker, const RunId &run);
    void setRunnerTimer(std::uint32_t worker);
    void scheduleListing(std::uint32_t worker);
    /** @param noticedAfter when the guard learns that they will not be answered */
    void loseRenewals(std::uint32_t worker, Duration noticedAfter, RenewalFailure failure = RenewalFailure::NoAnswer);
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
    std::mt19937_64 m_loadRandom; ///< separate generator, so that faults do not change the sequence of jobs
    MonotonicTime m_start{std::chrono::hours(1)};
    MonotonicTime m_now = m_start;
    std::uint64_t m_lastEvent = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<std::unique_ptr<SchedulerNode>> m_schedulers;
    std::vector<std::unique_ptr<GuardNode>> m_guards;
    std::vector<std::set<AgentName>> m_followed; ///< workers that each scheduler follows
    EvacuationsRead m_evacuations;
    std::map<std::uint64_t, Exchange> m_exchanges;
    std::uint64_t m_lastExchange = 0;
    std::map<ConnectionId, Caller> m_callers;
    std::uint64_t m_lastCaller = 0;
    std::map<std::pair<std::uint32_t, std::uint32_t>, MonotonicTime> m_heldUpUntil;        ///< by scheduler and worker
    std::map<std::pair<std::uint32_t, std::uint32_t>, MonotonicTime> m_batchesHeldUpUntil; ///< by scheduler and worker
    std::set<ConnectionId> m_lostCallers; ///< callers whose connection broke, but whose scheduler has not noticed yet
    std::map<QueueTaskId, std::set<std::pair<std::uint32_t, std::uint32_t>>> m_runningTasks; ///< workers and numbers of the runs of a task
    std::map<QueueJobId, std::uint32_t> m_startsByJob;
    std::set<QueueJobId> m_resubmittedJobs;
    std::map<QueueJobId, std::set<QueueTaskId>> m_completedTasks;
    std::set<QueueJobId> m_refusedJobs;
    std::map<QueueName, PoolJobCounts> m_jobCounts;
    std::vector<PoolJobRecord> m_jobRecords;
    std::map<RunId, MonotonicTime> m_runStarts;
    std::map<QueueJobId, double> m_ranCoreSeconds; ///< of runs that ended
    std::vector<Duration> m_guardWaits;
    std::map<QueueTaskId, std::uint32_t> m_crashCounts;
    std::map<QueueTaskId, std::uint32_t> m_startsAfterCrashes; ///< starts of a task after it has crashed CrashLimit runners
    std::vector<std::string> m_violations;
};

} // namespace Sycamoremoor
