// Workers as a scheduler knows them: free capacity, health, and the choice of a worker for a task.
#pragma once

#include "../evacuated_zones.h"

#include <sycamoremoor/core/scheduler_input_type.h>
#include <sycamoremoor/core/task_size_func.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Sycamoremoor
{

/** Recent speed and failures of a worker. */
struct WorkerHealth {
    double slowness = 1;        ///< moving mean of run time divided by expected run time
    MonotonicTime slownessAt;   ///< time of the last update of slowness
    std::uint32_t failures = 0; ///< consecutive failures, each of a different job than the one before
    std::uint64_t lastFailedJob = 0;
    std::uint32_t ejections = 0; ///< number of ejections since its last successful run
    std::optional<MonotonicTime> ejectedUntil;
};

/** A worker, its last capacity report, and the tasks of this scheduler there. */
struct ScheduledWorker {
    CapacityReport report;
    bool isReporting = false;                         ///< whether its guard is connected and reports
    std::map<BatchNumber, TaskSize> uncountedBatches; ///< batches that its last report does not account for
    TaskSize uncountedSize = ZeroTaskSize;            ///< sum of the sizes in uncountedBatches
    std::uint32_t running = 0;                        ///< number of tasks of this scheduler on the worker
    Duration clockLead{};                             ///< least by which the guard's clock is ahead of this scheduler's at clockLeadAt
    MonotonicTime clockLeadAt;
    WorkerHealth health;
    ZoneName zone;
    bool isEvacuated = false;    ///< the operator has evacuated its zone
    double runTimeFactor = 1;    ///< of run times there, relative to the usual worker of the service; 1 if that is equal or not known
    bool hasUnequalPeer = false; ///< workers of its service have different factors
    bool isLoggedAsSlow = false;
    MonotonicTime slowLoggedAt; ///< when isLoggedAsSlow changed last
    bool isForConfined = false; ///< belongs to the share that is kept for confined queues
};

/** Requirements of a task on its worker. */
struct TaskNeed {
    ServiceName service;
    TaskSize size;
    std::string label;               ///< label that the worker must have, empty if any will do
    std::string rack;                ///< preferred rack, empty for none
    std::uint32_t mostPerWorker = 0; ///< most tasks of the step on one worker, zero for no limit
    double slowestAllowed = 0;       ///< highest factor on its expected run time with which the task can end in time
    double tolerance = 0;            ///< highest factor on its expected run time with which the job meets its objective
    double queueShare = 0;           ///< of a worker's cores that the task may take beyond what is free, and wait for at the guard
    bool isConfined = false;         ///< only the share of the workers that is kept for confined queues may be used, else only the others
    bool isIsolated = false;         ///< the worker must have no other tasks
};

/** The workers of all services. */
class WorkerTable
{
public:
    using Counts = std::map<AgentName, std::uint32_t>;

    /** Stores the report of a guard. */
    void handleReport(MonotonicTime now, const CapacityReported &input);

    /**
     * Returns the factor on run times at a worker, relative to the usual worker of its service.
     * It is 1 unless the worker is known to differ by 15 % or more.
     */
    [[nodiscard]] double runTimeFactor(const AgentName &agent) const;

    /** Returns the factor on run times at the mean speed of the cores of @p service, relative to the usual worker; 1 if all are equal. */
    [[nodiscard]] double meanRunTimeFactor(const ServiceName &service) const;

    /** Returns the workers that were found to be slow, or no longer so, since they were last logged, and records them as logged. */
    [[nodiscard]] std::vector<AgentName> takeSpeedChanges(MonotonicTime now);

    /** Returns whether a worker is in a rack. */
    [[nodiscard]] bool isInRack(const AgentName &agent, const std::string &rack) const;

    /** Returns a time that the clock of a worker's guard has certainly reached. */
    [[nodiscard]] GuardTime earliestGuardTime(MonotonicTime now, const AgentName &agent) const;

    /** Returns the incarnation of a worker's guard that reported last. */
    [[nodiscard]] Incarnation guardIncarnation(const AgentName &agent) const;

    /** Keeps @p count of the workers that report for confined queues: the same ones as any other scheduler that knows the same workers. */
    void keepForConfined(std::size_t count);

    /** Returns whether a worker accepts tasks of @p service, of those for confined queues or of the others. */
    [[nodiscard]] bool hasWorker(const ServiceName &service, bool isConfined) const;

    /** Returns the total capacity of a worker. */
    [[nodiscard]] TaskSize capacity(const AgentName &agent) const;

    /** Excludes the workers of evacuated zones from placement. @return a log line for each evacuation that begins or ends */
    [[nodiscard]] std::vector<LogLine> updateEvacuations(const EvacuationsRead &read);

    [[nodiscard]] bool isEvacuated(const ZoneName &zone) const;

    /** Returns whether workers of @p service are in evacuated zones and none of another zone accepts tasks. */
    [[nodiscard]] bool isEvacuated(const ServiceName &service) const;

    /** Excludes a worker from placement until its guard reports again. */
    void markUnreachable(const AgentName &agent);

    /**
     * Chooses the worker for a task, at random: the more of a worker is free, the more likely it is chosen.
     * @param avoided workers that are not to be used
     * @param ofStep number of tasks of the same step, by worker
     * @param entropy random number that decides the choice
     * @return null if no worker is suitable and has enough free capacity
     */
    [[nodiscard]] const AgentName *choose(
        MonotonicTime now, const TaskNeed &need, const std::vector<AgentName> &avoided, const Counts &ofStep, std::uint64_t entropy) const;

    /** Subtracts tasks of a batch from the free capacity of a worker until a report of its guard accounts for the batch. */
    void addBatch(const AgentName &agent, BatchNumber batch, const TaskSize &size, std::uint32_t tasks);

    /** Subtracts tasks that ended or were withdrawn from the number of running tasks. */
    void removeTasks(const AgentName &agent, std::uint32_t tasks);

    /** Adds a batch that was not sent, or whose connection was lost, back to the free capacity of a worker. */
    void forgetBatch(const AgentName &agent, BatchNumber batch);

    /** Updates the health of a worker after a successful run. @param expected the run time that was expected on this worker */
    void recordSuccess(MonotonicTime now, const AgentName &agent, Duration expected, Duration runTime);

    /** Updates the health of a worker after a run that failed or hung. @return whether the worker is ejected for it */
    bool recordFailure(MonotonicTime now, const AgentName &agent, std::uint64_t job);

    /** Returns whether @p size fits the total capacity of a worker of @p service; true also if no such worker is known. */
    [[nodiscard]] bool mayEverFit(const ServiceName &service, const TaskSize &size) const;

    /** Returns how many workers accept tasks, of any service. */
    [[nodiscard]] std::size_t acceptingCount() const;

    /** Returns how many workers of @p service have @p label, unless it is empty, and a total capacity that @p size fits. */
    [[nodiscard]] std::size_t fittingCount(const ServiceName &service, const TaskSize &size, const std::string &label) const;

    /** Returns whether tasks of this scheduler are on a worker. */
    [[nodiscard]] bool hasTasks(const AgentName &agent) const;

    /** Returns the number of workers whose guards report. */
    [[nodiscard]] std::size_t reportingCount() const;

    /** Returns whether any worker accepts work. */
    [[nodiscard]] bool hasWorker() const;

    /** Returns the sum of the cores of all workers of @p service that accept work. */
    [[nodiscard]] MilliCores cores(const ServiceName &service) const;

    /**
     * Returns how much of the free cores of the workers that accept work of @p service tasks of @p taskCores could use.
     * @param isConfined of the workers for confined queues, else of the others
     */
    [[nodiscard]] MilliCores usableCores(const ServiceName &service, bool isConfined, MilliCores taskCores) const;

    /** Returns the mean of the thousandths of cores of the workers that accept work of @p service; 1 if there is none. */
    [[nodiscard]] double meanCores(const ServiceName &service) const;

    /** Returns when the next ejected worker is readmitted, if any is ejected. */
    [[nodiscard]] std::optional<MonotonicTime> nextReadmission(MonotonicTime now) const;

private:
    /** Compares the speeds of the workers of a service. */
    void updateRunTimeFactors(const ServiceName &service);
    [[nodiscard]] double score(MonotonicTime now, const ScheduledWorker &worker, const TaskNeed &need) const;

    std::map<AgentName, ScheduledWorker> m_workers;
    EvacuatedZones m_evacuated;
    std::map<ServiceName, std::size_t> m_measuredWorkers; ///< whose run time ratio is known, by service
    bool m_hasSpeedChanges = false;                       ///< a factor has changed since takeSpeedChanges()
};

} // namespace Sycamoremoor
