// State of the upstream: its health, its incarnation, and the outcome of tasks whose exchange failed.
#include "upstream_controller.h"

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

constexpr Duration RetryQueryDelay = std::chrono::seconds(1);
constexpr Duration MaxQueryDelay = std::chrono::seconds(10);
constexpr std::uint32_t MaxUnknownAnswers = 3; ///< unknown answers until a task is lost; its start may be in transit at the first
constexpr Duration UpstreamLostTimeout = std::chrono::seconds(15); ///< time without a probe answer until its tasks are lost

/** Returns the report of a task that ended at the upstream. */
TaskReport endReport(AgentStep &step, TaskState state, ErrorKind error, std::string result)
{
    TaskReport end;
    end.state = state;
    end.ran = RunState::Ran;
    end.error = error;
    end.result = std::move(result);
    end.finishedAt = step.context.wall;
    return end;
}

} // namespace

UpstreamController::UpstreamController(AgentState &state, TaskController &tasks)
    : m_state(state)
    , m_tasks(tasks)
{
}

bool UpstreamController::isRunning(const TaskId &task) const
{
    const auto *record = m_state.ledger.find(task);
    return record != nullptr && record->state == TaskState::Running && m_state.active.contains(task);
}

void UpstreamController::handleTaskEnded(AgentStep &step, const UpstreamTaskEnded &input)
{
    if (!isRunning(input.task)) {
        return;
    }
    const auto reason = m_state.active.at(input.task).stopReason;
    if (input.stopped) {
        const auto error = reason == ErrorKind::None ? ErrorKind::Cancelled : reason;
        m_tasks.finish(step, input.task, endReport(step, TaskState::Stopped, error, input.result));
    } else if (input.succeeded) {
        m_tasks.finish(step, input.task, endReport(step, TaskState::Succeeded, ErrorKind::None, input.result));
    } else {
        m_tasks.finish(step, input.task, endReport(step, TaskState::Failed, ErrorKind::TaskFailed, input.result));
    }
}

void UpstreamController::handleStartFailed(AgentStep &step, const UpstreamStartFailed &input)
{
    m_probeAt = step.context.now;
    if (!isRunning(input.task)) {
        return;
    }
    if (input.delivery == Delivery::NotSent || !m_state.rules.unknownAfterBrokenStart) {
        m_state.upstreamHealthy = m_state.upstreamHealthy && input.delivery != Delivery::NotSent;
        TaskReport end;
        end.error = ErrorKind::UpstreamLost;
        m_state.ledger.find(input.task)->startedAt = WallTime{};
        m_tasks.finish(step, input.task, end);
        return;
    }
    querySoon(step, input.task);
}

void UpstreamController::handleTaskState(AgentStep &step, const UpstreamTaskState &input)
{
    updateIncarnation(step, input.upstream);
    if (!isRunning(input.task)) {
        return;
    }
    auto &active = m_state.active.at(input.task);
    if (!input.known) {
        if (++active.unknownAnswers >= MaxUnknownAnswers) {
            loseTask(step, input.task);
        }
        return;
    }
    active.unknownAnswers = 0;
    active.startConfirmed = true;
    if (input.running) {
        return;
    }
    UpstreamTaskEnded end;
    end.task = input.task;
    end.succeeded = input.succeeded;
    end.stopped = !input.succeeded && active.stopReason != ErrorKind::None;
    end.result = input.result;
    handleTaskEnded(step, end);
}

void UpstreamController::handleHealth(AgentStep &step, const UpstreamHealth &input)
{
    updateIncarnation(step, input.upstream);
    m_healthyAt = step.context.now;
    m_refusedSince.reset();
    m_state.upstreamHealthy = true;
    m_state.upstreamLeaving = input.leaving;
    m_state.usage = input.usage;
    m_tasks.fillSlots(step);
}

void UpstreamController::handleUnreachable(AgentStep &step, const UpstreamUnreachable &input)
{
    if (input.delivery == Delivery::NotSent) {
        m_refusedSince = m_refusedSince.value_or(step.context.now);
        m_state.upstreamHealthy = false;
        m_tasks.fillSlots(step);
    }
}

