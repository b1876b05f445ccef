// Submissions: receipt, the filters in their order, and what a takeover makes of them.
#include "entry/entry_private.h"

namespace Sycamoremoor
{

namespace
{

constexpr Duration DefaultDeadline = std::chrono::seconds(30); ///< while no configuration names another
constexpr std::size_t MaxTasks = 1'000;

} // namespace

void EntryMachine::Private::on(EntryStep &step, const JobSubmitted &input)
{
    Submission submission;
    submission.connection = input.connection;
    submission.job = input.job;
    submission.forwardedBy = input.forwardedBy;
    submission.forwarderEpoch = input.forwarderEpoch;
    submission.receivedAt = step.now();
    auto deadline = input.job->deadline;
    if (deadline <= Duration::zero()) {
        const auto &config = m_config.config();
        const auto known = config != nullptr && config->services.contains(input.job->service);
        deadline = known ? config->services.at(input.job->service).defaultDeadline : DefaultDeadline;
    }
    submission.deadline = step.now() + deadline;
    m_chain.run(step, submission);
}

void EntryMachine::Private::addFilters()
{
    m_chain.setRefusalHook([this](EntryStep &step, const JobAnswerPointer &answer) {
        if (answer->ran == RunState::NotRun) {
            m_forwards.answerCopies(step, answer);
        }
    });
    m_afterReceipt = m_chain.add([this](EntryStep &step, const Submission &submission) { return filterClosed(step, submission); });
    m_chain.add([this](EntryStep &, const Submission &submission) { return filterStopped(submission); });
    m_chain.add([this](EntryStep &step, const Submission &submission) { return filterDuplicate(step, submission); });
    m_chain.add([this](EntryStep &step, const Submission &submission) { return filterOwnership(step, submission); });
    m_chain.add([this](EntryStep &step, const Submission &submission) { return filterKeyAge(step, submission); });
    m_afterProof = m_chain.add([this](EntryStep &step, const Submission &submission) { return filterProof(step, submission); });
    m_chain.add([this](EntryStep &step, const Submission &submission) { return filterFutureKey(step, submission); });
    m_chain.add([this](EntryStep &, const Submission &submission) { return filterConfiguration(submission); });
    m_chain.add([this](EntryStep &step, const Submission &submission) { return filterAdmission(step, submission); });
}

FilterVerdict EntryMachine::Private::filterClosed(EntryStep &step, const Submission &submission) const
{
    // Callers without end would keep this entry from ever finishing. Like an entry that has stopped, it does not know
    // whether the submission ran.
    const auto isClosed = m_drain.isClosed(step.now()) && !submission.forwardedBy;
    return isClosed ? FilterVerdict::refuse(ErrorKind::OwnerUnavailable, "this entry is stopping, send it to another")
                    : FilterVerdict::pass();
}

FilterVerdict EntryMachine::Private::filterStopped(const Submission & /*submission*/) const
{
    // Its owner may have run it, so this is no Draining, which would say that it did not run.
    return m_drain.isStopped() ? FilterVerdict::refuse(ErrorKind::OwnerUnavailable, "this entry has stopped") : FilterVerdict::pass();
}

FilterVerdict EntryMachine::Private::filterDuplicate(EntryStep &step, const Submission &submission)
{
    const auto &key = submission.job->key;
    if (auto *job = m_jobs.find(key); job != nullptr && !job->answered) {
        if (job->spec->digest != submission.job->digest) {
            return FilterVerdict::refuse(ErrorKind::KeyConflict);
        }
        step.count(CounterMetric::JobsResubmitted);
        JobController::attach(*job, submission.connection);
        return FilterVerdict::handled();
    }
    auto *ended = m_answers.find(key);
    if (ended == nullptr) {
        return FilterVerdict::pass();
    }
    if (ended->digest != submission.job->digest) {
        return FilterVerdict::refuse(ErrorKind::KeyConflict);
    }
    step.count(CounterMetric::JobsResubmitted);
    ++ended->timesSubmitted;
    ++ended->timesAnswered;
    auto answer = ended->answer;
    if (answer == nullptr) {
        auto released = std::make_shared<JobAnswer>();
        released->key = key;
        released->error = ErrorKind::AnswerReleased;
        released->ran = ended->ran;
        released->singleRequest = submission.job->singleRequest;
        answer = std::move(released);
    }
    step.emit(AnswerJob{submission.connection, std::move(answer)});
    return FilterVerdict::handled();
}

FilterVerdict EntryMachine::Private::filterOwnership(EntryStep &step, const Submission &submission)
{
    if (!m_roster.mayServe(step.now(), slotOf(submission.job->key))) {
        m_forwards.hold(step, submission);
        return FilterVerdict::handled();
    }
    if (m_config.config() == nullptr || m_drain.isMoving()) {
        m_forwards.park(step, submission);
        return FilterVerdict::handled();
    }
    return FilterVerdict::pass();
}

FilterVerdict EntryMachine::Private::filterKeyAge(EntryStep &step, const Submission &submission) const
{
    const auto expired = submission.job->key.created() + m_settings.keyMaxAge < step.wall();
    return expired ? FilterVerdict::refuse(ErrorKind::KeyExpired) : FilterVerdict::pass();
}

FilterVerdict EntryMachine::Private::filterProof(EntryStep &step, const Submission &submission)
{
    const auto slot = slotOf(submission.job->key);
    if (!m_takeover.needsProof(submission.job->key, *m_roster.tenure(slot))) {
        return FilterVerdict::pass();
    }
    m_takeover.prove(step, submission, slot);
    return FilterVerdict::handled();
}

FilterVerdict EntryMachine::Private::filterFutureKey(EntryStep &step, const Submission &submission) const
{
    const auto ahead = submission.job->key.created() > step.wall() + m_settings.clockSkew;
    return ahead ? FilterVerdict::refuse(ErrorKind::KeyFromFuture) : FilterVerdict::pass();
}

FilterVerdict EntryMachine::Private::filterConfiguration(const Submission &submission) const
{
    const auto &job = *submission.job;
    const auto &config = *m_config.config();
    const auto service = config.services.find(job.service);
    if (service == config.services.end()) {
        return FilterVerdict::refuse(ErrorKind::UnknownService, job.service.value());
    }
    if (!config.teams.contains(job.team)) {
        return FilterVerdict::refuse(ErrorKind::UnknownTeam, job.team.value());
    }
    if (job.tasks.empty() || job.tasks.size() > MaxTasks) {
        return FilterVerdict::refuse(ErrorKind::TooManyTasks);
    }
    if (submission.deadline - submission.receivedAt > service->second.maxDeadline) {
        return FilterVerdict::refuse(ErrorKind::InvalidValue, "the deadline is longer than the service allows");
    }
    return FilterVerdict::pass();
}

FilterVerdict EntryMachine::Private::filterAdmission(EntryStep &step, const Submission &submission)
{
    if (m_drain.isFinishingAlone()) {
        return FilterVerdict::refuse(ErrorKind::Draining);
    }
    const auto left = submission.deadline - step.now();
    auto admission = m_dispatcher.admit(step.now(), *submission.job, left);
    if (admission.error != ErrorKind::None) {
        return FilterVerdict::refuse(admission.error, std::move(admission.detail), admission.retryAfter);
    }
    m_jobs.accept(step, submission, slotOf(submission.job->key));
    return FilterVerdict::handled();
}

TakeoverController::Hooks EntryMachine::Private::takeoverHooks()
{
    TakeoverController::Hooks hooks;
    hooks.fresh = [this](EntryStep &step, const std::vector<Submission> &callers) {
        m_chain.run(step, callers.front(), m_afterProof);
        for (std::size_t index = 1; index < callers.size(); ++index) {
            m_chain.run(step, callers[index], m_afterReceipt);
        }
    };
    hooks.adopt = [this](EntryStep &step, const std::vector<Submission> &callers, const std::vector<AdoptedTask> &tasks, bool cancelled) {
        const auto key = callers.front().job->key;
        m_jobs.adopt(step, callers.front(), slotOf(key), tasks);
        for (std::size_t index = 1; index < callers.size(); ++index) {
            m_chain.run(step, callers[index], m_afterReceipt);
        }
        if (cancelled) {
            m_jobs.cancel(step, key);
        }
    };
    hooks.forward = [this](EntryStep &step, const Submission &submission, const FormerOwner &former) {
        m_forwards.holdForFormer(step, submission, former);
    };
    hooks.release = [this](EntryStep &step, const Submission &submission) {
        m_forwards.hold(step, submission);
    };
    hooks.refuse = [this](EntryStep &step, const Submission &submission, ErrorKind error) {
        auto answer = std::make_shared<JobAnswer>();
        answer->key = submission.job->key;
        answer->error = error;
        answer->ran = RunState::Unknown;
        answer->singleRequest = submission.job->singleRequest;
        step.count(CounterMetric::JobsRefused);
        step.emit(AnswerJob{submission.connection, std::move(answer)});
    };
    return hooks;
}

} // namespace Sycamoremoor
