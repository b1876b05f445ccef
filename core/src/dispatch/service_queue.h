// Queued jobs of one service, by team.
#pragma once

#include "job_entry.h"
#include "worker_pool.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace Sycamoremoor
{

/**
 * Queue of one service, which determines the next job.
 *
 * Teams share the slots by weight: the team with the fewest placed tasks per weight goes first, unless it is at its quota.
 * Within a team the job of the lowest rank goes first. A job whose next task fits no worker is parked by the task's size.
 */
class ServiceQueue
{
public:
    /** Updates the position of a job after its queued tasks or its rank changed. */
    void refresh(JobEntry &entry, const JobRank &rank);

    /** Returns the next ready job of a team below its quota, or null. */
    [[nodiscard]] JobEntry *next() const;

    /** Removes a job from the order until its next refresh(). */
    void withdraw(JobEntry &entry);

    /** Parks a ready job until a worker has free capacity for @p need. */
    void park(JobEntry &entry, const ResourceAmount &need);

    /** Makes parked jobs ready whose next task now fits a worker: at most one of each size, for a bounded number of sizes. */
    void unpark(const WorkerPool &pool, std::uint64_t entropy);

    /** Returns the parked job of the lowest rank, or null. */
    [[nodiscard]] JobEntry *firstParked() const;

    /** Returns whether any job is parked. */
    [[nodiscard]] bool hasParked() const;

    /** Adds @p delta to the team's placed tasks: 1 for a placement, -1 for an end. */
    void countPlaced(const TeamUsage &team, std::int32_t delta);

    /** Adds a task to the totals of queued tasks with @p sign 1, removes it with -1. */
    void countWaiting(const TaskSpec &task, Duration expected, std::int32_t sign);

    [[nodiscard]] std::uint32_t waitingTasks() const;
    [[nodiscard]] std::int64_t waitingBytes() const;

    /** Returns the expected run time of all queued tasks. */
    [[nodiscard]] Duration waitingRunTime() const;

    /** Returns the expected run time of the queued tasks of jobs ranked up to @p at. */
    [[nodiscard]] Duration waitingRunTimeUpTo(MonotonicTime at) const;

private:
    /** Ready jobs of one team. */
    struct TeamQueue {
        const TeamUsage *usage = nullptr;
        std::set<JobRank> ready;
        std::uint32_t placed = 0;
    };
    using TeamRank = std::pair<double, std::size_t>; ///< placed tasks per weight, index of the team
    using SizeKey = std::tuple<std::int64_t, std::int64_t, std::int64_t>;

    static SizeKey sizeKey(const ResourceAmount &need);
    static TeamRank teamRank(const TeamQueue &team);
    TeamQueue &teamQueue(const TeamUsage &usage);
    void insertReady(JobEntry &entry);
    void remove(JobEntry &entry);

    std::map<std::size_t, TeamQueue> m_teams; ///< by index of the team
    std::map<TeamRank, TeamQueue *> m_order;  ///< teams with ready jobs
    std::map<SizeKey, std::set<JobRank>> m_parked;
    SizeKey m_unparkFrom{}; ///< size with which the next unpark() begins
    std::uint32_t m_waitingTasks = 0;
    std::int64_t m_waitingBytes = 0;
    Duration m_waitingRunTime{};
};

/** Workers, queue and reservation of one service. */
struct Service {
    WorkerPool pool;
    ServiceQueue queue;
    JobEntry *reservedFor = nullptr; ///< job for which a worker is kept free
    Worker *reservedWorker = nullptr;
};

} // namespace Sycamoremoor
