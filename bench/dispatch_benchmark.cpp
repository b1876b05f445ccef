// Cost of one decision of the dispatcher, by the number of workers it knows.
#include <sycamoremoor/core/dispatcher.h>

#include <benchmark/benchmark.h>

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Sycamoremoor
{

namespace
{

constexpr std::uint32_t TasksPerJob = 60;
constexpr std::size_t Teams = 20;
constexpr std::size_t BacklogJobs = 100;
constexpr Duration JobDeadline = std::chrono::minutes(5);
constexpr Duration StepTime{5};

/** A dispatcher with workers, all of whose slots are taken, and a backlog of jobs. */
class LoadedDispatcher
{
public:
    /** @param split whether nine of ten workers lack cores or memory, by turns */
    explicit LoadedDispatcher(std::size_t workers, bool split = false)
        : m_dispatcher(ZoneName("trnava-a"), {})
    {
        auto config = std::make_shared<ConfigSet>();
        auto &service = config->services[ServiceName("reclaim-desk")];
        service.maxQueueTasks = UINT32_MAX;
        for (std::size_t team = 0; team < Teams; ++team) {
            const TeamName name("team-" + std::to_string(team));
            config->teams[name] = {name, 0, static_cast<std::uint32_t>(1 + team % 3), UINT32_MAX};
        }
        m_dispatcher.configure(config, 1);
        constexpr std::size_t Zones = 4;
        for (std::size_t index = 0; index < workers; ++index) {
            WorkerState worker;
            worker.agent = AgentName("agent-" + std::to_string(index));
            worker.incarnation = Incarnation(1);
            worker.zone = ZoneName(index % Zones == 0 ? "trnava-a" : "nitra-b");
            worker.service = ServiceName("reclaim-desk");
            if (split && index % 10 != 0) {
                worker.capacity.cores = MilliCores(index % 2 == 0 ? 100 : 30'000);
                worker.capacity.memory = Megabytes(index % 2 == 0 ? 130'000 : 100);
            }
            m_dispatcher.updateWorker(m_now, worker);
        }
        while (m_dispatcher.queuedTasks() < BacklogJobs * TasksPerJob) {
            addJob();
            place();
        }
    }

    /** Ends one placed task and places what can go then. Returns the number of tasks placed. */
    std::size_t step()
    {
        if (m_dispatcher.queuedTasks() < BacklogJobs * TasksPerJob) {
            addJob();
        }
        std::swap(m_placed[m_random() % m_placed.size()], m_placed.back());
        const auto task = m_placed.back();
        m_placed.pop_back();
        m_dispatcher.ended(m_now, task, {PlacementEnd::Kind::Succeeded, std::chrono::milliseconds(300)});
        return place();
    }

private:
    void addJob()
    {
        auto job = std::make_shared<JobSpec>();
        job->key = SubmissionKey(m_random(), m_random());
        job->service = ServiceName("reclaim-desk");
        job->team = TeamName("team-" + std::to_string(m_random() % Teams));
        std::vector<TaskIndex> indices;
        for (std::uint32_t index = 0; index < TasksPerJob; ++index) {
            TaskSpec task;
            task.kind = TaskKind("kind-" + std::to_string(m_random() % 10));
            task.declaredRunTime = Duration(50'000 + m_random() % 1'000'000);
            job->tasks.push_back(task);
            indices.emplace_back(index);
        }
        m_dispatcher.enqueue(m_now, job, indices, m_now + JobDeadline);
    }

    std::size_t place()
    {
        m_now += StepTime;
        const auto placements = m_dispatcher.place(m_now, m_random());
        for (const auto &placement : placements) {
            m_placed.push_back(placement.task);
        }
        return placements.size();
    }

    Dispatcher m_dispatcher;
    MonotonicTime m_now{std::chrono::hours(1)};
    std::mt19937_64 m_random{20260601};
    std::vector<TaskId> m_placed;
};

/** One task ends, the next is chosen and placed. */
void decide(benchmark::State &state)
{
    LoadedDispatcher dispatcher(static_cast<std::size_t>(state.range(0)));
    std::size_t starts = 0;
    for (auto step : state) {
        starts += dispatcher.step();
    }
    state.counters["starts/s"] = benchmark::Counter(static_cast<double>(starts), benchmark::Counter::kIsRate);
}

/** As decide(), where no single resource tells which worker has room. */
void decideWithSplitRoom(benchmark::State &state)
{
    LoadedDispatcher dispatcher(static_cast<std::size_t>(state.range(0)), true);
    std::size_t starts = 0;
    for (auto step : state) {
        starts += dispatcher.step();
    }
    state.counters["starts/s"] = benchmark::Counter(static_cast<double>(starts), benchmark::Counter::kIsRate);
}

BENCHMARK(decide)->Arg(11)->Arg(110)->Arg(1'100)->Arg(4'300);
BENCHMARK(decideWithSplitRoom)->Arg(11)->Arg(110)->Arg(1'100)->Arg(4'300);

} // namespace

} // namespace Sycamoremoor

BENCHMARK_MAIN();
