// What agents tell about tasks, and what their silence means.
#include "job_controller.h"

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

constexpr int UncertainPeriods = 3;                 ///< query delays to wait when what is missing may just be on its way
constexpr std::size_t MaxTasksAsked = 1'000;        ///< in one query
constexpr std::size_t MaxFailureMessageBytes = 200; ///< of an upstream's message passed to the caller

PlacementEnd::Kind placementEnd(TaskState state)
{
    switch (state) {
    case TaskState::Failed:
        return PlacementEnd::Kind::Failed;
    case TaskState::Lost:
        return PlacementEnd::Kind::Lost;
    default:
        return PlacementEnd::Kind::Succeeded; // a stop that was asked for is no fault of the worker
    }
}

Duration runTime(const TaskReport &report)
{
    const auto known = report.startedAt != WallTime() && report.finishedAt > report.startedAt && report.state != TaskState::Stopped;
    return known ? report.finishedAt - report.startedAt : Duration();
}

} // namespace

OpenTask *JobController::findTask(const TaskId &id)
{
    auto *job = find(id.submission);
    return job == nullptr || id.index.value() >= job->tasks.size() ? nullptr : &job->tasks[id.index.value()];
}

void JobController::onReports(EntryStep &step, const AgentName &agent, Incarnation incarnation, const std::vector<TaskReport> &reports)
{
    for (const auto &report : reports) {
        if (m_parts.workers.noteReport(agent, incarnation, report.sequence)) {
            onReport(step, agent, incarnation, report);
        } else {
            step.count(CounterMetric::ReportsDuplicate);
        }
    }
}

void JobController::onReport(EntryStep &step, const AgentName &agent, Incarnation incarnation, const TaskReport &report)
{
    auto *task = findTask(report.task);
    const auto expected
        = task != nullptr && task->stage == TaskStage::Sent && task->account.agent == agent && task->agentIncarnation == incarnation;
    if (!expected) {
        step.count(CounterMetric::ReportsDuplicate);
        return;
    }
    task->doubted = false;
    m_doubted.erase(report.task);
    if (!isFinal(report.state)) {
        task->account.state = report.state;
        task->account.ran = report.ran;
        task->account.startedAt = report.startedAt;
        return;
    }
    step.count(CounterMetric::TasksReported);
    if (const auto ran = runTime(report); ran > Duration::zero()) {
        step.emit(Observation{HistogramMetric::TaskRunSeconds, toSeconds(ran)});
        step.emit(Observation{HistogramMetric::RoundTripSeconds, toSeconds(std::max(Duration::zero(), step.now() - task->sentAt - ran))});
    }
    onFinalReport(step, *find(report.task.submission), *task, report);
    settle(step, report.task.submission);
}

void JobController::onFinalReport(EntryStep &step, OpenJob &job, OpenTask &task, const TaskReport &report)
{
    if (report.state == TaskState::NeverStarted) {
        if (report.error == ErrorKind::OwnerFenced) {
            m_parts.roster.hurry();
        }
        onNotStarted(step, job, task, report.error, PlacementEnd::Kind::Refused);
        return;
    }
    leaveAgent(job, task);
    m_parts.dispatcher.ended(step.now(), report.task, PlacementEnd{placementEnd(report.state), runTime(report)});
    task.account.state = report.state;
    task.account.ran = report.ran;
    task.account.error = report.error;
    task.account.startedAt = report.startedAt;
    task.account.finishedAt = report.finishedAt;
    endTask(job, task);
    const auto line = "task " + std::to_string(task.account.index.value());
    if (report.state == TaskState::Succeeded && !report.resultReleased) {
        task.result = report.result;
    } else if (report.state == TaskState::Succeeded) {
        task.account.error = ErrorKind::AnswerReleased;
        fail(step, job, ErrorKind::AnswerReleased, line + ": its result is no longer kept");
    } else if (report.state == TaskState::Failed) {
        task.account.error = ErrorKind::TaskFailed;
        fail(step, job, ErrorKind::TaskFailed, line + ": " + report.result.substr(0, MaxFailureMessageBytes));
    } else {
        const auto kind = report.error == ErrorKind::None ? ErrorKind::UpstreamLost : report.error;
        task.account.error = kind;
        fail(step, job, kind, line);
    }
}

void JobController::onNotStarted(EntryStep &step, OpenJob &job, OpenTask &task, ErrorKind error, PlacementEnd::Kind end)
{
    const TaskId id{job.spec->key, task.account.index};
    leaveAgent(job, task);
    if (job.error == ErrorKind::None) {
        step.count(CounterMetric::TasksRefused);
    }
    task.account.state = TaskState::NeverStarted;
    task.account.ran = RunState::NotRun;
    const auto queuedAgain = m_parts.dispatcher.ended(step.now(), id, PlacementEnd{end, {}});
    if (queuedAgain && job.error == ErrorKind::None) {
        task.stage = TaskStage::Waiting;
        task.queuedAt = step.now();
        return;
    }
    if (queuedAgain) {
        m_parts.dispatcher.cancel(job.spec->key);
    }
    const auto kind = error == ErrorKind::None ? ErrorKind::NoCapacity : error;
    task.account.error = job.error == ErrorKind::None ? kind : job.error;
    endTask(job, task);
    fail(step, job, kind, "task " + std::to_string(task.account.index.value()) + " was refused too often");
}

