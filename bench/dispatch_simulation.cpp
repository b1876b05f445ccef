// Event loop of the dispatch simulation.
#include "dispatch_simulation.h"

#include <algorithm>
#include <deque>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>

namespace Sycamoremoor
{

namespace
{

/** Something that happens at a time. */
struct Event {
    enum class Kind {
        Arrive,  ///< a job reaches the dispatcher
        Deliver, ///< a task reaches its worker
        Finish,  ///< a task ends on its worker
        Report,  ///< the end of a task reaches the dispatcher
        Wake,    ///< the dispatcher asked to be called
        End,
    };
    MonotonicTime at;
    std::uint64_t sequence = 0;
    Kind kind = Kind::Wake;
    std::size_t job = 0;
    TaskId task;
    std::size_t worker = 0;

    friend bool operator>(const Event &left, const Event &right)
    {
        return left.at != right.at ? left.at > right.at : left.sequence > right.sequence;
    }
};

/** State of one simulated worker. */
struct SimulatedWorker {
    WorkerState state;
    Duration oneWay{};
    std::int64_t running = 0;
    std::deque<std::pair<std::size_t, TaskId>> waiting; ///< for a slot, with the job
};

/** State of one simulated job. */
struct SimulatedJob {
    std::size_t open = 0; ///< tasks that have not succeeded
    std::uint64_t work = 0;
    bool ended = false;
};

class Simulation
{
public:
    Simulation(const SimulationSettings &settings, const std::vector<WorkloadJob> &workload)
        : m_settings(settings)
        , m_workload(workload)
        , m_dispatcher(ZoneName("zone-0"), hooks())
        , m_jobs(workload.size())
    {
        m_result.jobs.resize(workload.size());
        m_now = workload.front().arrival;
        m_dispatcher.configure(std::make_shared<ConfigSet>(settings.config), 1);
        for (std::size_t index = 0; index < settings.workers; ++index) {
            addWorker(index);
        }
        for (std::size_t job = 0; job < workload.size(); ++job) {
            m_jobOfKey[workload[job].spec->key] = job;
            push({workload[job].arrival, 0, Event::Kind::Arrive, job});
        }
    }

    SimulationResult run()
    {
        while (!m_events.empty()) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            handle(event);
        }
        return std::move(m_result);
    }

private:
    DispatcherHooks hooks()
    {
        auto hooks = m_settings.hooks;
        hooks.workerEvent = [this](const WorkerEvent &event) {
            m_result.ejections += event.ejected ? 1 : 0;
        };
        return hooks;
    }

    void addWorker(std::size_t index)
    {
        SimulatedWorker worker;
        const auto zone = index % m_settings.zones;
        worker.state.agent = AgentName("agent-" + std::to_string(index));
        worker.state.incarnation = Incarnation(1);
        worker.state.zone = ZoneName("zone-" + std::to_string(zone));
        worker.state.service = ServiceName("reclaim-desk");
        worker.state.capacity.slots = Slots(m_settings.slots);
        worker.oneWay = zone == 0 ? m_settings.oneWayOwnZone : m_settings.oneWay;
        m_dispatcher.updateWorker(m_now, worker.state);
        m_workerOfName[worker.state.agent] = index;
        m_workers.push_back(std::move(worker));
    }

    void push(Event event)
    {
        event.sequence = ++m_sequence;
        m_events.push(event);
    }

    void handle(const Event &event)
    {
        switch (event.kind) {
        case Event::Kind::Arrive:
            arrive(event.job);
            break;
        case Event::Kind::Deliver:
            deliver(event);
            return;
        case Event::Kind::Finish:
            finish(event);
            return;
        case Event::Kind::Report:
            report(event);
            break;
        default:
            m_wake.reset();
            break;
        }
        expire();
        place();
        setWake();
    }

    void arrive(std::size_t job)
    {
        const auto &[spec, arrival, runTimes] = m_workload[job];
        if (m_settings.admission) {
            const auto admission = m_dispatcher.admit(m_now, *spec, spec->deadline);
            if (admission.error != ErrorKind::None) {
                end(job, admission.error);
                m_result.jobs[job].retryAfter = admission.retryAfter;
                return;
            }
        }
        std::vector<TaskIndex> tasks;
        for (std::uint32_t index = 0; index < runTimes.size(); ++index) {
            tasks.emplace_back(index);
        }
        m_jobs[job].open = tasks.size();
        m_dispatcher.enqueue(m_now, spec, tasks, arrival + spec->deadline);
        m_result.mostQueued = std::max(m_result.mostQueued, m_dispatcher.queuedTasks());
    }

