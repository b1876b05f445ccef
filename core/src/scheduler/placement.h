// Which workers the tasks of a job are sent to.
#pragma once

#include "scheduled_job.h"
#include "worker_table.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Sycamoremoor
{

/** Time and random bits of a placement, and the share of the workers that it may use. */
struct PlacementContext {
    MonotonicTime now;
    std::uint64_t entropy = 0;
    bool isConfined = false; ///< the job's queue is confined to a share of the workers
};

/** A task with the worker that was chosen for it and the batch in which it will be sent. */
struct PlacedTask {
    std::size_t task = 0; ///< index in ScheduledJob::tasks
    AgentName agent;
    BatchNumber batch;
    bool queuesAtGuard = false; ///< no capacity was free for it: it is to wait for the next that becomes free
};

/**
 * Places the tasks of jobs.
 *
 * The load that it answers: many schedulers that place on the same workers by reports of some age, of which little capacity is free.
 * - A worker is chosen at random, the more likely the more of it is free, so that schedulers with the same reports do not meet.
 * - A job starts whole, since a part of it has no value. Only one that needs a great part of all workers starts in parts.
 * - Ordinary jobs leave free what one urgent job of the usual size needs: wide jobs would else never find that much at once.
 * - An urgent job that does not fit may queue some of its tasks at guards, which start them before the ordinary ones of all
 *   schedulers; but only where runs end so often that this takes a small part of its slack.
 */
class Placement
{
public:
    explicit Placement(WorkerTable &workers);

    /** Records the arrival of a job, for the reserve. */
    void recordArrival(MonotonicTime now, const ScheduledJob &job);

    /** Records the run time of a task. */
    void recordRun(Duration runTime);

    /** Chooses workers for the waiting tasks of a job that are not isolated. @return nothing if the job may not start now */
    [[nodiscard]] std::optional<std::vector<PlacedTask>> place(const PlacementContext &context, ScheduledJob &job);

    /** Chooses workers without other tasks for isolated tasks of a job. */
    [[nodiscard]] std::vector<PlacedTask> placeIsolated(const PlacementContext &context, ScheduledJob &job);

    /** Returns what a task reserves on a worker: all of it if it is isolated. */
    [[nodiscard]] TaskSize sizeOn(const AgentName &agent, const ScheduledJob &job, const ScheduledTask &task) const;

private:
    /** Chooses workers for the waiting tasks. @param queueShare of a worker's cores, may be used beyond what is free */
    [[nodiscard]] std::optional<std::vector<PlacedTask>> tryPlace(const PlacementContext &context, ScheduledJob &job, double queueShare);
    [[nodiscard]] bool
    placeTask(const PlacementContext &context, ScheduledJob &job, std::size_t index, double queueShare, std::vector<PlacedTask> &placed);
    void takeBack(ScheduledJob &job, const std::vector<PlacedTask> &placed);
    [[nodiscard]] static TaskNeed needOf(const PlacementContext &context, const ScheduledJob &job, const ScheduledTask &task);
    [[nodiscard]] bool leavesReserve(const PlacementContext &context, const ScheduledJob &job) const;
    [[nodiscard]] bool mayStartInPart(const ScheduledJob &job) const;
    [[nodiscard]] bool mayQueueAtGuards(const PlacementContext &context, const ScheduledJob &job) const;

    WorkerTable &m_workers;
    std::uint64_t m_lastBatch = 0;
    double m_urgentJobCores = 0;  ///< moving mean of what an urgent job needs at once, in thousandths
    double m_urgentTaskCores = 0; ///< moving mean of what a task of an urgent job needs, in thousandths
    Duration m_meanRunTime{};     ///< moving mean of the tasks of all queues
    MonotonicTime m_urgentAt;     ///< arrival of the last urgent job
};

} // namespace Sycamoremoor
