// Fixture of the dispatcher tests: a dispatcher with a configuration, workers and jobs.
#pragma once

#include <sycamoremoor/core/dispatcher.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Sycamoremoor
{

/** A dispatcher in zone trnava-a with service reclaim-desk and teams intake, couriers and narrow. */
class DispatchFixture
{
public:
    explicit DispatchFixture(DispatcherHooks hooks = {})
        : dispatcher(ZoneName("trnava-a"), std::move(hooks))
        , config(std::make_shared<ConfigSet>())
    {
        auto &service = config->services[ServiceName("reclaim-desk")];
        service.name = ServiceName("reclaim-desk");
        service.maxQueueTasks = 1'000;
        config->teams[TeamName("intake")] = {TeamName("intake")};
        config->teams[TeamName("couriers")] = {TeamName("couriers")};
        config->teams[TeamName("narrow")] = {TeamName("narrow"), 4, 1, 500};
        dispatcher.configure(config, 1);
    }

    /** Returns the state of worker @p index. Even ones are in the dispatcher's zone. */
    [[nodiscard]] WorkerState worker(std::size_t index) const
    {
        WorkerState state;
        state.agent = AgentName("agent-" + std::to_string(index));
        state.incarnation = Incarnation(1);
        state.zone = ZoneName(index % 2 == 0 ? "trnava-a" : "nitra-b");
        state.service = ServiceName("reclaim-desk");
        return state;
    }

    void addWorkers(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            dispatcher.updateWorker(now, worker(index));
        }
    }

    /** Returns a new job of equal tasks. */
    JobSpec makeJob(std::size_t tasks, const TaskSize &size, const std::string &team = "intake")
    {
        JobSpec job;
        job.key = SubmissionKey(0x7000, ++m_keys);
        job.service = ServiceName("reclaim-desk");
        job.team = TeamName(team);
        TaskSpec task;
        task.kind = TaskKind("assess");
        task.size = size;
        task.declaredRunTime = std::chrono::milliseconds(200);
        job.tasks.assign(tasks, task);
        return job;
    }

    /** Enqueues every task of @p job. */
    JobSpecPointer enqueue(JobSpec job)
    {
        auto pointer = std::make_shared<const JobSpec>(std::move(job));
        std::vector<TaskIndex> indices;
        for (std::uint32_t index = 0; index < pointer->tasks.size(); ++index) {
            indices.emplace_back(index);
        }
        dispatcher.enqueue(now, pointer, indices, now + deadline);
        return pointer;
    }

    JobSpecPointer submit(std::size_t tasks, const TaskSize &size, const std::string &team = "intake")
    {
        return enqueue(makeJob(tasks, size, team));
    }

    bool end(const TaskId &task, PlacementEnd::Kind kind, Duration runTime = std::chrono::milliseconds(100))
    {
        return dispatcher.ended(now, task, {kind, runTime});
    }

    Dispatcher dispatcher;
    std::shared_ptr<ConfigSet> config;
    MonotonicTime now{std::chrono::hours(1)};
    Duration deadline = std::chrono::seconds(30);

private:
    std::uint64_t m_keys = 0;
};

} // namespace Sycamoremoor
