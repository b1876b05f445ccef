// Jobs from acceptance on: adoption, cancel, deadline, sending.
#include "job_controller.h"

#include <algorithm>

namespace Sycamoremoor
{

JobController::JobController(Parts parts)
    : m_parts(std::move(parts))
{
}

OpenJob &JobController::open(EntryStep &step, const Submission &submission, OwnerSlotIndex slot)
{
    OpenJob job;
    job.spec = submission.job;
    job.slot = slot;
    const auto *tenure = m_parts.roster.tenure(slot);
    job.token = tenure == nullptr ? Epoch() : tenure->token;
    job.receivedAt = submission.receivedAt;
    job.receivedWall = step.wall();
    job.deadline = submission.deadline;
    job.callers.push_back(submission.connection);
    job.tasks.resize(submission.job->tasks.size());
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        auto &task = job.tasks[index];
        const auto &spec = submission.job->tasks[index];
        task.queuedAt = step.now();
        task.account.index = TaskIndex(index);
        task.account.kind = spec.kind;
        task.account.idempotent = spec.idempotent;
    }
    m_deadlines.emplace(job.deadline, job.spec->key);
    step.count(CounterMetric::JobsAccepted);
    return m_jobs.insert_or_assign(submission.job->key, std::move(job)).first->second;
}

void JobController::accept(EntryStep &step, const Submission &submission, OwnerSlotIndex slot)
{
    const auto &job = open(step, submission, slot);
    std::vector<TaskIndex> all;
    all.reserve(job.tasks.size());
    for (const auto &task : job.tasks) {
        all.push_back(task.account.index);
    }
    m_parts.dispatcher.enqueue(step.now(), job.spec, all, job.deadline);
}

void JobController::adopt(EntryStep &step, const Submission &submission, OwnerSlotIndex slot, const std::vector<AdoptedTask> &tasks)
{
    auto &job = open(step, submission, slot);
    job.state = JobState::Running;
    std::vector<TaskIndex> fresh;
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        adoptTask(step, job, TaskIndex(index), tasks[index], fresh);
    }
    if (job.error != ErrorKind::None) {
        stopSentTasks(step, job);
        for (const auto &index : fresh) {
            auto &task = job.tasks[index.value()];
            task.account.error = job.error;
            endTask(job, task);
        }
    } else if (!fresh.empty()) {
        m_parts.dispatcher.enqueue(step.now(), job.spec, fresh, job.deadline);
    }
    settle(step, submission.job->key);
}

void JobController::adoptTask(EntryStep &step, OpenJob &job, TaskIndex index, const AdoptedTask &adopted, std::vector<TaskIndex> &fresh)
{
    auto &task = job.tasks[index.value()];
    if (adopted.kind == AdoptedTask::Kind::Fresh) {
        fresh.push_back(index);
        return;
    }
    task.account.attempts = 1;
    task.account.agent = adopted.agent;
    if (adopted.kind == AdoptedTask::Kind::Unknown) {
        task.account.state = TaskState::Lost;
        task.account.ran = RunState::Unknown;
        task.account.error = ErrorKind::AgentLost;
        step.count(CounterMetric::TasksUnknown);
        endTask(job, task);
        fail(step, job, ErrorKind::AgentLost, "an earlier owner may have started a task whose record is gone");
        return;
    }
    const TaskId id{job.spec->key, index};
    task.stage = TaskStage::Sent;
    task.agentIncarnation = adopted.agentIncarnation;
    task.sentAt = step.now();
    task.onlyStartSent = false;
    m_placed[adopted.agent].insert(id);
    m_parts.dispatcher.adopt(step.now(), job.spec, index, adopted.agent, job.deadline);
    const auto *worker = m_parts.workers.find(adopted.agent);
    if (worker != nullptr) {
        task.account.upstream = worker->heartbeat.upstream;
    }
    if (isFinal(adopted.report.state)) {
        onFinalReport(step, job, task, adopted.report);
    } else if (worker == nullptr || worker->heartbeat.incarnation != adopted.agentIncarnation) {
        markLost(step, job, task, ErrorKind::AgentLost);
    } else {
        task.account.state = adopted.report.state;
        task.account.ran = adopted.report.ran;
        task.account.startedAt = adopted.report.startedAt;
    }
}

