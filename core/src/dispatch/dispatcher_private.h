// State of the dispatcher: jobs, workers and placed tasks.
#pragma once

#include "ejection_controller.h"
#include "job_entry.h"
#include "quota_ledger.h"
#include "retry_controller.h"
#include "run_time_estimator.h"
#include "service_queue.h"
#include "worker.h"
#include "worker_pool.h"

#include <sycamoremoor/core/dispatcher.h>

#include <map>
#include <set>
#include <unordered_map>

namespace Sycamoremoor
{

/** Implementation of Dispatcher. */
class Dispatcher::Private
{
public:
    Private(ZoneName zone, DispatcherHooks hooks);

    /** Expected run times of the tasks of a job. */
    struct Demand {
        Duration totalRunTime{}; ///< of all tasks, in sum
        Duration longest{};      ///< of the longest task
        Duration lowerBound{};   ///< run time that its longest task nearly always reaches
    };

    /** A task that was placed and has not ended. */
    struct PlacedTask {
        JobEntry *entry = nullptr;
        Worker *worker = nullptr;
        std::uint64_t generation = 0; ///< generation of the worker when it was placed
        ResourceAmount resources;
        MonotonicTime at;
    };

    [[nodiscard]] const ServiceRecord *serviceRecord(const ServiceName &name) const;
    [[nodiscard]] Demand demandOf(const JobSpec &job) const;
    [[nodiscard]] Duration runTimePerSlot(const Service &service, Duration totalRunTime) const;
    [[nodiscard]] Admission checkBounds(const ServiceRecord &record, const JobSpec &job, Duration drainTime) const;
    [[nodiscard]] Admission checkWait(MonotonicTime now, const Service &service, const Demand &demand, Duration deadline) const;
    [[nodiscard]] MonotonicTime
    rankTime(const Service &service, MonotonicTime arrival, MonotonicTime deadline, Duration totalRunTime, Duration longest) const;

    JobEntry &jobEntry(MonotonicTime now, const JobSpecPointer &job);
    void addWaiting(JobEntry &entry, TaskIndex task);
    void countWaiting(JobEntry &entry, const WaitingTask &task, std::int32_t sign);
    void removeWaiting(JobEntry &entry, std::size_t position);
    std::vector<TaskIndex> removeAllWaiting(JobEntry &entry);
    [[nodiscard]] JobRank rankOf(JobEntry &entry) const;
    void refresh(JobEntry &entry);
    bool scheduleRetry(MonotonicTime now, JobEntry &entry, TaskIndex task);
    void enqueueDue(MonotonicTime now);
    void recordOutcome(MonotonicTime now, const PlacedTask &placed, TaskIndex task, const PlacementEnd &end);
    void releaseIfDone(JobEntry &entry);

    Worker &workerEntry(const AgentName &agent);
    void removeFromPool(Worker &worker);
    void countPlaced(JobEntry &entry, Worker &worker, const PlacedTask &placed);
    void countEnded(const PlacedTask &placed);

    void placeService(MonotonicTime now, Service &service, std::uint64_t entropy, std::vector<Placement> &placements);
    bool placeNext(MonotonicTime now, Service &service, JobEntry &entry, std::uint64_t entropy, std::vector<Placement> &placements);
    void reserve(MonotonicTime now, Service &service);
    void useReservation(MonotonicTime now, Service &service, std::uint64_t entropy, std::vector<Placement> &placements);
    void endReservation(Service &service);
    Worker *chooseWorker(Service &service, const JobEntry &entry, TaskIndex task, std::uint64_t entropy);
    Worker *chooseByHook(const Service &service, std::uint64_t entropy) const;
    /** Returns the workers of the service whose present incarnation refused the task. */
    std::vector<Worker *> refusersOf(const Service &service, const JobEntry &entry, TaskIndex task);

    ZoneName zone;
    DispatcherHooks hooks;
    std::shared_ptr<const ConfigSet> config;
    QuotaLedger quotas;
    RunTimeEstimator estimator;
    EjectionController ejections;
    RetryController retries;
    std::map<ServiceName, Service> services;
    std::unordered_map<AgentName, Worker> workers;
    std::unordered_map<SubmissionKey, JobEntry> jobs;
    std::unordered_map<TaskId, PlacedTask> placed;
    std::set<JobRank> expiries;                         ///< jobs with queued tasks, by the time at which they expire
    std::set<std::pair<MonotonicTime, TaskId>> delayed; ///< tasks in retry backoff, by the end of the backoff
    std::uint32_t queuedTasks = 0;
};

} // namespace Sycamoremoor
