// Order of teams and jobs of one service.
#include "dispatch/service_queue.h"

#include <algorithm>
#include <iterator>

namespace Sycamoremoor
{

namespace
{

/** Maximum number of sizes that one call of unpark() tries. */
constexpr std::size_t MaxUnparkSizes = 16;

/** Returns the expected run time of the queued tasks of jobs ranked up to @p at. */
Duration runTimeUpTo(const std::set<JobRank> &jobs, MonotonicTime at)
{
    Duration totalRunTime{};
    for (auto job = jobs.begin(); job != jobs.end() && job->at <= at; ++job) {
        totalRunTime += job->entry->totalRunTime;
    }
    return totalRunTime;
}

} // namespace

ServiceQueue::SizeKey ServiceQueue::sizeKey(const ResourceAmount &need)
{
    return {need.size.accelerators.value(), need.size.memory.value(), need.size.cores.value()};
}

ServiceQueue::TeamRank ServiceQueue::teamRank(const TeamQueue &team)
{
    return {team.placed / team.usage->weight, team.usage->index};
}

ServiceQueue::TeamQueue &ServiceQueue::teamQueue(const TeamUsage &usage)
{
    auto &team = m_teams[usage.index];
    team.usage = &usage;
    return team;
}

void ServiceQueue::insertReady(JobEntry &entry)
{
    auto &team = teamQueue(*entry.team);
    team.ready.insert(entry.rank);
    m_order.try_emplace(teamRank(team), &team);
    entry.queueState = JobQueueState::Ready;
}

void ServiceQueue::remove(JobEntry &entry)
{
    if (entry.queueState == JobQueueState::Ready) {
        auto &team = teamQueue(*entry.team);
        team.ready.erase(entry.rank);
        if (team.ready.empty()) {
            m_order.erase(teamRank(team));
        }
    } else if (entry.queueState == JobQueueState::Parked) {
        const auto parked = m_parked.find(sizeKey(entry.parkedNeed));
        parked->second.erase(entry.rank);
        if (parked->second.empty()) {
            m_parked.erase(parked);
        }
    }
    entry.queueState = JobQueueState::Idle;
}

void ServiceQueue::refresh(JobEntry &entry, const JobRank &rank)
{
    const bool isInOrder = entry.queueState == JobQueueState::Ready && !entry.waiting.empty();
    if (isInOrder && entry.rank.at == rank.at) {
        return;
    }
    remove(entry);
    entry.rank = rank;
    if (!entry.waiting.empty()) {
        insertReady(entry);
    }
}

JobEntry *ServiceQueue::next() const
{
    for (const auto &[rank, team] : m_order) {
        if (!team->usage->isAtQuota()) {
            return team->ready.begin()->entry;
        }
    }
    return nullptr;
}

void ServiceQueue::withdraw(JobEntry &entry)
{
    remove(entry);
}

void ServiceQueue::park(JobEntry &entry, const ResourceAmount &need)
{
    remove(entry);
    entry.parkedNeed = need;
    m_parked[sizeKey(need)].insert(entry.rank);
    entry.queueState = JobQueueState::Parked;
}

void ServiceQueue::unpark(const WorkerPool &pool, std::uint64_t entropy)
{
    const auto sizes = std::min(MaxUnparkSizes, m_parked.size());
    for (std::size_t size = 0; size < sizes; ++size) {
        auto parked = m_parked.lower_bound(m_unparkFrom);
        if (parked == m_parked.end()) {
            parked = m_parked.begin();
        }
        auto &entry = *parked->second.begin()->entry;
        const auto after = std::next(parked);
        m_unparkFrom = after == m_parked.end() ? SizeKey{} : after->first;
        if (pool.choose(entry.parkedNeed, entropy) != nullptr) {
            remove(entry);
            insertReady(entry);
        }
    }
}

JobEntry *ServiceQueue::firstParked() const
{
    const JobRank *first = nullptr;
    for (const auto &[size, jobs] : m_parked) {
        if (first == nullptr || *jobs.begin() < *first) {
            first = &*jobs.begin();
        }
    }
    return first == nullptr ? nullptr : first->entry;
}

bool ServiceQueue::hasParked() const
{
    return !m_parked.empty();
}

void ServiceQueue::countPlaced(const TeamUsage &usage, std::int32_t delta)
{
    auto &team = teamQueue(usage);
    m_order.erase(teamRank(team));
    team.placed += static_cast<std::uint32_t>(delta);
    if (!team.ready.empty()) {
        m_order.try_emplace(teamRank(team), &team);
    }
}

void ServiceQueue::countWaiting(const TaskSpec &task, Duration expected, std::int32_t sign)
{
    m_waitingTasks += static_cast<std::uint32_t>(sign);
    m_waitingBytes += sign * static_cast<std::int64_t>(task.payload.size());
    m_waitingRunTime += sign * expected;
}

std::uint32_t ServiceQueue::waitingTasks() const
{
    return m_waitingTasks;
}

std::int64_t ServiceQueue::waitingBytes() const
{
    return m_waitingBytes;
}

Duration ServiceQueue::waitingRunTime() const
{
    return m_waitingRunTime;
}

Duration ServiceQueue::waitingRunTimeUpTo(MonotonicTime at) const
{
    Duration totalRunTime{};
    for (const auto &[index, team] : m_teams) {
        totalRunTime += runTimeUpTo(team.ready, at);
    }
    for (const auto &[size, jobs] : m_parked) {
        totalRunTime += runTimeUpTo(jobs, at);
    }
    return totalRunTime;
}

} // namespace Sycamoremoor