void JobController::attach(OpenJob &job, ConnectionId caller)
{
    job.callers.push_back(caller);
    ++job.timesSubmitted;
}

bool JobController::cancel(EntryStep &step, const SubmissionKey &key)
{
    auto *job = find(key);
    if (job == nullptr || job->answered) {
        return false;
    }
    fail(step, *job, ErrorKind::Cancelled, "");
    settle(step, key);
    return true;
}

void JobController::onCallerGone(ConnectionId connection)
{
    for (auto &[key, job] : m_jobs) {
        if (std::erase(job.callers, connection) > 0) {
            return;
        }
    }
}

void JobController::dispatch(EntryStep &step)
{
    const auto &tenures = m_parts.roster.tenures();
    const auto serves = [&](const Tenure &tenure) {
        return !tenure.exclusive || m_parts.roster.mayServe(step.now(), tenure.slot);
    };
    if (tenures.empty() || m_parts.dispatcher.queuedTasks() == 0 || !std::ranges::all_of(tenures, serves)) {
        return;
    }
    std::map<std::pair<AgentName, OwnerSlotIndex>, std::vector<Placement>> batches;
    for (auto &placement : m_parts.dispatcher.place(step.now(), step.entropy())) {
        const auto *job = find(placement.task.submission);
        if (job == nullptr || job->tasks[placement.task.index.value()].stage != TaskStage::Waiting) {
            m_parts.dispatcher.ended(step.now(), placement.task, PlacementEnd{PlacementEnd::Kind::Lost, {}});
            continue;
        }
        batches[{placement.agent, job->slot}].push_back(std::move(placement));
    }
    for (const auto &[target, placements] : batches) {
        sendStarts(step, target.first, placements);
    }
}

void JobController::sendStarts(EntryStep &step, const AgentName &agent, const std::vector<Placement> &placements)
{
    const auto *worker = m_parts.workers.find(agent);
    StartTasks message;
    for (const auto &placement : placements) {
        auto &job = *find(placement.task.submission);
        auto &task = job.tasks[placement.task.index.value()];
        if (job.error != ErrorKind::None || worker == nullptr || worker->heartbeat.incarnation != placement.incarnation) {
            onNotStarted(step, job, task, ErrorKind::NoCapacity, PlacementEnd::Kind::NotStarted);
            settle(step, placement.task.submission);
            continue;
        }
        message.claim = right(job.slot);
        markSent(step, job, task, *worker);
        message.tasks.push_back(
            StartTask{placement.task, job.spec->tasks[placement.task.index.value()], job.spec->digest, job.deadline - step.now()});
    }
    if (message.tasks.empty()) {
        return;
    }
    message.agent = agent;
    message.agentIncarnation = worker->heartbeat.incarnation;
    message.stamp = worker->heartbeat.stamp;
    message.acknowledged = m_parts.workers.acknowledged(agent, message.agentIncarnation);
    step.count(CounterMetric::TasksSent, message.tasks.size());
    step.emit(SendToAgent{agent, worker->heartbeat.endpoint, std::move(message)});
}

void JobController::markSent(EntryStep &step, OpenJob &job, OpenTask &task, const KnownWorker &worker)
{
    job.state = JobState::Running;
    task.stage = TaskStage::Sent;
    task.agentIncarnation = worker.heartbeat.incarnation;
    task.sentAt = step.now();
    task.onlyStartSent = true;
    task.stopSent = false;
    task.doubted = false;
    task.account.agent = worker.heartbeat.agent;
    task.account.upstream = worker.heartbeat.upstream;
    ++task.account.attempts;
    m_placed[worker.heartbeat.agent].insert(TaskId{job.spec->key, task.account.index});
    step.emit(Observation{HistogramMetric::QueueSeconds, toSeconds(step.now() - task.queuedAt)});
}

OwnerClaim JobController::right(OwnerSlotIndex slot) const
{
    OwnerClaim held;
    held.owner = m_parts.settings.name;
    held.incarnation = m_parts.roster.incarnation();
    held.slot = slot;
    if (const auto *tenure = m_parts.roster.tenure(slot)) {
        held.token = tenure->token;
    }
    return held;
}

