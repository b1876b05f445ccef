// State machine of an agent: dispatches inputs to the controllers and does what is due after each.
#include <sycamoremoor/core/agent_machine.h>

#include "agent/agent_state.h"
#include "agent/heartbeat_controller.h"
#include "agent/ledger_report_controller.h"
#include "agent/report_controller.h"
#include "agent/task_controller.h"
#include "agent/upstream_controller.h"

#include <algorithm>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr std::size_t MaxAuditRecords = 100;
constexpr Duration MinTimerDelay = std::chrono::milliseconds(1);

} // namespace

class AgentMachine::Private
{
public:
    Private(AgentSettings settings, const LedgerRules &rules)
        : state(std::move(settings), rules)
        , reports(state)
        , tasks(state, reports)
        , upstream(state, tasks)
        , heartbeats(state, reports)
        , ledgerReports(state)
    {
    }

    void beginStep(AgentStep &step);
    void finishStep(AgentStep &step);
    void checkDrained(AgentStep &step);
    void setTimer(AgentStep &step);
    [[nodiscard]] ProcessStatus::Worker ownWorker() const;

    void handle(AgentStep &step, Tick &input);
    void handle(AgentStep &step, StartTasksReceived &input);
    void handle(AgentStep &step, StopTasksReceived &input);
    void handle(AgentStep &step, QueryTasksReceived &input);
    void handle(AgentStep &step, HeartbeatReplyReceived &input);
    void handle(AgentStep &step, HeartbeatFailed &input);
    void handle(AgentStep &step, LedgerReplyReceived &input);
    void handle(AgentStep &step, ReportsFailed &input);
    void handle(AgentStep &step, UpstreamTaskEnded &input);
    void handle(AgentStep &step, UpstreamStartFailed &input);
    void handle(AgentStep &step, UpstreamTaskState &input);
    void handle(AgentStep &step, UpstreamHealth &input);
    void handle(AgentStep &step, UpstreamUnreachable &input);
    void handle(AgentStep &step, AgentStatusRequested &input);
    void handle(AgentStep &step, DrainRequested &input);

    AgentState state;
    ReportController reports;
    TaskController tasks;
    UpstreamController upstream;
    HeartbeatController heartbeats;
    LedgerReportController ledgerReports;
    bool begun = false;
    bool stopped = false;
    MonotonicTime drainBy = MonotonicTime::max();
    std::optional<MonotonicTime> timer;
};

AgentMachine::AgentMachine(AgentSettings settings)
    : AgentMachine(std::move(settings), LedgerRules{})
{
}

AgentMachine::AgentMachine(AgentSettings settings, const LedgerRules &rules)
    : d(std::make_unique<Private>(std::move(settings), rules))
{
}

AgentMachine::~AgentMachine() = default;
AgentMachine::AgentMachine(AgentMachine &&) noexcept = default;
AgentMachine &AgentMachine::operator=(AgentMachine &&) noexcept = default;

void AgentMachine::step(const StepContext &context, AgentInput input, AgentOutputs &outputs)
{
    AgentStep step{context, outputs};
    d->beginStep(step);
    std::visit([this, &step](auto &alternative) { d->handle(step, alternative); }, input);
    d->finishStep(step);
}

bool AgentMachine::isReady() const
{
    return d->state.accepting();
}

void AgentMachine::Private::beginStep(AgentStep &step)
{
    if (!begun) {
        begun = true;
        state.startedAt = step.context.wall;
        state.firstStep = step.context.now;
    }
}

void AgentMachine::Private::finishStep(AgentStep &step)
{
    if (stopped) {
        return;
    }
    upstream.tick(step);
    tasks.fillSlots(step);
    heartbeats.tick(step);
    ledgerReports.tick(step);
    reports.flush(step);
    state.ledger.release(step.context.now);
    state.owners.prune();
    while (state.audit.size() > MaxAuditRecords) {
        state.audit.pop_front();
    }
    checkDrained(step);
    setTimer(step);
}

void AgentMachine::Private::checkDrained(AgentStep &step)
{
    if (!state.draining) {
        return;
    }
    const bool drained
        = state.active.empty() && reports.unacknowledged() == 0 && !ledgerReports.isPending() && heartbeats.leavingIsAcknowledged();
    if (drained || step.context.now >= drainBy) {
        stopped = true;
        step.outputs.emplace_back(Stopped{static_cast<std::uint32_t>(state.active.size())});
    }
}

