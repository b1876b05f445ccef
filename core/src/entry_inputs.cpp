// What each input does, submissions apart.
#include "entry/entry_private.h"

#include <sycamoremoor/core/roster_func.h>

namespace Sycamoremoor
{

namespace
{

RunState ranOf(const SubmissionRecord &record)
{
    if (record.answer != nullptr) {
        return record.answer->ran;
    }
    return record.state == JobState::Complete ? RunState::Ran : RunState::Unknown;
}

} // namespace

void EntryMachine::Private::on(EntryStep & /*step*/, const Tick & /*input*/)
{
    m_timer.reset();
}

void EntryMachine::Private::on(EntryStep &step, const CancelRequested &input)
{
    if (m_jobs.cancel(step, input.key) || m_takeover.cancel(input.key)) {
        step.emit(AnswerStatus{input.connection, ErrorKind::None, *statusOf(input.key)});
        return;
    }
    forwardStatus(step, input.connection, input.key, input.forwarded, true);
}

void EntryMachine::Private::on(EntryStep &step, const StatusRequested &input)
{
    forwardStatus(step, input.connection, input.key, input.forwarded, false);
}

void EntryMachine::Private::forwardStatus(EntryStep &step, ConnectionId connection, const SubmissionKey &key, bool forwarded, bool cancel)
{
    if (auto status = statusOf(key)) {
        step.emit(AnswerStatus{connection, ErrorKind::None, *std::move(status)});
        return;
    }
    JobStatus unknown;
    unknown.key = key;
    const auto *target = forwarded ? nullptr : statusTarget(key);
    if (target == nullptr) {
        const auto owned = m_roster.mayServe(step.now(), slotOf(key));
        step.emit(AnswerStatus{connection, owned ? ErrorKind::NotFound : ErrorKind::OwnerUnavailable, unknown});
        return;
    }
    m_statusForwards[connection] = key;
    ToPeerMessage message = ForwardQuery{m_settings.name, target->name, key};
    if (cancel) {
        message = ForwardCancel{m_settings.name, target->name, key};
    }
    step.emit(SendToPeer{target->name, target->endpoint, std::move(message), connection});
}

const RosterMember *EntryMachine::Private::statusTarget(const SubmissionKey &key) const
{
    const auto &roster = m_roster.roster();
    if (roster == nullptr) {
        return nullptr;
    }
    const auto slot = slotOf(key);
    const auto *tenure = m_roster.tenure(slot);
    if (tenure == nullptr) {
        return ownerOf(*roster, slot);
    }
    for (const auto &former : tenure->former) {
        if (!former.clean && m_roster.isLeavingMember(former)) {
            return findMember(*roster, former.name);
        }
    }
    return nullptr;
}

std::optional<JobStatus> EntryMachine::Private::statusOf(const SubmissionKey &key)
{
    JobStatus status;
    status.key = key;
    if (const auto *job = m_jobs.find(key); job != nullptr && !job->answered) {
        return m_jobs.status(*job);
    }
    if (m_takeover.isProving(key)) {
        status.state = JobState::Proving;
        return status;
    }
    if (const auto *ended = m_answers.find(key)) {
        status.state = ended->state;
        status.answer = ended->answer;
        if (ended->answer != nullptr) {
            status.tasks = static_cast<std::uint32_t>(ended->answer->account.size());
            status.finished = status.tasks;
        }
        return status;
    }
    return std::nullopt;
}

void EntryMachine::Private::on(EntryStep &step, const AccountRequested &input)
{
    step.emit(AnswerAccount{input.connection, m_account.account(input.query)});
}

void EntryMachine::Private::on(EntryStep &step, const ProcessStatusRequested &input)
{
    step.emit(AnswerProcessStatus{input.connection, m_account.status(step.now(), m_drain.isDraining(), isReady())});
}

void EntryMachine::Private::on(EntryStep & /*step*/, const CallerDisconnected &input)
{
    m_statusForwards.erase(input.connection);
    m_forwards.onCallerGone(input.connection);
    m_takeover.onCallerGone(input.connection);
    m_jobs.onCallerGone(input.connection);
}

void EntryMachine::Private::on(EntryStep &step, const AgentHeartbeatReceived &input)
{
    const auto &heartbeat = input.heartbeat;
    const auto change = m_workers.onHeartbeat(step.now(), heartbeat);
    if (change.replaced) {
        step.log(Severity::Info, "worker", heartbeat.agent.value() + " began another life");
        m_jobs.onAgentLost(step, heartbeat.agent, *change.replaced);
    }
    const auto *known = m_workers.find(heartbeat.agent);
    const auto &described = known == nullptr ? heartbeat : known->heartbeat;
    const auto home = isHome(described);
    if (change.accepted) {
        if (home) {
            m_slotAgents.want(step, heartbeat.agent);
        }
        auto &worker = *m_workers.find(heartbeat.agent);
        if (heartbeat.receiver == m_roster.incarnation()) {
            m_jobs.onReports(step, heartbeat.agent, heartbeat.incarnation, heartbeat.unacknowledged);
            m_jobs.onHeartbeat(step, worker, heartbeat.heldForOwner);
        }
        updateWorker(step, worker);
    }
    AgentHeartbeatReply reply;
    reply.entry = m_settings.name;
    reply.incarnation = m_roster.incarnation();
    reply.needsDescription = change.unknown;
    reply.interval = m_workers.heartbeatInterval();
    reply.assigned = home && !isPowerless(step.now(), described);
    reply.rosterEpoch = m_roster.epoch();
    reply.roster = heartbeat.rosterEpoch < m_roster.epoch() ? m_roster.roster() : nullptr;
    if (change.accepted) {
        const auto config = m_config.forAgent(described.service, heartbeat.configRevision);
        reply.config = config.excerpt;
        reply.configUnchanged = config.unchanged;
    }
    reply.acknowledged = m_workers.acknowledged(heartbeat.agent, heartbeat.incarnation);
    step.emit(AnswerAgentHeartbeat{input.connection, std::move(reply)});
}

void EntryMachine::Private::on(EntryStep &step, const TaskReportsReceived &input)
{
    const auto &reports = input.reports;
    m_workers.alive(step.now(), reports.agent, reports.incarnation);
    if (reports.owner != m_roster.incarnation()) {
        step.count(CounterMetric::ReportsDuplicate, reports.reports.size());
        return;
    }
    m_jobs.onReports(step, reports.agent, reports.incarnation, reports.reports);
}

void EntryMachine::Private::on(EntryStep &step, const LedgerReportReceived &input)
{
    step.emit(AnswerLedgerReport{input.connection, m_takeover.onLedgerReport(step, input.report)});
}

void EntryMachine::Private::on(EntryStep &step, const AgentSendFailed &input)
{
    m_jobs.onSendFailed(step, input);
}

void EntryMachine::Private::on(EntryStep &step, const PeerHeartbeatReceived &input)
{
    auto reply = m_roster.onPeerHeartbeat(step, input.heartbeat);
    reply.configRevision = m_config.revision();
    reply.config = input.heartbeat.configRevision < m_config.revision() ? m_config.config() : nullptr;
    step.emit(AnswerPeerHeartbeat{input.connection, std::move(reply)});
}

void EntryMachine::Private::on(EntryStep &step, const PeerHeartbeatReplyReceived &input)
{
    m_config.learn(step, input.reply.config, input.reply.from.value());
    m_roster.onPeerReply(step, input.reply);
}

void EntryMachine::Private::on(EntryStep &step, const OwnerQueryReceived &input)
{
    const auto &query = input.query;
    OwnerQueryReply reply;
    reply.from = m_settings.name;
    reply.incarnation = m_roster.incarnation();
    reply.key = query.key;
    // Before this entry knows that it lost the slot it may still take the submission, so it does not deny it.
    reply.known = m_jobs.find(query.key) != nullptr || m_answers.find(query.key) != nullptr || m_takeover.isProving(query.key)
        || m_roster.epoch() < query.token;
    step.emit(AnswerOwnerQuery{input.connection, std::move(reply)});
}

void EntryMachine::Private::on(EntryStep &step, const OwnerQueryReplyReceived &input)
{
    m_takeover.onOwnerQueryReply(step, input.reply);
}

void EntryMachine::Private::on(EntryStep &step, const HandoverReceived &input)
{
    const auto &handover = input.handover;
    for (const auto &record : handover.submissions) {
        EndedSubmission ended;
        ended.key = record.key;
        ended.digest = record.digest;
        ended.state = record.state;
        ended.answer = record.answer;
        ended.error = record.answer == nullptr ? ErrorKind::AnswerReleased : record.answer->error;
        ended.ran = ranOf(record);
        ended.answeredAt = step.wall();
        m_answers.put(step.wall(), ended);
    }
    step.emit(AnswerHandover{input.connection, HandoverReply{m_settings.name, m_roster.incarnation(), handover.slot, handover.part}});
}

void EntryMachine::Private::on(EntryStep & /*step*/, const HandoverReplyReceived &input)
{
    m_drain.onHandoverReply(input.reply);
}

void EntryMachine::Private::on(EntryStep &step, const ForwardAnswered &input)
{
    m_forwards.onAnswered(step, input);
}

void EntryMachine::Private::on(EntryStep &step, const ForwardStatusAnswered &input)
{
    if (!m_forwards.onStatus(step, input) && m_statusForwards.erase(input.connection) > 0) {
        step.emit(AnswerStatus{input.connection, input.error, input.status});
    }
}

void EntryMachine::Private::on(EntryStep &step, const PeerSendFailed &input)
{
    m_drain.onSendFailed(step, input.peer);
    if (!input.connection || m_forwards.onSendFailed(step, *input.connection, input.delivery)) {
        return;
    }
    if (const auto found = m_statusForwards.find(*input.connection); found != m_statusForwards.end()) {
        JobStatus unknown;
        unknown.key = found->second;
        m_statusForwards.erase(found);
        step.emit(AnswerStatus{*input.connection, ErrorKind::OwnerUnavailable, unknown});
    }
}

void EntryMachine::Private::on(EntryStep &step, const HeadRead &input)
{
    m_config.onHeadRead(step, input.configRevision);
    m_roster.onHeadRead(step, input);
}

void EntryMachine::Private::on(EntryStep &step, const HeadReadFailed &input)
{
    m_roster.onHeadReadFailed(step, input);
}

void EntryMachine::Private::on(EntryStep &step, const RosterWriteEnded &input)
{
    m_roster.onWriteEnded(step, input);
}

void EntryMachine::Private::on(EntryStep &step, const ConfigRead &input)
{
    m_config.learn(step, input.config, "the platform");
}

void EntryMachine::Private::on(EntryStep &step, const SlotAgentsRead &input)
{
    m_slotAgents.onRead(step, input);
    updateWorkers(step);
}

void EntryMachine::Private::on(EntryStep &step, const SlotAgentsWriteEnded &input)
{
    m_slotAgents.onWriteEnded(step, input);
    updateWorkers(step);
}

void EntryMachine::Private::on(EntryStep &step, const DrainRequested & /*input*/)
{
    m_drain.begin(step);
}

} // namespace Sycamoremoor
