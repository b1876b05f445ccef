// Which workers the tasks of a job are sent to.
#include "placement.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace Sycamoremoor
{

namespace
{

constexpr double PartialStartShare = 0.25;   ///< of all cores: a job that needs more may start in parts, as so much is never free at once
constexpr double MinExpectedSeconds = 1e-3;  ///< lower bound, since callers may declare a run time of zero
constexpr double UrgentQueueShare = 0.3;     ///< of a worker's cores: urgent tasks that may wait at its guard beyond its free capacity
constexpr double QueueSlackFactor = 3;       ///< slack per interval between ends of runs: the last of some tasks waits for two or three
constexpr double RunTimeWeight = 0.02;       ///< of a new run in the moving mean of run times
constexpr double MaxReserveShare = 0.1;      ///< of all cores: the most that ordinary jobs leave free for urgent ones
constexpr double UrgentWeight = 0.05;        ///< of a new urgent job in the moving mean of what they need
constexpr double ReserveHalfLifeSeconds = 5; ///< of the reserve after the last urgent job

/** Returns the cores that the waiting tasks of a job need together, but for isolated ones. */
MilliCores coresOf(const ScheduledJob &job)
{
    MilliCores need{0};
    for (const auto &task : job.tasks) {
        const bool counts = task.stage == ScheduledStage::Waiting && !task.isIsolated;
        need += counts ? job.spec->steps[task.step].size.cores : MilliCores(0);
    }
    return need;
}

bool isUrgent(const ScheduledJob &job)
{
    return SheddingPolicy::hasReserve(job.queue->priority);
}

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

Placement::Placement(WorkerTable &workers)
    : m_workers(workers)
{
}

void Placement::recordArrival(MonotonicTime now, const ScheduledJob &job)
{
    const auto waiting = std::ranges::count(job.tasks, ScheduledStage::Waiting, &ScheduledTask::stage);
    if (!isUrgent(job) || waiting == 0) {
        return;
    }
    const auto weight = m_urgentJobCores == 0 ? 1 : UrgentWeight;
    const auto need = static_cast<double>(coresOf(job).value());
    m_urgentJobCores += (need - m_urgentJobCores) * weight;
    m_urgentTaskCores += (need / static_cast<double>(waiting) - m_urgentTaskCores) * weight;
    m_urgentAt = now;
}

void Placement::recordRun(Duration runTime)
{
    const auto change = static_cast<double>((runTime - m_meanRunTime).count());
    m_meanRunTime += Duration(static_cast<std::int64_t>(change * (m_meanRunTime == Duration::zero() ? 1 : RunTimeWeight)));
}

std::optional<std::vector<PlacedTask>> Placement::place(const PlacementContext &context, ScheduledJob &job)
{
    if (job.rank.isOrdinary && !job.started && !leavesReserve(context, job)) {
        return std::nullopt;
    }
    auto placed = tryPlace(context, job, 0);
    return placed || !mayQueueAtGuards(context, job) ? placed : tryPlace(context, job, UrgentQueueShare);
}

bool Placement::mayQueueAtGuards(const PlacementContext &context, const ScheduledJob &job) const
{
    if (!isUrgent(job) || job.started) {
        return false;
    }
    MilliCores largest{0};
    for (const auto &step : job.spec->steps) {
        largest = std::max(largest, step.size.cores);
    }
    // Runs of all sizes end on a worker at this interval if it is full of tasks like the job's.
    const auto interval = secondsOf(m_meanRunTime) * static_cast<double>(largest.value()) / m_workers.meanCores(job.queue->service);
    return interval * QueueSlackFactor <= secondsOf(job.latestStart - context.now);
}

std::optional<std::vector<PlacedTask>> Placement::tryPlace(const PlacementContext &context, ScheduledJob &job, double queueShare)
{
    std::vector<PlacedTask> placed;
    std::set<std::uint32_t> unplaceable; // steps that no worker takes another task of
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        const auto &task = job.tasks[index];
        const bool waits = task.stage == ScheduledStage::Waiting && !task.isIsolated;
        if (!waits || unplaceable.contains(task.step) || placeTask(context, job, index, queueShare, placed)) {
            continue;
        }
        // Passes over all tasks of the job, so it is asked at the first failure only.
        if (unplaceable.empty() && !mayStartInPart(job)) {
            takeBack(job, placed);
            return std::nullopt;
        }
        unplaceable.insert(task.step);
    }
    return placed;
}

std::vector<PlacedTask> Placement::placeIsolated(const PlacementContext &context, ScheduledJob &job)
{
    std::vector<PlacedTask> placed;
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        if (job.tasks[index].isIsolated && job.tasks[index].stage == ScheduledStage::Waiting) {
            (void)placeTask(context, job, index, 0, placed); // one that does not fit waits for an empty worker
        }
    }
    return placed;
}

