// The decisions of a guard: keeps the room of the upstream beside it and answers for each run there.
#include <sycamoremoor/core/guard_machine.h>

#include "guard/guard_private.h"

#include <algorithm>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr Duration StopRetry = std::chrono::milliseconds(30);    ///< after a stop that failed, as at once when the upstream is gone
constexpr Duration StopRepeat = std::chrono::milliseconds(150);  ///< three times the upstream's bound for a stop
constexpr Duration LookLimit = std::chrono::milliseconds(60);    ///< a look is answered at once or after its second try
constexpr Duration RenewalPause = std::chrono::milliseconds(50); ///< after a renewal without an answer
constexpr Duration LapseBound
    = std::chrono::milliseconds(150);        ///< 2% of the silence before a lease ends, and the upstream's bound for a stop
constexpr std::uint32_t SilencesToDoubt = 3; ///< one answer in twenty is lost on a bad day; three in a row are rare
constexpr FencingToken TokenLeap{60'000};    ///< in milliseconds: beyond any step of the clock that the first token came from
constexpr std::size_t BackfillLimit = 32;    ///< waiting runs that are tried for room in one step

Duration millisecondsOf(UpstreamTime time)
{
    return std::chrono::milliseconds(time.value());
}

} // namespace

GuardMachine::GuardMachine(const GuardSettings &settings)
    : d(std::make_unique<Private>(settings))
{
}

GuardMachine::~GuardMachine() = default;
GuardMachine::GuardMachine(GuardMachine &&) noexcept = default;
GuardMachine &GuardMachine::operator=(GuardMachine &&) noexcept = default;

void GuardMachine::step(const StepContext &context, GuardInput input, GuardOutputs &outputs)
{
    GuardStep step{context, outputs, "guard"};
    std::visit([&](const auto &content) { d->take(step, content); }, input);
    d->settle(step);
}

bool GuardMachine::isAccepting() const
{
    return d->isAccepting();
}

GuardMachine::Private::Private(const GuardSettings &settings)
    : m_settings(settings)
    , m_token(settings.firstToken)
{
}

void GuardMachine::Private::take(GuardStep & /*step*/, const Tick & /*input*/) { }

void GuardMachine::Private::take(GuardStep &step, const UpstreamAnnounced &input)
{
    if (!m_upstream || m_upstream->announced.life != input.life) {
        beginLife(step, input);
    } else if (input.sequence <= m_upstream->announced.sequence) {
        return; // overtaken by a later announcement
    }
    if (input.leaving && !m_upstream->announced.leaving) {
        step.log(Severity::Info, "The upstream " + input.life.name + " leaves; it gets no new work.");
    }
    m_upstream->announced = input;
}

void GuardMachine::Private::beginLife(GuardStep &step, const UpstreamAnnounced &announced)
{
    if (m_upstream) {
        step.log(Severity::Warning, "The upstream began another life as " + announced.life.name + "; its runs are lost.");
        loseAll(step);
    } else {
        step.log(Severity::Info, "The upstream " + announced.life.name + " announced itself.");
    }
    m_upstream = Upstream{};
    m_upstream->announced = announced;
    m_upstream->announced.leaving = false;
    m_upstream->heardAt = step.now();
    m_upstream->clockLead = millisecondsOf(announced.clock) - step.now().time_since_epoch();
}

void GuardMachine::Private::take(GuardStep &step, const UpstreamLeft &input)
{
    if (m_upstream && m_upstream->announced.life.name == input.name) {
        step.log(Severity::Info, "The upstream " + input.name + " left.");
        loseAll(step);
        m_upstream.reset();
    }
}

void GuardMachine::Private::loseAll(GuardStep &step)
{
    while (!m_book.runs().empty()) {
        const auto &[run, record] = *m_book.runs().begin();
        const bool waiting = record.stage == RunStage::Waiting;
        report(
            step, RunId(run), waiting ? RunOutcome::NotStarted : RunOutcome::Lapsed, waiting ? ErrorKind::UpstreamLost : ErrorKind::None);
    }
}