void JobController::onTime(EntryStep &step)
{
    std::set<SubmissionKey> touched;
    for (const auto &id : m_parts.dispatcher.expire(step.now())) {
        if (auto *job = find(id.submission)) {
            auto &task = job->tasks[id.index.value()];
            fail(step, *job, ErrorKind::DeadlineUnreachable, "");
            if (task.stage == TaskStage::Waiting) {
                task.account.error = job->error;
                endTask(*job, task);
            }
            touched.insert(id.submission);
        }
    }
    for (const auto &key : touched) {
        settle(step, key);
    }
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= step.now()) {
        const auto [at, key] = *m_deadlines.begin();
        m_deadlines.erase(m_deadlines.begin());
        auto *job = find(key);
        if (job == nullptr || job->answered) {
            continue;
        }
        fail(step, *job, ErrorKind::DeadlineUnreachable, "");
        if (at == job->deadline) {
            m_deadlines.emplace(job->deadline + EndingGrace, key);
        } else {
            answer(step, *job);
        }
        settle(step, key);
    }
    askDoubted(step);
}

std::vector<Submission> JobController::abandon(EntryStep &step)
{
    std::vector<Submission> waiting;
    for (auto &[key, job] : m_jobs) {
        m_parts.dispatcher.cancel(key);
        for (const auto &task : job.tasks) {
            if (task.stage == TaskStage::Sent) {
                m_parts.dispatcher.ended(step.now(), TaskId{key, task.account.index}, PlacementEnd{PlacementEnd::Kind::Lost, {}});
            }
        }
        for (const auto &caller : job.callers) {
            waiting.push_back(Submission{caller, job.spec, std::nullopt, Epoch(), job.receivedAt, job.deadline});
        }
    }
    std::ranges::sort(waiting, {}, &Submission::connection);
    m_jobs.clear();
    m_placed.clear();
    m_deadlines.clear();
    m_doubted.clear();
    m_nextAsk.reset();
    return waiting;
}

std::vector<Submission> JobController::releaseUnstarted()
{
    std::vector<Submission> waiting;
    std::erase_if(m_jobs, [&](const auto &item) {
        const auto &[key, job] = item;
        const auto isWaiting = [](const OpenTask &task) {
            return task.stage == TaskStage::Waiting;
        };
        if (m_parts.roster.tenure(job.slot) != nullptr || job.answered || !std::ranges::all_of(job.tasks, isWaiting)) {
            return false;
        }
        m_parts.dispatcher.cancel(key);
        m_deadlines.erase({job.deadline, key});
        for (const auto &caller : job.callers) {
            waiting.push_back(Submission{caller, job.spec, std::nullopt, Epoch(), job.receivedAt, job.deadline});
        }
        return true;
    });
    std::ranges::sort(waiting, {}, &Submission::connection);
    return waiting;
}

std::uint32_t JobController::cutOff(EntryStep &step)
{
    std::vector<SubmissionKey> keys;
    for (const auto &[key, job] : m_jobs) {
        if (!job.answered) {
            keys.push_back(key);
        }
    }
    std::ranges::sort(keys);
    for (const auto &key : keys) {
        auto &job = *find(key);
        fail(step, job, ErrorKind::Draining, "");
        answer(step, job);
        settle(step, key);
    }
    return static_cast<std::uint32_t>(keys.size());
}

OpenJob *JobController::find(const SubmissionKey &key)
{
    const auto found = m_jobs.find(key);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const std::unordered_map<SubmissionKey, OpenJob> &JobController::jobs() const
{
    return m_jobs;
}

JobStatus JobController::status(const OpenJob &job) const
{
    JobStatus status;
    status.key = job.spec->key;
    status.state = job.state;
    status.tasks = static_cast<std::uint32_t>(job.tasks.size());
    status.finished = job.ended;
    return status;
}

std::uint32_t JobController::unansweredJobs() const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(m_jobs, [](const auto &item) { return !item.second.answered; }));
}

std::optional<MonotonicTime> JobController::nextWake() const
{
    auto wake = m_parts.dispatcher.nextWake();
    const auto sooner = [&](MonotonicTime at) {
        wake = wake ? std::min(*wake, at) : at;
    };
    if (!m_deadlines.empty()) {
        sooner(m_deadlines.begin()->first);
    }
    if (m_nextAsk) {
        sooner(*m_nextAsk);
    }
    return wake;
}

} // namespace Sycamoremoor
