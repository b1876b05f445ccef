// The entry's steps: each input to its controllers, then what is due.
#include "entry/entry_private.h"

#include <sycamoremoor/core/roster_func.h>

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

constexpr Duration MinTimerDelay = std::chrono::milliseconds(1);

} // namespace

EntryMachine::EntryMachine(EntrySettings settings)
    : d(std::make_unique<Private>(std::move(settings)))
{
}

EntryMachine::~EntryMachine() = default;
EntryMachine::EntryMachine(EntryMachine &&) noexcept = default;
EntryMachine &EntryMachine::operator=(EntryMachine &&) noexcept = default;

void EntryMachine::step(const StepContext &context, EntryInput input, EntryOutputs &outputs)
{
    d->step(context, std::move(input), outputs);
}

bool EntryMachine::isReady() const
{
    return d->isReady();
}

EntryMachine::Private::Private(EntrySettings given)
    : m_settings(std::move(given))
    , m_dispatcher(m_settings.zone, dispatcherHooks())
    , m_answers(m_settings)
    , m_workers(m_settings)
    , m_config(m_settings, [this](EntryStep &step) { onConfigChanged(step); })
    , m_roster(m_settings, [this](EntryStep &step) { onRosterChanged(step); })
    , m_slotAgents(m_settings)
    , m_jobs({m_settings,
              m_roster,
              m_workers,
              m_answers,
              m_dispatcher,
              [this](EntryStep &step, KnownWorker &worker) {
                  updateWorker(step, worker);
              }})
    , m_forwards(
          m_settings, m_roster, [this](EntryStep &step, const Submission &submission) { m_chain.run(step, submission, m_afterReceipt); })
    , m_takeover({m_settings, m_roster, m_workers, m_slotAgents}, takeoverHooks())
    , m_drain({m_settings, m_roster, m_forwards, m_takeover, m_jobs, m_answers, m_dispatcher})
    , m_account({m_settings, m_roster, m_config, m_workers, m_answers, m_jobs, m_dispatcher})
{
    addFilters();
}

void EntryMachine::Private::step(const StepContext &context, EntryInput input, EntryOutputs &outputs)
{
    const auto firstOutput = outputs.size();
    EntryStep step(context, outputs);
    m_step = &step;
    if (!m_lastStep) {
        m_account.begin(context.wall);
    } else if (context.now - *m_lastStep > m_settings.failureTimeout / 2) {
        step.log(Severity::Warning, "entry", "this process stood still");
        m_roster.forgiveSilence(context.now);
        m_workers.forgiveSilence(context.now);
    }
    m_lastStep = context.now;
    std::visit([&](const auto &alternative) { on(step, alternative); }, input);
    afterInput(step);
    for (auto index = firstOutput; index < outputs.size(); ++index) {
        if (const auto *record = std::get_if<AuditRecord>(&outputs[index])) {
            m_account.keep(*record);
        }
    }
    m_step = nullptr;
}

bool EntryMachine::Private::isReady() const
{
    const auto &roster = m_roster.roster();
    return roster != nullptr && !roster->slots.empty() && m_config.config() != nullptr && !m_drain.isDraining();
}

void EntryMachine::Private::afterInput(EntryStep &step)
{
    m_config.onTime(step);
    m_roster.onTime(step, m_config.revision());
    followTenures(step);
    m_slotAgents.onTime(step);
    checkWorkers(step);
    m_takeover.onTime(step);
    m_forwards.onTime(step);
    if (const auto wake = m_jobs.nextWake(); wake && *wake <= step.now()) {
        m_jobs.onTime(step);
    }
    m_drain.onTime(step);
    m_jobs.dispatch(step);
    m_answers.release(step.wall());
    setTimer(step);
}

void EntryMachine::Private::followTenures(EntryStep &step)
{
    std::vector<std::pair<OwnerSlotIndex, Epoch>> exclusive;
    for (const auto &tenure : m_roster.tenures()) {
        if (tenure.exclusive) {
            exclusive.emplace_back(tenure.slot, tenure.token);
        }
    }
    if (exclusive == m_followed) {
        return;
    }
    m_followed = std::move(exclusive);
    m_slotAgents.follow(step, m_roster.tenures());
    for (const auto &[name, worker] : m_workers.workers()) {
        if (isHome(worker.heartbeat)) {
            m_slotAgents.want(step, name);
        }
    }
    updateWorkers(step);
    m_forwards.onRosterChanged(step);
}

void EntryMachine::Private::checkWorkers(EntryStep &step)
{
    const auto silence = m_workers.onTime(step.now());
    for (const auto &name : silence.silent) {
        step.log(Severity::Warning, "worker", name.value() + " is silent");
        updateWorker(step, *m_workers.find(name));
    }
    for (const auto &[name, incarnation] : silence.lost) {
        step.log(Severity::Warning, "worker", name.value() + " is lost");
        m_dispatcher.removeWorker(name);
        m_jobs.onAgentLost(step, name, incarnation);
    }
}

