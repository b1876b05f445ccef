// Answers account and status queries.
#include "account_controller.h"

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

constexpr std::size_t MaxAuditRecords = 500;
constexpr std::uint32_t MaxAccountLimit = 10'000; ///< submissions in one answer

bool matches(const AccountQuery &query, const SubmissionAccount &account)
{
    return (!query.key || *query.key == account.key) && (!query.team || *query.team == account.team)
        && (!query.since || account.receivedAt >= *query.since) && (!query.until || account.receivedAt <= *query.until)
        && (!query.ran || *query.ran == account.ran);
}

SubmissionAccount accountOf(const EndedSubmission &ended)
{
    SubmissionAccount account;
    account.key = ended.key;
    account.service = ended.service;
    account.team = ended.team;
    account.state = ended.state;
    account.error = ended.error;
    account.ran = ended.ran;
    account.receivedAt = ended.receivedAt;
    account.answeredAt = ended.answeredAt;
    account.timesSubmitted = ended.timesSubmitted;
    account.timesAnswered = ended.timesAnswered;
    if (ended.answer != nullptr) {
        account.tasks = ended.answer->account;
    }
    return account;
}

SubmissionAccount accountOf(const OpenJob &job)
{
    SubmissionAccount account;
    account.key = job.spec->key;
    account.service = job.spec->service;
    account.team = job.spec->team;
    account.state = job.state;
    account.error = job.error;
    account.receivedAt = job.receivedWall;
    account.timesSubmitted = job.timesSubmitted;
    for (const auto &task : job.tasks) {
        account.tasks.push_back(task.account);
        if (task.stage == TaskStage::Sent && task.account.ran == RunState::NotRun) {
            account.tasks.back().ran = RunState::Unknown; // sent, not reported yet
        }
        account.ran = std::max(account.ran, account.tasks.back().ran);
    }
    return account;
}

} // namespace

AccountController::AccountController(Parts parts)
    : m_parts(parts)
{
}

void AccountController::begin(WallTime now)
{
    if (m_startedAt == WallTime()) {
        m_startedAt = now;
    }
    m_coversFrom = now;
}

void AccountController::keep(const AuditRecord &record)
{
    m_audit.push_back(record);
    if (m_audit.size() > MaxAuditRecords) {
        m_audit.pop_front();
    }
}

AccountReply AccountController::account(const AccountQuery &query) const
{
    AccountReply reply;
    reply.entry = m_parts.settings.name;
    reply.incarnation = m_parts.roster.incarnation();
    reply.coversFrom = m_coversFrom;
    reply.released = m_parts.answers.releasedCount();
    const auto take = [&](SubmissionAccount account) {
        if (matches(query, account)) {
            reply.submissions.push_back(std::move(account));
        }
    };
    for (const auto &[key, ended] : m_parts.answers.all()) {
        take(accountOf(ended));
    }
    for (const auto &[key, job] : m_parts.jobs.jobs()) {
        if (!job.answered) {
            take(accountOf(job));
        }
    }
    std::ranges::sort(reply.submissions, [](const SubmissionAccount &left, const SubmissionAccount &right) {
        return std::pair(left.receivedAt, left.key) > std::pair(right.receivedAt, right.key);
    });
    if (const auto limit = std::min(query.limit, MaxAccountLimit); reply.submissions.size() > limit) {
        reply.submissions.resize(limit);
    }
    return reply;
}

ProcessStatus AccountController::status(MonotonicTime now, bool draining, bool ready) const
{
    ProcessStatus status;
    status.name = m_parts.settings.name.value();
    status.role = "entry";
    status.incarnation = m_parts.roster.incarnation();
    status.startedAt = m_startedAt;
    status.draining = draining;
    status.ready = ready;
    status.rosterEpoch = m_parts.roster.epoch();
    status.configRevision = m_parts.config.revision();
    status.configSince = m_parts.config.since();
    for (const auto &tenure : m_parts.roster.tenures()) {
        if (m_parts.roster.mayServe(now, tenure.slot)) {
            status.ownedSlots.push_back(tenure.slot);
        }
    }
    status.openJobs = m_parts.jobs.unansweredJobs();
    status.queuedTasks = m_parts.dispatcher.queuedTasks();
    status.outstandingTasks = m_parts.dispatcher.placedTasks();
    status.workers = workers();
    status.roster = m_parts.roster.roster();
    status.audit.assign(m_audit.begin(), m_audit.end());
    return status;
}

std::vector<ProcessStatus::Worker> AccountController::workers() const
{
    std::vector<ProcessStatus::Worker> workers;
    workers.reserve(m_parts.workers.workers().size());
    for (const auto &[name, known] : m_parts.workers.workers()) {
        ProcessStatus::Worker worker;
        worker.agent = name;
        worker.incarnation = known.heartbeat.incarnation;
        worker.zone = known.heartbeat.zone;
        worker.service = known.heartbeat.service;
        worker.leaving = known.heartbeat.leaving;
        worker.ejected = m_parts.dispatcher.isEjected(name);
        worker.reachable = !known.silent;
        worker.running = known.heartbeat.running;
        worker.slots = known.heartbeat.capacity.slots;
        worker.configRevision = known.heartbeat.configRevision;
        worker.configSince = known.heartbeat.configSince;
        workers.push_back(std::move(worker));
    }
    return workers;
}

} // namespace Sycamoremoor