void GuardMachine::Private::take(GuardStep &step, const BatchReceived &input)
{
    const auto &batch = input.batch;
    m_unreported[input.connection] = static_cast<std::uint32_t>(batch.orders.size());
    m_payloads[input.connection] = batch.payload;
    for (std::uint32_t index = 0; index < batch.orders.size(); ++index) {
        const auto &order = batch.orders[index];
        if (const auto why = refusalOf(order); why != ErrorKind::None) {
            refuse(step, input.connection, index, why);
            continue;
        }
        GuardedRun record;
        record.connection = input.connection;
        record.order = index;
        record.size = order.size;
        record.isOrdinary = order.urgency.isOrdinary;
        record.latestStart = step.now() + order.urgency.slack;
        record.startBy = step.now() + order.startWithin;
        record.runLimit = order.runLimit;
        m_book.add(order.run, record);
    }
}

ErrorKind GuardMachine::Private::refusalOf(const RunOrder &order) const
{
    if (m_drainUntil || (m_upstream && m_upstream->announced.leaving)) {
        return ErrorKind::Draining;
    }
    if (!isAccepting()) {
        return ErrorKind::UpstreamLost;
    }
    if (!fits(order.size, m_upstream->announced.capacity)) {
        return ErrorKind::NeverFits;
    }
    // Another run of the task may still be ending here: two of them must never run side by side.
    return m_book.hasTask(order.run.task) ? ErrorKind::NoCapacity : ErrorKind::None;
}

void GuardMachine::Private::take(GuardStep &step, const BatchGone &input)
{
    m_unreported.erase(input.connection);
    m_payloads.erase(input.connection);
    std::vector<RunId> waiting;
    for (auto &[run, record] : m_book.runs()) {
        if (record.connection != input.connection) {
            continue;
        }
        if (record.stage == RunStage::Waiting) {
            waiting.push_back(run);
        } else if (record.stage != RunStage::Stopping) {
            stop(step, run, record);
        }
    }
    for (const auto &run : waiting) {
        m_book.remove(run);
    }
}

void GuardMachine::Private::take(GuardStep &step, const RunStartAnswered &input)
{
    auto *record = m_book.find(input.run);
    if (record == nullptr || record->stage == RunStage::Waiting) {
        return;
    }
    switch (input.answer) {
    case StartAnswer::Started:
        confirmStart(step, *record);
        return;
    case StartAnswer::NoAnswer:
        if (record->stage == RunStage::Starting) {
            // It may run, with only its answer lost: a list tells. If it does not, it may still begin at any time.
            record->doubtedAfter = RenewalNumber(m_lastRenewal);
            record->stopReason = ErrorKind::UpstreamLost;
            record->stopDue = step.now() + LookLimit;
            m_upstream->lookWanted = true;
        }
        return;
    case StartAnswer::Fenced:
        m_token += TokenLeap;
        step.log(Severity::Warning, "The upstream knows a higher fencing token; it is raised to " + std::to_string(m_token.value()) + ".");
        report(step, input.run, RunOutcome::NotStarted, ErrorKind::OwnerFenced);
        return;
    case StartAnswer::Superseded:
        report(step, input.run, RunOutcome::NotStarted, ErrorKind::Tombstoned);
        return;
    case StartAnswer::NoRoom:
    case StartAnswer::TooLate:
    case StartAnswer::Unhealthy:
    case StartAnswer::Invalid:
        step.log(Severity::Warning,
                 "The upstream refused a run although there was room for it.",
                 {{"task", workTaskIdToString(input.run.task)}});
        report(step, input.run, RunOutcome::NotStarted, ErrorKind::NoCapacity);
        return;
    default:
        report(step, input.run, RunOutcome::NotStarted, ErrorKind::UpstreamLost);
        return;
    }
}

void GuardMachine::Private::confirmStart(GuardStep &step, GuardedRun &record)
{
    record.started = true;
    record.startedAt = step.now();
    record.confirmedAfter = RenewalNumber(m_lastRenewal);
    if (record.stage == RunStage::Starting) {
        record.stage = RunStage::Running;
        record.doubtedAfter.reset();
        record.stopReason = ErrorKind::None;
        record.stopDue = step.now() + record.runLimit;
    }
}

void GuardMachine::Private::stop(GuardStep &step, const RunId &run, GuardedRun &record)
{
    record.stage = RunStage::Stopping;
    record.confirmedAfter.reset();
    record.stopDue = step.now() + StopRepeat;
    record.stopSentAt = step.now();
    sendStop(step, run);
}

