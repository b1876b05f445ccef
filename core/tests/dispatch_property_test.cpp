// Property test of the dispatcher under random sequences of calls.
#include "dispatch_fixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace Sycamoremoor
{

namespace
{

constexpr std::size_t MaxWorkers = 4;
constexpr Duration MaxStep = std::chrono::milliseconds(400);

/** Reference model: tracks the workers and tasks that the dispatcher should hold. */
class DispatchModel
{
public:
    DispatchModel()
    {
        fixture.deadline = std::chrono::seconds(20);
    }

    void updateWorker(std::size_t index, bool accepting, bool restarted)
    {
        auto state = fixture.worker(index);
        auto &incarnation = m_incarnations[state.agent];
        incarnation = std::max<std::uint64_t>(1, incarnation + (restarted ? 1 : 0));
        state.incarnation = Incarnation(incarnation);
        state.accepting = accepting;
        m_workers[state.agent] = state;
        fixture.dispatcher.updateWorker(fixture.now, state);
    }

    void removeWorker(std::size_t index)
    {
        const auto agent = fixture.worker(index).agent;
        m_workers.erase(agent);
        fixture.dispatcher.removeWorker(agent);
    }

    void submit(std::size_t tasks, const TaskSize &size, const std::string &team)
    {
        auto job = fixture.makeJob(tasks, size, team);
        if (fixture.dispatcher.admit(fixture.now, job, fixture.deadline).error != ErrorKind::None) {
            return;
        }
        const auto pointer = fixture.enqueue(std::move(job));
        for (std::uint32_t index = 0; index < tasks; ++index) {
            m_waiting[{pointer->key, TaskIndex(index)}] = pointer;
        }
        m_jobs.push_back(pointer->key);
    }

    void place(std::uint64_t entropy)
    {
        for (const auto &placement : fixture.dispatcher.place(fixture.now, entropy)) {
            const auto waiting = m_waiting.find(placement.task);
            RC_ASSERT(waiting != m_waiting.end());
            const auto target = m_workers.find(placement.agent);
            RC_ASSERT(target != m_workers.end());
            RC_ASSERT(target->second.accepting);
            RC_ASSERT(target->second.incarnation == placement.incarnation);
            m_placed[placement.task] = {waiting->second, placement};
            m_waiting.erase(waiting);
        }
        checkCapacity();
        checkQuota();
    }

    void end(std::size_t which, PlacementEnd::Kind kind)
    {
        if (m_placed.empty()) {
            return;
        }
        const auto found = std::next(m_placed.begin(), static_cast<std::ptrdiff_t>(which % m_placed.size()));
        const auto [task, placed] = *found;
        const bool queued = fixture.end(task, kind);
        m_placed.erase(found);
        RC_ASSERT(!queued || kind == PlacementEnd::Kind::NotStarted);
        RC_ASSERT(!queued || !m_cancelled.contains(task.submission));
        if (queued) {
            m_waiting[task] = placed.job;
        }
        RC_ASSERT(!fixture.end(task, kind));
    }

    void cancel(std::size_t which)
    {
        if (m_jobs.empty()) {
            return;
        }
        const auto key = m_jobs[which % m_jobs.size()];
        m_cancelled.insert(key);
        for (const auto index : fixture.dispatcher.cancel(key)) {
            RC_ASSERT(m_waiting.erase({key, index}) == 1U);
        }
        RC_ASSERT(std::ranges::none_of(m_waiting, [&key](const auto &waiting) { return waiting.first.submission == key; }));
    }

    void expire()
    {
        for (const auto &task : fixture.dispatcher.expire(fixture.now)) {
            RC_ASSERT(m_waiting.erase(task) == 1U);
        }
    }

    void checkCounts()
    {
        RC_ASSERT(fixture.dispatcher.queuedTasks() == m_waiting.size());
        RC_ASSERT(fixture.dispatcher.placedTasks() == m_placed.size());
        RC_ASSERT(fixture.dispatcher.queuedTasks() <= fixture.config->services.begin()->second.maxQueueTasks + m_placed.size());
    }

    /** Places and ends tasks until the queue is empty. Every task must leave the queue within twice the deadline. */
    void drain()
    {
        for (std::size_t worker = 0; worker < MaxWorkers; ++worker) {
            updateWorker(worker, true, false);
        }
        const auto until = fixture.now + 2 * fixture.deadline;
        while (fixture.now < until && !(m_waiting.empty() && m_placed.empty())) {
            place(static_cast<std::uint64_t>(fixture.now.time_since_epoch().count()));
            while (!m_placed.empty()) {
                end(0, PlacementEnd::Kind::Succeeded);
            }
            expire();
            fixture.now += MaxStep;
        }
        RC_ASSERT(m_waiting.empty());
        checkCounts();
    }

    DispatchFixture fixture;

private:
    struct Placed {
        JobSpecPointer job;
        Placement placement;
    };

    void checkCapacity()
    {
        const auto queue = static_cast<std::int64_t>(fixture.config->policy.agentQueue);
        for (const auto &[agent, state] : m_workers) {
            std::int64_t slots = 0;
            MilliCores cores;
            Megabytes memory;
            for (const auto &[task, placed] : m_placed) {
                if (placed.placement.agent == agent && placed.placement.incarnation == state.incarnation) {
                    const auto &size = placed.job->tasks[task.index.value()].size;
                    ++slots;
                    cores += size.cores;
                    memory += size.memory;
                }
            }
            RC_ASSERT(slots <= state.capacity.slots.value() + queue);
            RC_ASSERT(cores <= state.capacity.cores);
            RC_ASSERT(memory <= state.capacity.memory);
        }
    }

    void checkQuota()
    {
        std::map<TeamName, std::uint32_t> placed;
        for (const auto &[task, one] : m_placed) {
            ++placed[one.job->team];
        }
        for (const auto &[team, record] : fixture.config->teams) {
            RC_ASSERT(record.quotaSlots == 0 || placed[team] <= record.quotaSlots);
        }
    }

    std::map<AgentName, WorkerState> m_workers;
    std::map<AgentName, std::uint64_t> m_incarnations;
    std::map<TaskId, JobSpecPointer> m_waiting;
    std::map<TaskId, Placed> m_placed;
    std::vector<SubmissionKey> m_jobs;
    std::set<SubmissionKey> m_cancelled;
};

TaskSize anySize()
{
    return {MilliCores(*rc::gen::element(100, 1'000, 4'000, 29'000)), Megabytes(*rc::gen::element(10, 256, 20'000, 120'000))};
}

void randomStep(DispatchModel &model)
{
    switch (*rc::gen::inRange(0, 10)) {
    case 0:
        model.updateWorker(*rc::gen::inRange<std::size_t>(0, MaxWorkers), *rc::gen::inRange(0, 4) != 0, *rc::gen::inRange(0, 4) == 0);
        break;
    case 1:
        model.removeWorker(*rc::gen::inRange<std::size_t>(0, MaxWorkers));
        break;
    case 2:
    case 3:
        model.submit(*rc::gen::inRange<std::size_t>(1, 12), anySize(), *rc::gen::element<std::string>("intake", "couriers", "narrow"));
        break;
    case 4:
        model.cancel(*rc::gen::inRange<std::size_t>(0, 100));
        break;
    case 5:
        model.fixture.now += Duration(*rc::gen::inRange<std::int64_t>(0, MaxStep.count()));
        model.expire();
        break;
    case 6:
    case 7:
        model.end(*rc::gen::inRange<std::size_t>(0, 100),
                  *rc::gen::element(
                      PlacementEnd::Kind::Succeeded, PlacementEnd::Kind::Failed, PlacementEnd::Kind::Lost, PlacementEnd::Kind::NotStarted));
        break;
    default:
        model.place(*rc::gen::arbitrary<std::uint64_t>());
        break;
    }
}

} // namespace

RC_GTEST_PROP(DispatchProperty, KeepsCapacityQuotaAndCountsUnderAnySequence, ())
{
    DispatchModel model;
    model.updateWorker(0, true, false);
    const auto steps = *rc::gen::inRange(1, 150);
    for (int step = 0; step < steps; ++step) {
        randomStep(model);
        model.checkCounts();
    }
    model.drain();
}

} // namespace Sycamoremoor