bool Placement::placeTask(
    const PlacementContext &context, ScheduledJob &job, std::size_t index, double queueShare, std::vector<PlacedTask> &placed)
{
    const auto &task = job.tasks[index];
    auto &ofStep = job.placed[task.step];
    auto need = needOf(context, job, task);
    need.queueShare = queueShare;
    if (queueShare > 0) {
        need.tolerance = 0; // its wait at the guard takes of its slack, and is shorter where runs end sooner
    }
    const auto *agent = m_workers.choose(context.now, need, task.avoided, ofStep, context.entropy + index);
    if (agent == nullptr && !task.avoided.empty()) {
        agent = m_workers.choose(context.now, need, {}, ofStep, context.entropy + index);
    }
    if (agent == nullptr) {
        return false;
    }
    const auto same = std::ranges::find(placed, *agent, &PlacedTask::agent);
    const auto batch = same == placed.end() ? BatchNumber(++m_lastBatch) : same->batch;
    ++ofStep[*agent];
    m_workers.addBatch(*agent, batch, sizeOn(*agent, job, task), 1);
    placed.push_back({index, *agent, batch, queueShare > 0});
    return true;
}

void Placement::takeBack(ScheduledJob &job, const std::vector<PlacedTask> &placed)
{
    for (const auto &[task, agent, batch, queuesAtGuard] : placed) {
        --job.placed[job.tasks[task].step][agent];
        m_workers.forgetBatch(agent, batch);
        m_workers.removeTasks(agent, 1);
    }
}

TaskNeed Placement::needOf(const PlacementContext &context, const ScheduledJob &job, const ScheduledTask &task)
{
    const auto &jobStep = job.spec->steps[task.step];
    TaskNeed need;
    need.service = job.queue->service;
    need.size = jobStep.size;
    need.isConfined = context.isConfined;
    need.isIsolated = task.isIsolated;
    need.label = jobStep.requiredLabel;
    need.rack = jobStep.dataRack;
    need.mostPerWorker = jobStep.mostPerWorker;
    // A new job is placed only where it can meet its objective: on a slower worker it would end late or not at all, while its
    // caller can submit it again after a refusal.
    const auto expected = std::max(secondsOf(job.expected[task.step]), MinExpectedSeconds);
    const auto left = secondsOf((job.started ? job.expiresAt : job.arrivedAt + job.objective) - context.now);
    need.slowestAllowed = std::max(1.0, left / expected);
    need.tolerance = secondsOf(job.arrivedAt + job.objective - context.now) / expected;
    return need;
}

TaskSize Placement::sizeOn(const AgentName &agent, const ScheduledJob &job, const ScheduledTask &task) const
{
    return task.isIsolated ? m_workers.capacity(agent) : job.spec->steps[task.step].size;
}

bool Placement::leavesReserve(const PlacementContext &context, const ScheduledJob &job) const
{
    const auto age = secondsOf(context.now - m_urgentAt);
    const auto all = static_cast<double>(m_workers.cores(job.queue->service).value());
    const auto reserve = std::min(m_urgentJobCores * std::exp2(-age / ReserveHalfLifeSeconds), all * MaxReserveShare);
    const MilliCores taskCores(static_cast<std::int64_t>(m_urgentTaskCores));
    const auto usable = m_workers.usableCores(job.queue->service, context.isConfined, taskCores);
    return static_cast<double>((usable - coresOf(job)).value()) >= reserve || mayStartInPart(job);
}

bool Placement::mayStartInPart(const ScheduledJob &job) const
{
    const auto all = static_cast<double>(m_workers.cores(job.queue->service).value());
    return job.started || static_cast<double>(coresOf(job).value()) > all * PartialStartShare;
}

} // namespace Sycamoremoor