void GuardMachine::Private::sendStop(GuardStep &step, const RunId &run)
{
    step.emit(StopRun{m_upstream->announced.endpoint, m_upstream->announced.life, run, m_token});
}

void GuardMachine::Private::take(GuardStep &step, const RunStopAnswered &input)
{
    auto *record = m_book.find(input.run);
    if (record == nullptr || record->stage != RunStage::Stopping) {
        return;
    }
    if (!input.confirmed) {
        record->stopDue = std::max(step.now(), record->stopSentAt + StopRetry);
    } else {
        record->confirmedAfter = RenewalNumber(m_lastRenewal);
        record->stopDue.reset();
        m_upstream->lookWanted = true; // tells whether it ever ran
    }
}

void GuardMachine::Private::take(GuardStep &step, const UpstreamListed &input)
{
    if (!m_upstream) {
        return;
    }
    auto &upstream = *m_upstream;
    renewalEnded(input.renewal);
    if (input.life.bornMs != upstream.announced.life.bornMs) {
        upstream.silences = std::max(upstream.silences, SilencesToDoubt); // its announcement is to come
        return;
    }
    if (upstream.silences >= SilencesToDoubt) {
        step.log(Severity::Info, "The upstream answers again.");
    }
    upstream.silences = 0;
    upstream.heardAt = step.now();
    upstream.clockLead = millisecondsOf(input.clock) - step.now().time_since_epoch();
    takeEnds(step, input);
    takeStarted(step, input);
    takeMissing(step, input);
    takeStrangers(step, input);
}

void GuardMachine::Private::takeEnds(GuardStep &step, const UpstreamListed &listed)
{
    auto &upstream = *m_upstream;
    for (const auto &[number, run, outcome] : listed.ended) {
        if (number <= upstream.acknowledged) {
            continue;
        }
        upstream.acknowledged = number;
        upstream.over.add(step.now(), run);
        upstream.listening.clear(); // an end answers every renewal that waits: those that are still to come may be lost
        if (const auto *record = m_book.find(run); record != nullptr) {
            report(step, run, outcome, outcome == RunOutcome::Stopped ? record->stopReason : ErrorKind::None);
        }
    }
}

void GuardMachine::Private::takeStarted(GuardStep &step, const UpstreamListed &listed)
{
    for (const auto &run : listed.running) {
        if (auto *record = m_book.find(run); record != nullptr && record->stage == RunStage::Starting) {
            confirmStart(step, *record);
        }
    }
    for (auto &[run, record] : m_book.runs()) {
        if (record.stage == RunStage::Starting && record.doubtedAfter && *record.doubtedAfter < listed.renewal) {
            stop(step, run, record); // once confirmed, it keeps the run from starting for good
        }
    }
}

void GuardMachine::Private::takeMissing(GuardStep &step, const UpstreamListed &listed)
{
    const std::set<RunId> running(listed.running.begin(), listed.running.end());
    std::vector<RunId> missing;
    for (const auto &[run, record] : m_book.runs()) {
        const bool known = record.confirmedAfter && *record.confirmedAfter < listed.renewal;
        if (known && !running.contains(run)) {
            missing.push_back(run);
        }
    }
    for (const auto &run : missing) {
        const auto &record = *m_book.find(run);
        const bool neverRan = !record.started && record.stage == RunStage::Stopping;
        report(step, run, neverRan ? RunOutcome::NotStarted : RunOutcome::Lapsed, neverRan ? record.stopReason : ErrorKind::None);
    }
}

void GuardMachine::Private::takeStrangers(GuardStep &step, const UpstreamListed &listed)
{
    auto &upstream = *m_upstream;
    std::map<RunId, MonotonicTime> strangers;
    for (const auto &run : listed.running) {
        if (m_book.find(run) != nullptr || upstream.over.contains(run)) {
            continue; // ours, or named by a list that was overtaken by one with its end
        }
        const auto known = upstream.strangers.find(run);
        auto due = known == upstream.strangers.end() ? step.now() : known->second;
        if (due <= step.now()) {
            step.log(Severity::Info, "A run of an earlier life of this guard is stopped.", {{"task", workTaskIdToString(run.task)}});
            sendStop(step, run);
            due = step.now() + StopRepeat;
        }
        strangers.emplace(run, due);
    }
    upstream.strangers = std::move(strangers);
    upstream.settled = upstream.strangers.empty();
}