void UpstreamController::updateIncarnation(AgentStep &step, Incarnation incarnation)
{
    if (incarnation == m_state.upstreamIncarnation) {
        return;
    }
    const bool restarted = m_state.upstreamIncarnation != Incarnation();
    m_state.upstreamIncarnation = incarnation;
    if (!restarted) {
        return;
    }
    step.outputs.emplace_back(LogLine{Severity::Warning, "agent", "The upstream has restarted."});
    for (auto &[task, active] : m_state.active) {
        // The new incarnation may already have received the task; it is lost if the new incarnation does not know it.
        if (isRunning(task)) {
            active.unknownAnswers = 0;
            querySoon(step, task);
        }
    }
}

void UpstreamController::querySoon(AgentStep &step, const TaskId &task)
{
    auto &active = m_state.active.at(task);
    active.queryAt = step.context.now;
    active.queryDelay = RetryQueryDelay;
}

void UpstreamController::tick(AgentStep &step)
{
    const auto now = step.context.now;
    if (m_healthyAt == MonotonicTime{}) {
        m_healthyAt = now;
    }
    if (m_probeAt <= now) {
        m_probeAt = now + m_state.settings.upstreamProbeInterval;
        step.outputs.emplace_back(ProbeUpstream{});
    }
    if (m_state.upstreamHealthy && now - m_healthyAt > m_state.settings.failureTimeout) {
        m_state.upstreamHealthy = false;
        step.outputs.emplace_back(LogLine{Severity::Warning, "agent", "The upstream does not answer."});
        m_tasks.fillSlots(step);
    }
    if (upstreamLostAt() <= now) {
        loseAllTasks(step);
    }
    for (auto &[task, active] : m_state.active) {
        checkTask(step, task, active);
    }
}

void UpstreamController::checkTask(AgentStep &step, const TaskId &task, ActiveTask &active)
{
    if (!isRunning(task)) {
        return;
    }
    const auto now = step.context.now;
    if (active.stopReason == ErrorKind::None && runLimit(active) <= now) {
        active.stopReason = ErrorKind::DeadlineUnreachable;
        step.outputs.emplace_back(StopOnUpstream{task});
    }
    if (active.queryAt > now) {
        return;
    }
    active.queryDelay = active.unknownAnswers > 0 ? RetryQueryDelay : std::min(2 * active.queryDelay, MaxQueryDelay);
    active.queryAt = now + active.queryDelay;
    if (active.stopReason != ErrorKind::None) {
        step.outputs.emplace_back(StopOnUpstream{task});
    }
    step.outputs.emplace_back(QueryUpstream{task});
}

MonotonicTime UpstreamController::runLimit(const ActiveTask &active) const
{
    if (!m_state.config) {
        return MonotonicTime::max();
    }
    const auto service = m_state.config->services.find(m_state.settings.service);
    return service == m_state.config->services.end() ? MonotonicTime::max() : active.startedAt + service->second.maxRunTime;
}

MonotonicTime UpstreamController::upstreamLostAt() const
{
    if (m_state.running == 0) {
        return MonotonicTime::max();
    }
    const auto probeTimeoutAt = m_healthyAt + UpstreamLostTimeout;
    return m_refusedSince ? std::min(probeTimeoutAt, *m_refusedSince + m_state.settings.failureTimeout) : probeTimeoutAt;
}

void UpstreamController::loseAllTasks(AgentStep &step)
{
    std::vector<TaskId> lost;
    for (const auto &[task, active] : m_state.active) {
        if (isRunning(task)) {
            lost.push_back(task);
        }
    }
    std::ranges::sort(lost);
    for (const auto &task : lost) {
        loseTask(step, task);
    }
}

void UpstreamController::loseTask(AgentStep &step, const TaskId &task)
{
    auto end = endReport(step, TaskState::Lost, ErrorKind::UpstreamLost, {});
    end.ran = m_state.active.at(task).startConfirmed ? RunState::Ran : RunState::Unknown;
    m_tasks.finish(step, task, end);
}

MonotonicTime UpstreamController::nextWake() const
{
    auto wake = std::min(m_probeAt, upstreamLostAt());
    if (m_state.upstreamHealthy) {
        wake = std::min(wake, m_healthyAt + m_state.settings.failureTimeout + Duration(1));
    }
    for (const auto &[task, active] : m_state.active) {
        if (!isRunning(task)) {
            continue;
        }
        wake = std::min(wake, active.queryAt);
        if (active.stopReason == ErrorKind::None) {
            wake = std::min(wake, runLimit(active));
        }
    }
    return wake;
}

} // namespace Sycamoremoor
