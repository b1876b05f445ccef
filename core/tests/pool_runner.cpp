// Simulated runner of the pool simulation: executes orders under leases and does not check its capacity.
#include "pool_runner.h"

#include <algorithm>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr Duration MaxLease = std::chrono::seconds(1);
constexpr Duration LateLapse = std::chrono::seconds(1); ///< after the end of a lease, if runners do not keep to it

} // namespace

PoolRunner::PoolRunner(PoolRules rulesOff)
    : m_rulesOff(std::move(rulesOff))
{
}

void PoolRunner::restart(MonotonicTime now)
{
    *this = PoolRunner(m_rulesOff);
    m_startTime = now;
    m_startTimeMs = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    m_leaseUntil = now;
}

UpstreamTime PoolRunner::clock(MonotonicTime now) const
{
    return UpstreamTime(std::chrono::duration_cast<std::chrono::milliseconds>(now - m_startTime).count());
}

void PoolRunner::extendLease(MonotonicTime now, UpstreamTime leaseUntil)
{
    if (m_rulesOff.contains(PoolRule::RunnerLease)) {
        m_leaseUntil = MonotonicTime::max();
        return;
    }
    auto until = std::min(m_startTime + Duration(std::chrono::milliseconds(leaseUntil.value())), now + MaxLease);
    if (m_rulesOff.contains(PoolRule::LapseBound)) {
        until += LateLapse;
    }
    m_leaseUntil = std::max(m_leaseUntil, until);
}

bool PoolRunner::isFenced(FencingToken token) const
{
    return token < m_token && !m_rulesOff.contains(PoolRule::FencingToken);
}

StartAnswer
PoolRunner::start(MonotonicTime now, const RunnerStart &start, UpstreamTime leaseUntil, FencingToken token, const RunnerRun &run)
{
    if (isFenced(token)) {
        return StartAnswer::Fenced;
    }
    m_token = std::max(m_token, token);
    extendLease(now, leaseUntil);
    if (m_runs.contains(start.run)) {
        return StartAnswer::Started;
    }
    if (const auto closed = m_lastClosedRuns.find(start.run.task); closed != m_lastClosedRuns.end() && start.run.number <= closed->second) {
        return StartAnswer::Superseded;
    }
    if (m_leaseUntil <= now) {
        return StartAnswer::TooLate;
    }
    m_runs.emplace(start.run, run);
    return StartAnswer::Started;
}

void PoolRunner::stop(MonotonicTime /*now*/, const RunId &run, FencingToken token)
{
    if (isFenced(token)) {
        return;
    }
    m_token = std::max(m_token, token);
    if (!m_rulesOff.contains(PoolRule::StopIsFinal)) {
        auto &closed = m_lastClosedRuns[run.task];
        closed = std::max(closed, run.number);
    }
    if (m_runs.contains(run)) {
        end(run, RunOutcome::Stopped);
    }
}

void PoolRunner::renew(MonotonicTime now, UpstreamTime leaseUntil, FencingToken token, std::uint64_t acknowledged)
{
    if (isFenced(token)) {
        return;
    }
    m_token = std::max(m_token, token);
    if (leaseUntil.value() != 0) {
        extendLease(now, leaseUntil);
    }
    std::erase_if(m_ended, [&](const EndedRun &ended) { return ended.number <= acknowledged; });
}

void PoolRunner::end(const RunId &run, RunOutcome outcome)
{
    m_runs.erase(run);
    auto &closed = m_lastClosedRuns[run.task];
    closed = std::max(closed, run.number);
    m_ended.push_back({++m_lastEnd, run, outcome});
}

std::vector<RunId> PoolRunner::advance(MonotonicTime now)
{
    std::vector<RunId> endedRuns;
    const auto runs = m_runs;
    for (const auto &[run, record] : runs) {
        const bool isLeaseExpired = m_leaseUntil <= now;
        if (record.endsAt <= now || isLeaseExpired) {
            end(run, record.endsAt <= now ? record.outcome : RunOutcome::Lapsed);
            endedRuns.push_back(run);
        }
    }
    return endedRuns;
}

std::optional<MonotonicTime> PoolRunner::nextEnd() const
{
    if (m_runs.empty()) {
        return std::nullopt;
    }
    auto next = m_leaseUntil;
    for (const auto &[run, record] : m_runs) {
        next = std::min(next, record.endsAt);
    }
    return next;
}

std::vector<RunId> PoolRunner::running() const
{
    std::vector<RunId> runs;
    for (const auto &[run, record] : m_runs) {
        runs.push_back(run);
    }
    return runs;
}

const std::vector<EndedRun> &PoolRunner::ended() const
{
    return m_ended;
}

std::int64_t PoolRunner::startTimeMs() const
{
    return m_startTimeMs;
}

bool PoolRunner::isRunning(const RunId &run) const
{
    return m_runs.contains(run);
}

} // namespace Sycamoremoor