void GuardMachine::Private::take(GuardStep &step, const UpstreamSilent &input)
{
    if (!m_upstream) {
        return;
    }
    renewalEnded(input.renewal);
    if (++m_upstream->silences == SilencesToDoubt) {
        step.log(Severity::Warning, "The upstream does not answer; it gets no new work.");
    }
}

void GuardMachine::Private::take(GuardStep &step, const DrainRequested & /*input*/)
{
    if (!m_drainUntil) {
        m_drainUntil = step.now() + m_settings.drainTimeout;
    }
}

void GuardMachine::Private::report(GuardStep &step, const RunId &run, RunOutcome outcome, ErrorKind why)
{
    const auto record = *m_book.find(run);
    m_book.remove(run);
    RunReport report;
    report.order = record.order;
    report.outcome = outcome;
    report.why = why;
    if (record.started) {
        report.runTime = step.now() - record.startedAt;
        step.emit(Observation{HistogramMetric::TaskRunSeconds, toSeconds(report.runTime)});
    }
    sendReport(step, record.connection, report);
}

void GuardMachine::Private::refuse(GuardStep &step, ConnectionId connection, std::uint32_t order, ErrorKind why)
{
    step.emit(Count{CounterMetric::TasksRefused, 1});
    RunReport report;
    report.order = order;
    report.why = why;
    sendReport(step, connection, report);
}

void GuardMachine::Private::sendReport(GuardStep &step, ConnectionId connection, const RunReport &report)
{
    const auto open = m_unreported.find(connection);
    if (open == m_unreported.end()) {
        return; // nobody waits for it
    }
    step.emit(ReportRun{connection, report});
    if (--open->second == 0) {
        m_unreported.erase(open);
        m_payloads.erase(connection);
        step.emit(EndBatch{connection});
    }
}

void GuardMachine::Private::settle(GuardStep &step)
{
    if (m_upstream) {
        const bool silentTooLong = m_upstream->silences >= SilencesToDoubt && step.now() >= m_upstream->leaseUntil + LapseBound;
        if (silentTooLong && !m_book.runs().empty()) {
            step.log(Severity::Warning, "The leases at the silent upstream are over; its runs are lost.");
            loseAll(step);
        }
        dropLate(step);
        startWaiting(step);
        stopDue(step);
        renew(step);
    }
    tellRoom(step);
    const bool drained = m_drainUntil && (m_book.runs().empty() || step.now() >= *m_drainUntil);
    if (drained && !std::exchange(m_stopped, true)) {
        step.emit(Stopped{static_cast<std::uint32_t>(m_book.runs().size())});
    }
    setTimer(step);
}

void GuardMachine::Private::dropLate(GuardStep &step)
{
    const bool refuseAll = !isAccepting();
    while (const auto useless = m_book.nextUseless()) {
        const auto &[startBy, run] = *useless;
        if (!refuseAll && startBy > step.now()) {
            return;
        }
        report(step, run, RunOutcome::NotStarted, refuseAll ? ErrorKind::Draining : ErrorKind::DeadlineUnreachable);
    }
}

void GuardMachine::Private::startWaiting(GuardStep &step)
{
    if (!isAccepting()) {
        return;
    }
    std::vector<RunId> startable;
    auto free = m_upstream->announced.capacity - m_book.taken();
    std::size_t tried = 0;
    for (const auto &[rank, size] : m_book.waiting()) {
        if (++tried > BackfillLimit) {
            break;
        }
        if (fits(size, free)) {
            free -= size;
            startable.push_back(rank.run);
        }
    }
    for (const auto &run : startable) {
        start(step, run);
    }
}

void GuardMachine::Private::start(GuardStep &step, const RunId &run)
{
    m_book.take(run);
    const auto &record = *m_book.find(run);
    auto &upstream = *m_upstream;
    upstream.leaseUntil = step.now() + m_settings.leaseTerm;
    step.emit(
        StartRun{upstream.announced.endpoint, upstream.announced.life, run, m_payloads[record.connection], leaseEnd(step.now()), m_token});
}

