// The end of jobs: failing, settling, the whole answer.
#include "job_controller.h"

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

RunState overallRun(const std::vector<TaskAccount> &account)
{
    const auto any = [&](RunState state) {
        return std::ranges::any_of(account, [&](const TaskAccount &line) { return line.ran == state; });
    };
    if (any(RunState::Unknown)) {
        return RunState::Unknown;
    }
    return any(RunState::Ran) ? RunState::Ran : RunState::NotRun;
}

/** Returns the account of a job; a task whose end is not known yet is told as unknown. */
std::vector<TaskAccount> accountOf(const OpenJob &job)
{
    std::vector<TaskAccount> account;
    account.reserve(job.tasks.size());
    for (const auto &task : job.tasks) {
        account.push_back(task.account);
        if (task.stage == TaskStage::Sent) {
            account.back().ran = task.account.ran == RunState::Ran ? RunState::Ran : RunState::Unknown;
            account.back().error = job.error;
        }
    }
    return account;
}

} // namespace

void JobController::endTask(OpenJob &job, OpenTask &task)
{
    if (task.stage != TaskStage::Ended) {
        task.stage = TaskStage::Ended;
        ++job.ended;
    }
}

void JobController::leaveAgent(const OpenJob &job, OpenTask &task)
{
    const TaskId id{job.spec->key, task.account.index};
    if (const auto placed = m_placed.find(task.account.agent); placed != m_placed.end()) {
        placed->second.erase(id);
        if (placed->second.empty()) {
            m_placed.erase(placed);
        }
    }
    m_doubted.erase(id);
    task.doubted = false;
}

void JobController::fail(EntryStep &step, OpenJob &job, ErrorKind error, const std::string &detail)
{
    if (job.error != ErrorKind::None) {
        return;
    }
    job.error = error;
    job.detail = detail;
    job.state = JobState::Ending;
    for (const auto &index : m_parts.dispatcher.cancel(job.spec->key)) {
        auto &task = job.tasks[index.value()];
        task.account.error = error;
        endTask(job, task);
    }
    stopSentTasks(step, job);
}

void JobController::stopSentTasks(EntryStep &step, OpenJob &job)
{
    std::map<AgentName, StopTasks> stops;
    for (auto &task : job.tasks) {
        if (task.stage != TaskStage::Sent || task.stopSent) {
            continue;
        }
        auto &stop = stops[task.account.agent];
        stop.agentIncarnation = task.agentIncarnation;
        stop.tasks.push_back(TaskId{job.spec->key, task.account.index});
        task.onlyStartSent = false;
        task.stopSent = true;
    }
    for (auto &[agent, stop] : stops) {
        const auto *worker = m_parts.workers.find(agent);
        if (worker == nullptr) {
            continue;
        }
        stop.claim = right(job.slot);
        stop.claim.token = std::max(stop.claim.token, job.token);
        stop.agent = agent;
        stop.reason = job.error;
        step.emit(SendToAgent{agent, worker->heartbeat.endpoint, std::move(stop)});
    }
}

void JobController::settle(EntryStep &step, const SubmissionKey &key)
{
    auto *job = find(key);
    if (job == nullptr || job->ended < job->tasks.size()) {
        return;
    }
    if (!job->answered) {
        answer(step, *job);
    }
    m_deadlines.erase({job->deadline, key});
    m_deadlines.erase({job->deadline + EndingGrace, key});
    m_jobs.erase(key);
}

void JobController::answer(EntryStep &step, OpenJob &job)
{
    auto whole = std::make_shared<JobAnswer>();
    whole->key = job.spec->key;
    whole->error = job.error;
    whole->detail = job.detail;
    whole->singleRequest = job.spec->singleRequest;
    whole->account = accountOf(job);
    const auto complete = job.error == ErrorKind::None;
    whole->ran = complete ? RunState::Ran : overallRun(whole->account);
    if (!complete && !m_parts.roster.mayServe(step.now(), job.slot)) {
        withdrawDenial(*whole); // another owner may have taken the submission meanwhile
    }
    if (complete) {
        whole->results.reserve(job.tasks.size());
        for (auto &task : job.tasks) {
            whole->results.push_back(std::move(task.result));
        }
    }
    job.answered = true;
    job.state = complete ? JobState::Complete : JobState::Failed;
    step.count(complete ? CounterMetric::JobsComplete : CounterMetric::JobsFailed);
    step.emit(Observation{HistogramMetric::JobSeconds, toSeconds(step.now() - job.receivedAt)});
    EndedSubmission ended;
    ended.key = job.spec->key;
    ended.digest = job.spec->digest;
    ended.service = job.spec->service;
    ended.team = job.spec->team;
    ended.state = job.state;
    ended.error = job.error;
    ended.ran = whole->ran;
    ended.receivedAt = job.receivedWall;
    ended.answeredAt = step.wall();
    ended.timesSubmitted = job.timesSubmitted;
    ended.timesAnswered = static_cast<std::uint32_t>(job.callers.size());
    ended.answer = whole;
    m_parts.answers.put(step.wall(), ended);
    for (const auto &caller : job.callers) {
        step.emit(AnswerJob{caller, whole});
    }
    job.callers.clear();
}

} // namespace Sycamoremoor