    void deliver(const Event &event)
    {
        auto &worker = m_workers[event.worker];
        if (worker.running < m_settings.slots) {
            start(event.worker, event.job, event.task);
        } else {
            worker.waiting.emplace_back(event.job, event.task);
        }
    }

    void start(std::size_t worker, std::size_t job, const TaskId &task)
    {
        ++m_workers[worker].running;
        const auto kind = outcome(worker, task);
        const auto runTime
            = kind == PlacementEnd::Kind::Failed ? std::chrono::milliseconds(2) : m_workload[job].runTimes[task.index.value()];
        push({m_now + runTime, 0, Event::Kind::Finish, job, task, worker});
    }

    [[nodiscard]] PlacementEnd::Kind outcome(std::size_t worker, const TaskId &task) const
    {
        return m_settings.outcome ? m_settings.outcome(worker, task) : PlacementEnd::Kind::Succeeded;
    }

    void finish(const Event &event)
    {
        auto &worker = m_workers[event.worker];
        --worker.running;
        push({m_now + worker.oneWay, 0, Event::Kind::Report, event.job, event.task, event.worker});
        if (!worker.waiting.empty()) {
            const auto [job, task] = worker.waiting.front();
            worker.waiting.pop_front();
            start(event.worker, job, task);
        }
    }

    void report(const Event &event)
    {
        const auto kind = outcome(event.worker, event.task);
        const auto runTime = m_workload[event.job].runTimes[event.task.index.value()];
        m_dispatcher.ended(m_now, event.task, {kind, runTime});
        auto &job = m_jobs[event.job];
        job.work += static_cast<std::uint64_t>(runTime.count());
        if (job.ended) {
            m_result.wastedWork += static_cast<std::uint64_t>(runTime.count());
            return;
        }
        if (kind == PlacementEnd::Kind::Failed) {
            ++m_result.failedTasks;
            m_dispatcher.cancel(event.task.submission);
            end(event.job, ErrorKind::TaskFailed);
        } else if (--job.open == 0) {
            const bool late = m_now > m_workload[event.job].arrival + m_workload[event.job].spec->deadline;
            end(event.job, late ? ErrorKind::DeadlineUnreachable : ErrorKind::None);
        }
    }

    void end(std::size_t index, ErrorKind error)
    {
        auto &job = m_jobs[index];
        job.ended = true;
        (error == ErrorKind::None ? m_result.usefulWork : m_result.wastedWork) += job.work;
        auto &outcome = m_result.jobs[index];
        outcome.error = error;
        outcome.response = m_now - m_workload[index].arrival;
        outcome.endedAt = m_now;
    }

    void expire()
    {
        for (const auto &task : m_dispatcher.expire(m_now)) {
            if (const auto job = m_jobOfKey.at(task.submission); !m_jobs[job].ended) {
                m_dispatcher.cancel(task.submission);
                end(job, ErrorKind::DeadlineUnreachable);
            }
        }
    }

    void place()
    {
        for (const auto &placement : m_dispatcher.place(m_now, m_random())) {
            const auto worker = m_workerOfName.at(placement.agent);
            ++m_result.placements;
            push({m_now + m_workers[worker].oneWay,
                  0,
                  Event::Kind::Deliver,
                  m_jobOfKey.at(placement.task.submission),
                  placement.task,
                  worker});
        }
    }

    void setWake()
    {
        const auto wake = m_dispatcher.nextWake();
        if (wake && (!m_wake || *wake < *m_wake)) {
            m_wake = std::max(*wake, m_now);
            push({*m_wake, 0, Event::Kind::Wake});
        }
    }

    const SimulationSettings &m_settings;
    const std::vector<WorkloadJob> &m_workload;
    Dispatcher m_dispatcher;
    MonotonicTime m_now;
    std::uint64_t m_sequence = 0;
    std::mt19937_64 m_random{7};
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<SimulatedWorker> m_workers;
    std::vector<SimulatedJob> m_jobs;
    std::unordered_map<SubmissionKey, std::size_t> m_jobOfKey;
    std::unordered_map<AgentName, std::size_t> m_workerOfName;
    std::optional<MonotonicTime> m_wake;
    SimulationResult m_result;
};

} // namespace

SimulationResult simulate(const SimulationSettings &settings, const std::vector<WorkloadJob> &workload)
{
    return Simulation(settings, workload).run();
}

} // namespace Sycamoremoor
