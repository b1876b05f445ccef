// Workers as a scheduler knows them: room, standing, and which of them takes a task.
#pragma once

#include <sycamoremoor/core/room_func.h>
#include <sycamoremoor/core/scheduler_input_type.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Sycamoremoor
{

/** How a worker has done lately. */
struct WorkerHealth {
    double slowness = 1;        ///< run time over expected run time, a moving mean
    MonotonicTime slownessAt;   ///< of the last run that taught it
    std::uint32_t failures = 0; ///< in a row, each of another job
    std::uint64_t lastFailedJob = 0;
    std::uint32_t ejections = 0; ///< since it last ran a task well
    std::optional<MonotonicTime> ejectedUntil;
};

/** A worker. */
struct ScheduledWorker {
    CapacityReport report;
    bool isReporting = false;                         ///< its guard reports
    std::map<BatchNumber, TaskSize> uncountedBatches; ///< batches that its last report does not count yet
    TaskSize uncountedSize = NoRoom;                  ///< their sum
    std::uint32_t running = 0;                        ///< tasks of this scheduler there
    WorkerHealth health;
};

/** What a task needs of a worker. */
struct TaskNeed {
    ServiceName service;
    TaskSize size;
    bool isOrdinary = true; ///< its queue does not go before all others
    std::string label;      ///< empty: any
    std::string rack;       ///< preferred, empty: none
    std::uint32_t mostPerWorker = 0;
    double slowestAllowed = 0; ///< a worker slower than so many times the expectation is of no use
};

/** The workers of all services. */
class WorkerTable
{
public:
    using Counts = std::map<AgentName, std::uint32_t>;

    /** Takes in what a guard reports. */
    void handleReport(const CapacityReported &input);

    /** No room is believed until the guard reports again. */
    void markUnreachable(const AgentName &agent);

    /**
     * Chooses the worker for a task.
     * @param avoided workers that refused or lost the task before
     * @param ofStep tasks of the same step by worker
     * @return null if none has room
     */
    [[nodiscard]] const AgentName *choose(
        MonotonicTime now, const TaskNeed &need, const std::vector<AgentName> &avoided, const Counts &ofStep, std::uint64_t entropy) const;

    /** Counts a batch as under way to a worker. */
    void addBatch(const AgentName &agent, BatchNumber batch, const TaskSize &size, std::uint32_t tasks);

    /** A task that was sent there came back. */
    void removeTasks(const AgentName &agent, std::uint32_t tasks);

    /** Forgets that a batch takes room there: it did not arrive. */
    void forgetBatch(const AgentName &agent, BatchNumber batch);

    /** Learns from a run that ended well. */
    void recordSuccess(MonotonicTime now, const AgentName &agent, Duration expected, Duration runTime);

    /** Learns from a run that failed or hung. @return whether the worker is set aside for it */
    bool recordFailure(MonotonicTime now, const AgentName &agent, std::uint64_t job);

    /** Tells whether any worker of @p service, busy or not, could take @p size. */
    [[nodiscard]] bool mayEverFit(const ServiceName &service, const TaskSize &size) const;

    /** Tells whether any worker's guard reports. */
    [[nodiscard]] bool hasWorker() const;

    /** Returns the sum of the processors of all workers of @p service that accept work. */
    [[nodiscard]] MilliCores cores(const ServiceName &service) const;

    /** Returns when the next worker that was set aside may be tried again. */
    [[nodiscard]] std::optional<MonotonicTime> nextReadmission(MonotonicTime now) const;

private:
    [[nodiscard]] double score(MonotonicTime now, const ScheduledWorker &worker, const TaskNeed &need) const;

    std::map<AgentName, ScheduledWorker> m_workers;
};

} // namespace Sycamoremoor
