// Workers as a scheduler knows them: room, standing, and which of them takes a task.
#include "worker_table.h"

#include <algorithm>
#include <cmath>

namespace Sycamoremoor
{

namespace
{

constexpr double SlownessWeight = 0.3;        ///< of a new run in the moving mean: five runs tell a change
constexpr double SlownessHalfLifeSeconds = 2; ///< without runs; slow spells of upstreams last some seconds
constexpr double LargestSlowness = 16;
constexpr std::uint32_t FailuresToSetAside = 3; ///< of different jobs: a single job that always fails must not cost a worker
constexpr Duration FirstSetAside = std::chrono::milliseconds(1000); ///< an upstream that fails all does so for some seconds
constexpr std::uint32_t MostDoublings = 3;
constexpr double NearDataBonus = 1.5;    ///< what a run far from its data costs in time
constexpr double UrgentQueueShare = 0.3; ///< of a worker's processors: urgent work that may wait at its guard
constexpr double UrgentReserve = 0.03;   ///< of a worker's processors, left free by ordinary work
constexpr double ScoreJitter = 0.2;      ///< schedulers that see the same room must not all choose the same worker

/** Returns a number from 0 to 1 that depends on @p entropy and @p index. */
double fractionOf(std::uint64_t entropy, std::uint64_t index)
{
    constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15ULL;
    constexpr double Range = 1ULL << 53U;
    constexpr unsigned Surplus = 11;
    auto bits = (entropy ^ (index * Multiplier)) * Multiplier;
    bits ^= bits >> 32U;
    bits *= Multiplier;
    return static_cast<double>(bits >> Surplus) / Range;
}

double currentSlowness(MonotonicTime now, const WorkerStanding &standing)
{
    const std::chrono::duration<double> age = now - standing.slownessAt;
    return 1 + (standing.slowness - 1) * std::exp2(-age.count() / SlownessHalfLifeSeconds);
}

/** Tells whether a worker that was set aside may have another task now: one at a time, after its time. */
bool isOnTrial(const WorkerStanding &standing)
{
    return standing.setAsideTimes > 0;
}

/**
 * Returns what may be sent to a worker now.
 *
 * Ordinary work is sent where it begins at once, and leaves a little for urgent work, which needs room for many tasks at the
 * same time. Urgent work may wait in a short queue at the guard, where it goes before the ordinary work of all schedulers.
 */
TaskSize offeredRoom(const ScheduledWorker &worker, bool isOrdinary)
{
    const auto share = isOrdinary ? -UrgentReserve : UrgentQueueShare;
    auto offered = worker.room.free - worker.unseenSize;
    offered.cores += MilliCores(static_cast<std::int64_t>(static_cast<double>(worker.room.capacity.cores.value()) * share));
    return offered;
}

/** Tells whether a worker takes work of @p service at all. */
bool serves(const ScheduledWorker &worker, const ServiceName &service)
{
    return worker.heard && worker.room.accepting && worker.room.service == service;
}

bool hasLabel(const RoomReport &room, const std::string &label)
{
    return std::ranges::find(room.labels, label) != room.labels.end();
}

} // namespace

void WorkerTable::report(const RoomReported &input)
{
    auto &worker = m_workers[input.agent];
    if (worker.room.incarnation != input.room.incarnation) {
        worker.unseen.clear();
        worker.unseenSize = ZeroTaskSize;
        worker.standing = {};
    }
    worker.room = input.room;
    worker.heard = true;
    while (!worker.unseen.empty() && worker.unseen.begin()->first <= input.room.seen) {
        worker.unseenSize -= worker.unseen.begin()->second;
        worker.unseen.erase(worker.unseen.begin());
    }
}

void WorkerTable::silence(const AgentName &agent)
{
    if (const auto found = m_workers.find(agent); found != m_workers.end()) {
        found->second.heard = false;
        found->second.unseen.clear();
        found->second.unseenSize = ZeroTaskSize;
    }
}

double WorkerTable::score(MonotonicTime now, const ScheduledWorker &worker, const TaskNeed &need) const
{
    const auto &standing = worker.standing;
    const auto offered = offeredRoom(worker, need.isOrdinary);
    if (!serves(worker, need.service) || !fits(need.size, offered)) {
        return 0;
    }
    if (!need.label.empty() && !hasLabel(worker.room, need.label)) {
        return 0;
    }
    if ((standing.setAsideUntil && *standing.setAsideUntil > now) || (isOnTrial(standing) && worker.running > 0)) {
        return 0;
    }
    const auto slowness = currentSlowness(now, standing);
    if (slowness > need.slowestAllowed) {
        return 0;
    }
    const auto share
        = static_cast<double>(offered.cores.value()) / static_cast<double>(std::max<std::int64_t>(1, worker.room.capacity.cores.value()));
    const auto near = !need.rack.empty() && hasLabel(worker.room, need.rack) ? NearDataBonus : 1;
    return share * near / (slowness * slowness);
}

const AgentName *WorkerTable::choose(
    MonotonicTime now, const TaskNeed &need, const std::vector<AgentName> &avoided, const Counts &ofStep, std::uint64_t entropy) const
{
    const AgentName *best = nullptr;
    double bestScore = 0;
    std::uint64_t index = 0;
    for (const auto &[agent, worker] : m_workers) {
        ++index;
        const auto placed = ofStep.find(agent);
        const bool isFull = need.mostPerWorker > 0 && placed != ofStep.end() && placed->second >= need.mostPerWorker;
        if (isFull || std::ranges::find(avoided, agent) != avoided.end()) {
            continue;
        }
        const auto value = score(now, worker, need) * (1 + ScoreJitter * fractionOf(entropy, index));
        if (value > bestScore) {
            best = &agent;
            bestScore = value;
        }
    }
    return best;
}

void WorkerTable::sent(const AgentName &agent, BatchNumber batch, const TaskSize &size, std::uint32_t tasks)
{
    auto &worker = m_workers[agent];
    auto &unseen = worker.unseen.try_emplace(batch, ZeroTaskSize).first->second;
    unseen += size;
    worker.unseenSize += size;
    worker.running += tasks;
}

void WorkerTable::returned(const AgentName &agent, std::uint32_t tasks)
{
    auto &worker = m_workers[agent];
    worker.running -= std::min(worker.running, tasks);
}

void WorkerTable::notArrived(const AgentName &agent, BatchNumber batch)
{
    auto &worker = m_workers[agent];
    if (const auto found = worker.unseen.find(batch); found != worker.unseen.end()) {
        worker.unseenSize -= found->second;
        worker.unseen.erase(found);
    }
}

void WorkerTable::succeeded(MonotonicTime now, const AgentName &agent, Duration expected, Duration runTime)
{
    auto &standing = m_workers[agent].standing;
    standing.failures = 0;
    standing.setAsideTimes = 0;
    standing.setAsideUntil.reset();
    const auto ratio = static_cast<double>(runTime.count()) / static_cast<double>(std::max<std::int64_t>(1, expected.count()));
    const auto before = currentSlowness(now, standing);
    standing.slowness = std::clamp(before + SlownessWeight * (ratio - before), 1.0, LargestSlowness);
    standing.slownessAt = now;
}

bool WorkerTable::failed(MonotonicTime now, const AgentName &agent, std::uint64_t job)
{
    auto &standing = m_workers[agent].standing;
    if (standing.setAsideUntil && *standing.setAsideUntil > now) {
        return false;
    }
    if (standing.failures > 0 && standing.lastFailedJob == job) {
        return false;
    }
    ++standing.failures;
    standing.lastFailedJob = job;
    if (standing.failures < FailuresToSetAside && !isOnTrial(standing)) {
        return false;
    }
    standing.setAsideUntil = now + FirstSetAside * (1U << std::min(standing.setAsideTimes, MostDoublings));
    ++standing.setAsideTimes;
    return true;
}

bool WorkerTable::everFits(const ServiceName &service, const TaskSize &size) const
{
    bool anyHeard = false;
    for (const auto &[agent, worker] : m_workers) {
        if (!serves(worker, service)) {
            continue;
        }
        if (fits(size, worker.room.capacity)) {
            return true;
        }
        anyHeard = true;
    }
    return !anyHeard;
}

bool WorkerTable::hasWorker() const
{
    return std::ranges::any_of(m_workers, [](const auto &item) { return item.second.heard && item.second.room.accepting; });
}

MilliCores WorkerTable::cores(const ServiceName &service) const
{
    MilliCores sum{0};
    for (const auto &[agent, worker] : m_workers) {
        if (serves(worker, service)) {
            sum += worker.room.capacity.cores;
        }
    }
    return sum;
}

std::optional<MonotonicTime> WorkerTable::nextReturn(MonotonicTime now) const
{
    std::optional<MonotonicTime> next;
    for (const auto &[agent, worker] : m_workers) {
        if (const auto &until = worker.standing.setAsideUntil; until && *until > now) {
            next = next ? std::min(*next, *until) : *until;
        }
    }
    return next;
}

} // namespace Sycamoremoor
