// State of the dispatcher: its queue, its workers and what is placed on them.
#pragma once

#include "worker_room.h"

#include <sycamoremoor/core/dispatcher.h>

#include <deque>
#include <map>
#include <unordered_map>

namespace Sycamoremoor {

/** State behind Dispatcher. */
class Dispatcher::Private
{
public:
    /** A job with tasks that wait. */
    struct QueuedJob {
        JobSpecPointer job;
        MonotonicTime deadline;
        std::deque<TaskIndex> tasks; ///< next one first
    };

    /** A worker and what is placed on it. */
    struct Worker {
        WorkerState state;
        WorkerRoom used;
    };

    /** A task that was placed and has not come back. */
    struct PlacedTask {
        JobSpecPointer job;
        MonotonicTime deadline;
        AgentName agent;
        Incarnation incarnation;
        WorkerRoom room;
        bool adopted = false; ///< never queued here, so it is not queued again
    };

    /** What a team has waiting and placed. */
    struct TeamUse {
        std::uint32_t queued = 0;
        std::uint32_t placed = 0;
    };

    /** What a service has waiting. */
    struct ServiceUse {
        std::uint32_t queued = 0;
        std::int64_t queuedBytes = 0;
    };

    [[nodiscard]] const ServiceRecord *serviceRecord(const ServiceName &name) const;
    [[nodiscard]] const TeamRecord *teamRecord(const TeamName &name) const;
    [[nodiscard]] bool teamHasRoom(const TeamName &name) const;
    [[nodiscard]] bool everFits(const ServiceName &service, const TaskSize &size) const;

    void countQueued(const JobSpec &job, TaskIndex task, std::int32_t sign);
    void putBack(const JobSpecPointer &job, TaskIndex task, MonotonicTime deadline);
    Worker *chooseWorker(const ServiceName &service, const WorkerRoom &need, std::uint64_t entropy);
    std::vector<TaskIndex> takeAll(const QueuedJob &queued);

    ZoneName zone;
    DispatcherHooks hooks;
    std::shared_ptr<const ConfigSet> config;
    double ownerShare = 1;
    std::map<AgentName, Worker> workers;
    std::deque<QueuedJob> queue; ///< in the order of arrival
    std::unordered_map<TaskId, PlacedTask> placed;
    std::map<TeamName, TeamUse> teams;
    std::map<ServiceName, ServiceUse> services;
    std::uint32_t queuedTasks = 0;
};

} // namespace Sycamoremoor