void GuardMachine::Private::stopDue(GuardStep &step)
{
    for (auto &[run, record] : m_book.runs()) {
        if (!record.stopDue || *record.stopDue > step.now()) {
            continue;
        }
        if (record.stage == RunStage::Running) {
            step.log(Severity::Warning,
                     "A run is over its limit and is stopped.",
                     {{"task", workTaskIdToString(run.task)}, {"limit_s", std::to_string(toSeconds(record.runLimit))}});
            record.stopReason = ErrorKind::RunLimitReached;
        }
        stop(step, run, record);
    }
}

void GuardMachine::Private::renewalEnded(RenewalNumber number)
{
    m_upstream->listening.erase(number);
    if (m_upstream->looking == number) {
        m_upstream->looking.reset();
    }
}

void GuardMachine::Private::renew(GuardStep &step)
{
    auto &upstream = *m_upstream;
    if (upstream.lookWanted && !upstream.looking) {
        upstream.lookWanted = false;
        upstream.looking = sendRenewal(step, Duration::zero());
    }
    const bool pausing = upstream.silences > 0 && step.now() < upstream.heardAt + RenewalPause * upstream.silences;
    while (!pausing && upstream.listening.size() < m_settings.listeners) {
        const auto wait = upstream.settled ? m_settings.renewWait : RenewalPause;
        upstream.listening.insert(sendRenewal(step, wait));
    }
}

RenewalNumber GuardMachine::Private::sendRenewal(GuardStep &step, Duration wait)
{
    auto &upstream = *m_upstream;
    RenewLease renewal;
    renewal.number = RenewalNumber(++m_lastRenewal);
    renewal.upstream = upstream.announced.endpoint;
    renewal.life = upstream.announced.life;
    renewal.token = m_token;
    renewal.acknowledged = upstream.acknowledged;
    // A silent upstream's leases are left to end, so that its runs are soon known to be over.
    if (!m_book.runs().empty() && upstream.silences < SilencesToDoubt) {
        upstream.leaseUntil = step.now() + m_settings.leaseTerm;
        renewal.leaseUntil = leaseEnd(step.now());
    }
    renewal.wait = wait;
    const auto number = renewal.number;
    step.emit(std::move(renewal));
    return number;
}

bool GuardMachine::Private::isAccepting() const
{
    return m_upstream && !m_drainUntil && m_upstream->settled && !m_upstream->announced.leaving && m_upstream->silences < SilencesToDoubt;
}

TaskSize GuardMachine::Private::freeRoom() const
{
    return m_upstream->announced.capacity - m_book.taken() - m_book.asked();
}

UpstreamTime GuardMachine::Private::leaseEnd(MonotonicTime now) const
{
    const auto end = now.time_since_epoch() + m_upstream->clockLead + m_settings.leaseTerm;
    return UpstreamTime(std::chrono::duration_cast<std::chrono::milliseconds>(end).count());
}

RoomReport GuardMachine::Private::room() const
{
    RoomReport room;
    room.incarnation = m_settings.incarnation;
    room.accepting = isAccepting();
    if (m_upstream) {
        room.service = m_upstream->announced.service;
        room.capacity = m_upstream->announced.capacity;
        room.free = freeRoom();
        room.waiting = static_cast<std::uint32_t>(m_book.waiting().size());
        room.labels = m_upstream->announced.labels;
    }
    return room;
}

void GuardMachine::Private::tellRoom(GuardStep &step)
{
    if (auto current = room(); current != m_told) {
        m_told = current;
        step.emit(RoomChanged{std::move(current)});
    }
}

void GuardMachine::Private::setTimer(GuardStep &step)
{
    auto wake = MonotonicTime::max();
    if (const auto useless = m_book.nextUseless()) {
        wake = useless->first;
    }
    for (const auto &[run, record] : m_book.runs()) {
        if (record.stopDue) {
            wake = std::min(wake, *record.stopDue);
        }
    }
    if (m_upstream && m_upstream->listening.size() < m_settings.listeners) {
        wake = std::min(wake, m_upstream->heardAt + RenewalPause * m_upstream->silences);
    }
    if (m_drainUntil && !m_stopped) {
        wake = std::min(wake, *m_drainUntil);
    }
    if (wake != MonotonicTime::max()) {
        step.emit(SetTimer{wake});
    }
}

} // namespace Sycamoremoor