void EntryMachine::Private::updateWorker(EntryStep &step, const KnownWorker &worker)
{
    const auto &heartbeat = worker.heartbeat;
    WorkerState state;
    state.agent = heartbeat.agent;
    state.incarnation = heartbeat.incarnation;
    state.zone = heartbeat.zone;
    state.service = heartbeat.service;
    state.capacity = heartbeat.capacity;
    state.usage = heartbeat.usage;
    state.accepting = !heartbeat.leaving && heartbeat.upstreamHealthy && !worker.silent && isHome(heartbeat)
        && m_slotAgents.isRecorded(heartbeat.agent);
    const auto present = heartbeat.queued + heartbeat.running;
    state.tasksOfOtherOwners = present > heartbeat.heldForOwner ? present - heartbeat.heldForOwner : 0;
    m_dispatcher.updateWorker(step.now(), state);
}

void EntryMachine::Private::updateWorkers(EntryStep &step)
{
    for (const auto &[name, worker] : m_workers.workers()) {
        updateWorker(step, worker);
    }
}

void EntryMachine::Private::onRosterChanged(EntryStep &step)
{
    std::vector<Submission> waiting;
    if (!m_roster.isSelfMember()) {
        waiting = m_jobs.abandon(step);
        for (const auto &[name, worker] : m_workers.workers()) {
            m_dispatcher.removeWorker(name);
        }
        m_answers.clear();
        m_workers.clear();
        m_account.begin(step.wall());
    } else {
        waiting = m_jobs.releaseUnstarted();
    }
    m_takeover.onRosterChanged(step);
    m_forwards.onRosterChanged(step);
    for (const auto &submission : waiting) {
        m_forwards.hold(step, submission);
    }
    onConfigChanged(step);
    updateWorkers(step);
}

void EntryMachine::Private::onConfigChanged(EntryStep & /*step*/)
{
    const auto &config = m_config.config();
    if (config == nullptr) {
        return;
    }
    const auto &roster = m_roster.roster();
    const auto slots = roster == nullptr ? 0 : roster->slots.size();
    const auto share = slots == 0 ? 1.0 : static_cast<double>(m_roster.tenures().size()) / static_cast<double>(slots);
    m_dispatcher.configure(config, share);
    m_answers.configure(config->policy);
}

DispatcherHooks EntryMachine::Private::dispatcherHooks()
{
    DispatcherHooks hooks;
    hooks.workerEvent = [this](const WorkerEvent &event) {
        if (m_step == nullptr) {
            return;
        }
        AuditRecord record;
        record.at = m_step->wall();
        record.kind = event.ejected ? AuditKind::Ejection : AuditKind::Readmission;
        record.actor = m_settings.name.value();
        record.subject = event.agent.value();
        record.reason = event.reason;
        m_step->emit(std::move(record));
        if (event.ejected) {
            m_step->count(CounterMetric::WorkersEjected);
        }
    };
    return hooks;
}

void EntryMachine::Private::setTimer(EntryStep &step)
{
    if (m_drain.isStopped()) {
        return;
    }
    const auto wake = std::max(nextWake(), step.now() + MinTimerDelay);
    if (!m_timer || *m_timer <= step.now() || wake < *m_timer) {
        m_timer = wake;
        step.emit(SetTimer{wake});
    }
}

MonotonicTime EntryMachine::Private::nextWake() const
{
    auto wake = m_roster.nextWake();
    for (const auto &other : {m_config.nextWake(),
                              m_slotAgents.nextWake(),
                              m_workers.nextWake(),
                              m_takeover.nextWake(),
                              m_forwards.nextWake(),
                              m_jobs.nextWake(),
                              m_drain.nextWake()}) {
        wake = other ? std::min(wake, *other) : wake;
    }
    return wake;
}

bool EntryMachine::Private::isHome(const AgentHeartbeat &heartbeat) const
{
    const auto &roster = m_roster.roster();
    if (roster == nullptr) {
        return false;
    }
    const auto home = assignedSlot(*roster, heartbeat.agent, heartbeat.zone, heartbeat.region);
    return home && m_roster.tenure(*home) != nullptr;
}

bool EntryMachine::Private::isPowerless(MonotonicTime now, const AgentHeartbeat &heartbeat) const
{
    const auto home = assignedSlot(*m_roster.roster(), heartbeat.agent, heartbeat.zone, heartbeat.region);
    const auto *tenure = home ? m_roster.tenure(*home) : nullptr;
    return tenure != nullptr && tenure->exclusive && !m_roster.mayServe(now, *home);
}

OwnerSlotIndex EntryMachine::Private::slotOf(const SubmissionKey &key) const
{
    const auto &roster = m_roster.roster();
    return slotOfKey(key, roster == nullptr || roster->slots.empty() ? 1 : roster->slots.size());
}

} // namespace Sycamoremoor
