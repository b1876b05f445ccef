// Bookkeeping of agents.
#include "worker_directory.h"

#include <algorithm>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr std::size_t MaxPastLives = 64;
constexpr std::size_t MaxReportsAhead = 100'000;

/** Replaces @p known by a newer heartbeat; a brief one leaves what does not change as it is. */
void takeHeartbeat(AgentHeartbeat &known, const AgentHeartbeat &heartbeat)
{
    const auto before = std::exchange(known, heartbeat);
    known.unacknowledged.clear();
    if (!heartbeat.brief) {
        return;
    }
    known.startedAt = before.startedAt;
    known.endpoint = before.endpoint;
    known.zone = before.zone;
    known.region = before.region;
    known.service = before.service;
    known.upstream = before.upstream;
    known.capacity = before.capacity;
}

} // namespace

WorkerDirectory::WorkerDirectory(const EntrySettings &settings)
    : m_settings(settings)
{
}

HeartbeatChange WorkerDirectory::onHeartbeat(MonotonicTime now, const AgentHeartbeat &heartbeat)
{
    HeartbeatChange change;
    if (heartbeat.brief) {
        const auto *known = find(heartbeat.agent);
        change.unknown = known == nullptr || known->heartbeat.incarnation != heartbeat.incarnation;
        if (change.unknown) {
            return change;
        }
    }
    auto &seen = m_arrivals[heartbeat.agent];
    if (seen.past.contains(heartbeat.incarnation)) {
        return change;
    }
    if (seen.incarnation != heartbeat.incarnation) {
        if (seen.incarnation != Incarnation()) {
            if (seen.past.size() >= MaxPastLives) {
                seen.past.erase(seen.past.begin());
            }
            seen.past.insert(seen.incarnation);
            change.replaced = seen.incarnation;
        }
        seen.incarnation = heartbeat.incarnation;
        seen.upTo = ReportSequence();
        seen.ahead.clear();
    }
    auto &worker = m_workers[heartbeat.agent];
    const auto late = worker.heartbeat.incarnation == heartbeat.incarnation && worker.heartbeat.stamp > heartbeat.stamp;
    if (!late) {
        takeHeartbeat(worker.heartbeat, heartbeat);
        worker.silent = false;
    }
    if (change.replaced) {
        worker.missingSince.reset();
    }
    worker.heardAt = now;
    worker.aliveAt = now;
    change.accepted = true;
    if (!m_nextCheck) {
        m_nextCheck = now + m_settings.agentHeartbeatInterval;
    }
    return change;
}

std::uint32_t WorkerDirectory::heartbeatStretch() const
{
    const auto perInterval
        = std::max<std::int64_t>(1, m_settings.agentHeartbeatRate * m_settings.agentHeartbeatInterval / std::chrono::seconds(1));
    const auto needed = (static_cast<std::int64_t>(m_workers.size()) + perInterval - 1) / perInterval;
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(needed, 1, m_settings.maxHeartbeatStretch));
}

Duration WorkerDirectory::heartbeatInterval() const
{
    const auto stretch = heartbeatStretch();
    return stretch == 1 ? Duration::zero() : stretch * m_settings.agentHeartbeatInterval;
}

void WorkerDirectory::alive(MonotonicTime now, const AgentName &agent, Incarnation incarnation)
{
    if (auto *worker = find(agent); worker != nullptr && worker->heartbeat.incarnation == incarnation) {
        worker->aliveAt = now;
    }
}

bool WorkerDirectory::noteReport(const AgentName &agent, Incarnation incarnation, ReportSequence sequence)
{
    if (sequence == ReportSequence()) {
        return true;
    }
    auto *seen = arrivals(agent, incarnation);
    if (seen == nullptr) {
        return true;
    }
    if (sequence <= seen->upTo || seen->ahead.contains(sequence)) {
        return false;
    }
    if (seen->ahead.size() < MaxReportsAhead) {
        seen->ahead.insert(sequence);
        advance(*seen);
    }
    return true;
}

ReportSequence WorkerDirectory::acknowledged(const AgentName &agent, Incarnation incarnation) const
{
    const auto found = m_arrivals.find(agent);
    return found != m_arrivals.end() && found->second.incarnation == incarnation ? found->second.upTo : ReportSequence();
}

WorkerSilence WorkerDirectory::onTime(MonotonicTime now)
{
    WorkerSilence silence;
    if (!m_nextCheck || now < *m_nextCheck) {
        return silence;
    }
    m_nextCheck = now + m_settings.agentHeartbeatInterval;
    for (auto &[name, worker] : m_workers) {
        if (now - worker.aliveAt > m_settings.agentLostTimeout) {
            silence.lost.emplace_back(name, worker.heartbeat.incarnation);
        } else if (!worker.silent && now - worker.heardAt > m_settings.failureTimeout * heartbeatStretch()) {
            worker.silent = true;
            silence.silent.push_back(name);
        }
    }
    for (const auto &[name, incarnation] : silence.lost) {
        m_workers.erase(name);
    }
    if (m_workers.empty()) {
        m_nextCheck.reset();
    }
    return silence;
}

void WorkerDirectory::forgiveSilence(MonotonicTime now)
{
    for (auto &[name, worker] : m_workers) {
        worker.heardAt = std::max(worker.heardAt, now);
        worker.aliveAt = std::max(worker.aliveAt, now);
    }
}

void WorkerDirectory::clear()
{
    m_workers.clear();
    m_arrivals.clear();
    m_nextCheck.reset();
}

KnownWorker *WorkerDirectory::find(const AgentName &agent)
{
    const auto found = m_workers.find(agent);
    return found == m_workers.end() ? nullptr : &found->second;
}

const std::map<AgentName, KnownWorker> &WorkerDirectory::workers() const
{
    return m_workers;
}

std::optional<MonotonicTime> WorkerDirectory::nextWake() const
{
    return m_nextCheck;
}

WorkerDirectory::Arrivals *WorkerDirectory::arrivals(const AgentName &agent, Incarnation incarnation)
{
    const auto found = m_arrivals.find(agent);
    return found != m_arrivals.end() && found->second.incarnation == incarnation ? &found->second : nullptr;
}

void WorkerDirectory::advance(Arrivals &arrivals)
{
    auto next = arrivals.ahead.begin();
    while (next != arrivals.ahead.end() && next->value() == arrivals.upTo.value() + 1) {
        arrivals.upTo = *next;
        next = arrivals.ahead.erase(next);
    }
}

} // namespace Sycamoremoor
