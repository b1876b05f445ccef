// Jobs of one service that wait, by team.
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
 * Queue of one service: tells which job is next.
 *
 * Teams share the slots by weight: the team with the fewest tasks placed per weight goes first, unless it is at its quota.
 * Within a team the job of the lowest rank goes first. A job whose next task fits no worker is parked by its size.
 */
class ServiceQueue
{
public:
    /** Puts a job where it belongs after its waiting tasks or its rank changed. */
    void refresh(JobEntry &entry, const JobRank &rank);

    /** Returns the next job that may have a task placed, or null. */
    [[nodiscard]] JobEntry *next() const;

    /** Takes a job out of the order until it is refreshed. */
    void withdraw(JobEntry &entry);

    /** Parks a ready job until a worker has room for @p need. */
    void park(JobEntry &entry, const ResourceAmount &need);

    /** Makes parked jobs ready for which a worker has room now: at most one of each size, for a bounded number of sizes. */
    void unpark(const WorkerPool &pool, std::uint64_t entropy);

    /** Returns the parked job of the lowest rank, or null. */
    [[nodiscard]] JobEntry *firstParked() const;

    /** Tells whether any job is parked. */
    [[nodiscard]] bool hasParked() const;

    /** Counts a task of the team as placed, or no longer so with -1. */
    void countPlaced(const TeamUsage &team, std::int32_t delta);

    /** Counts a task as waiting, or no longer so with -1. */
    void countWaiting(const TaskSpec &task, Duration expected, std::int32_t sign);

    [[nodiscard]] std::uint32_t waitingTasks() const;
    [[nodiscard]] std::int64_t waitingBytes() const;

    /** Returns the expected run time of all tasks that wait. */
    [[nodiscard]] Duration waitingRunTime() const;

    /** Returns the expected run time of the tasks that wait in jobs ranked up to @p at. */
    [[nodiscard]] Duration waitingRunTimeUpTo(MonotonicTime at) const;

private:
    /** Ready jobs of one team. */
    struct TeamQueue {
        const TeamUsage *usage = nullptr;
        std::set<JobRank> ready;
        std::uint32_t placed = 0;
    };
    using TeamRank = std::pair<double, std::size_t>; ///< share of the slots, index of the team
    using SizeKey = std::tuple<std::int64_t, std::int64_t, std::int64_t>;

    static SizeKey sizeKey(const ResourceAmount &need);
    static TeamRank teamRank(const TeamQueue &team);
    TeamQueue &teamQueue(const TeamUsage &usage);
    void insertReady(JobEntry &entry);
    void remove(JobEntry &entry);

    std::map<std::size_t, TeamQueue> m_teams; ///< by index of the team
    std::map<TeamRank, TeamQueue *> m_order;  ///< teams with ready jobs
    std::map<SizeKey, std::set<JobRank>> m_parked;
    SizeKey m_unparkFrom{}; ///< size at which the next unpark() begins
    std::uint32_t m_waitingTasks = 0;
    std::int64_t m_waitingBytes = 0;
    Duration m_waitingRunTime{};
};

/** Workers and queue of one service. */
struct Service {
    WorkerPool pool;
    ServiceQueue queue;
    JobEntry *reservedFor = nullptr; ///< job for which a worker is kept free
    Worker *reservedWorker = nullptr;
};

} // namespace Sycamoremoor