void JobController::markLost(EntryStep &step, OpenJob &job, OpenTask &task, ErrorKind error)
{
    const TaskId id{job.spec->key, task.account.index};
    leaveAgent(job, task);
    m_parts.dispatcher.ended(step.now(), id, PlacementEnd{PlacementEnd::Kind::Lost, {}});
    task.account.state = TaskState::Lost;
    task.account.ran = task.account.ran == RunState::Ran ? RunState::Ran : RunState::Unknown;
    task.account.error = error;
    step.count(CounterMetric::TasksUnknown);
    endTask(job, task);
    fail(step, job, error, "task " + std::to_string(task.account.index.value()) + " was with " + task.account.agent.value());
}

void JobController::onSendFailed(EntryStep &step, const AgentSendFailed &failure)
{
    auto *worker = m_parts.workers.find(failure.agent);
    const auto current = worker != nullptr && worker->heartbeat.incarnation == failure.incarnation;
    if (current && failure.delivery == Delivery::NotSent) {
        worker->silent = true; // until its next heartbeat
        m_parts.workerChanged(step, *worker);
    }
    std::vector<TaskId> doubted;
    for (const auto &id : failure.tasks) {
        auto *task = findTask(id);
        const auto expected = task != nullptr && task->stage == TaskStage::Sent && task->account.agent == failure.agent
            && task->agentIncarnation == failure.incarnation;
        if (!expected) {
            continue;
        }
        if (failure.delivery == Delivery::NotSent && task->onlyStartSent) {
            onNotStarted(step, *find(id.submission), *task, ErrorKind::NoCapacity, PlacementEnd::Kind::NotStarted);
            settle(step, id.submission);
        } else {
            const auto askedBefore = task->doubted;
            task->doubted = true;
            m_doubted.insert(id);
            if (!askedBefore && current) {
                doubted.push_back(id);
            }
        }
    }
    ask(step, failure.agent, doubted);
}

void JobController::onAgentLost(EntryStep &step, const AgentName &agent, Incarnation incarnation)
{
    const auto placed = m_placed.find(agent);
    if (placed == m_placed.end()) {
        return;
    }
    const auto tasks = placed->second;
    for (const auto &id : tasks) {
        auto *task = findTask(id);
        if (task != nullptr && task->agentIncarnation == incarnation) {
            markLost(step, *find(id.submission), *task, ErrorKind::AgentLost);
            settle(step, id.submission);
        }
    }
}

void JobController::onHeartbeat(EntryStep &step, KnownWorker &worker, std::uint32_t heldForOwner)
{
    const auto placed = m_placed.find(worker.heartbeat.agent);
    const auto believed = placed == m_placed.end() ? 0 : placed->second.size();
    if (heldForOwner >= believed) {
        worker.missingSince.reset();
        return;
    }
    if (!worker.missingSince) {
        worker.missingSince = step.now();
        return;
    }
    std::vector<TaskId> old;
    for (const auto &id : placed->second) {
        if (const auto *task = findTask(id); task != nullptr && step.now() - task->sentAt >= m_parts.settings.queryDelay) {
            old.push_back(id);
        }
    }
    const auto certain = heldForOwner < old.size();
    const auto patience = (certain ? 1 : UncertainPeriods) * m_parts.settings.queryDelay;
    if (step.now() - *worker.missingSince >= patience && !old.empty()) {
        worker.missingSince = step.now();
        ask(step, worker.heartbeat.agent, old);
    }
}

void JobController::ask(EntryStep &step, const AgentName &agent, const std::vector<TaskId> &tasks)
{
    const auto *worker = m_parts.workers.find(agent);
    if (worker == nullptr || tasks.empty()) {
        return;
    }
    std::map<OwnerSlotIndex, QueryTasks> queries;
    for (const auto &id : tasks) {
        const auto &job = *find(id.submission);
        auto &task = *findTask(id);
        auto &query = queries[job.slot];
        if (query.tasks.size() >= MaxTasksAsked || task.agentIncarnation != worker->heartbeat.incarnation) {
            continue;
        }
        query.claim = right(job.slot);
        query.claim.token = std::max(query.claim.token, job.token);
        query.agent = agent;
        query.agentIncarnation = worker->heartbeat.incarnation;
        query.tasks.push_back(id);
        task.onlyStartSent = false;
        task.doubted = true;
        task.askedAt = step.now();
        m_doubted.insert(id);
    }
    m_nextAsk = step.now() + m_parts.settings.queryDelay;
    for (auto &[slot, query] : queries) {
        if (!query.tasks.empty()) {
            step.count(CounterMetric::TaskQueries, query.tasks.size());
            step.emit(SendToAgent{agent, worker->heartbeat.endpoint, std::move(query)});
        }
    }
}

void JobController::askDoubted(EntryStep &step)
{
    if (m_nextAsk && m_doubted.empty()) {
        m_nextAsk.reset();
    }
    if (!m_nextAsk || step.now() < *m_nextAsk) {
        return;
    }
    std::map<AgentName, std::vector<TaskId>> due;
    for (const auto &id : m_doubted) {
        const auto *task = findTask(id);
        if (task != nullptr && step.now() - task->askedAt >= m_parts.settings.queryDelay) {
            due[task->account.agent].push_back(id);
        }
    }
    m_nextAsk = step.now() + m_parts.settings.queryDelay;
    for (const auto &[agent, tasks] : due) {
        ask(step, agent, tasks);
    }
}

} // namespace Sycamoremoor