void AgentMachine::Private::setTimer(AgentStep &step)
{
    auto wake = std::min(
        {upstream.nextWake(), tasks.nextWake(), heartbeats.nextWake(), ledgerReports.nextWake(), state.ledger.nextRelease(), drainBy});
    wake = std::max(wake, step.context.now + MinTimerDelay);
    if (timer != wake) {
        timer = wake;
        step.outputs.emplace_back(SetTimer{wake});
    }
}

void AgentMachine::Private::handle(AgentStep & /*step*/, Tick & /*input*/)
{
    timer.reset();
}

void AgentMachine::Private::handle(AgentStep &step, StartTasksReceived &input)
{
    tasks.startTasks(step, std::move(input.message));
}

void AgentMachine::Private::handle(AgentStep &step, StopTasksReceived &input)
{
    tasks.stopTasks(step, input.message);
}

void AgentMachine::Private::handle(AgentStep &step, QueryTasksReceived &input)
{
    tasks.queryTasks(step, input.message);
}

void AgentMachine::Private::handle(AgentStep &step, HeartbeatReplyReceived &input)
{
    if (heartbeats.handleReply(step, input)) {
        ledgerReports.handleRosterChange();
    }
}

void AgentMachine::Private::handle(AgentStep &step, HeartbeatFailed &input)
{
    heartbeats.handleFailure(step, input.entry);
}

void AgentMachine::Private::handle(AgentStep &step, LedgerReplyReceived &input)
{
    ledgerReports.handleReply(step, input.reply);
}

void AgentMachine::Private::handle(AgentStep &step, ReportsFailed &input)
{
    reports.deliveryFailed(input.owner);
    heartbeats.sendSoon(step);
}

void AgentMachine::Private::handle(AgentStep &step, UpstreamTaskEnded &input)
{
    upstream.handleTaskEnded(step, input);
}

void AgentMachine::Private::handle(AgentStep &step, UpstreamStartFailed &input)
{
    upstream.handleStartFailed(step, input);
}

void AgentMachine::Private::handle(AgentStep &step, UpstreamTaskState &input)
{
    upstream.handleTaskState(step, input);
}

void AgentMachine::Private::handle(AgentStep &step, UpstreamHealth &input)
{
    upstream.handleHealth(step, input);
}

void AgentMachine::Private::handle(AgentStep &step, UpstreamUnreachable &input)
{
    upstream.handleUnreachable(step, input);
}

ProcessStatus::Worker AgentMachine::Private::ownWorker() const
{
    ProcessStatus::Worker worker;
    worker.agent = state.settings.name;
    worker.incarnation = state.settings.incarnation;
    worker.zone = state.settings.zone;
    worker.service = state.settings.service;
    worker.leaving = state.isLeaving();
    worker.reachable = state.upstreamHealthy;
    worker.running = state.running;
    worker.slots = state.settings.capacity.slots;
    worker.configRevision = state.config ? state.config->revision : Revision();
    worker.configSince = state.configSince;
    return worker;
}

void AgentMachine::Private::handle(AgentStep &step, AgentStatusRequested &input)
{
    const auto &settings = state.settings;
    ProcessStatus status;
    status.name = settings.name.value();
    status.role = "agent";
    status.incarnation = settings.incarnation;
    status.startedAt = state.startedAt;
    status.draining = state.draining;
    status.ready = state.accepting();
    status.rosterEpoch = state.roster ? state.roster->epoch : Epoch();
    status.configRevision = state.config ? state.config->revision : Revision();
    status.configSince = state.configSince;
    status.queuedTasks = static_cast<std::uint32_t>(state.queue.size());
    status.outstandingTasks = state.running;
    status.roster = state.roster;
    status.workers.push_back(ownWorker());
    status.audit.assign(state.audit.begin(), state.audit.end());
    step.outputs.emplace_back(AnswerProcessStatus{input.connection, std::move(status)});
}

void AgentMachine::Private::handle(AgentStep &step, DrainRequested & /*input*/)
{
    if (state.draining) {
        return;
    }
    state.draining = true;
    drainBy = step.context.now + state.settings.drainTimeout;
    AuditRecord record;
    record.at = step.context.wall;
    record.kind = AuditKind::Drain;
    record.subject = state.settings.name.value();
    step.outputs.emplace_back(record);
    state.audit.push_back(std::move(record));
}

} // namespace Sycamoremoor
