// State machine of a guard: manages the capacity of the upstream on its machine and reports the end of every run there.
#include <sycamoremoor/core/guard_machine.h>

#include "guard/guard_private.h"

#include <algorithm>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr Duration StopRetry = std::chrono::milliseconds(30); ///< from a stop that failed to the next: a refused connection fails at once
constexpr Duration ImmediateRenewalTimeout = std::chrono::milliseconds(60); ///< an immediate renewal is answered at once or after one retry
constexpr Duration LapseBound
    = std::chrono::milliseconds(150); ///< after a lease: 2% of it for the upstream's clock, and its limit for a stop
constexpr int OverdueFactor = 2;      ///< of the expected run time: declared and estimated times are off by less
constexpr Duration OverdueSlack = std::chrono::milliseconds(100); ///< added to the scaled run time
constexpr std::int64_t TrialDivisor = 2;                          ///< of the capacity, for an upstream that may still stall
constexpr std::size_t BackfillLimit = 32;                         ///< limit on the waiting runs that are tried for capacity per input

/** Returns why a run that is due to be stopped at @p now is stopped. */
ErrorKind stopReasonOf(const GuardedRun &record, MonotonicTime now)
{
    if (record.leaseUntil <= now) {
        return ErrorKind::OwnerUnavailable;
    }
    return record.expiresAt <= now ? ErrorKind::DeadlineUnreachable : ErrorKind::RunLimitReached;
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
    std::visit([&](const auto &content) { d->handle(step, content); }, input);
    d->processDue(step);
}

bool GuardMachine::isAccepting() const
{
    return d->isAccepting();
}

GuardMachine::Private::Private(const GuardSettings &settings)
    : m_settings(settings)
    , m_token(settings.firstToken)
    , m_crashes(settings.incarnation)
    , m_evacuation(settings.zone, settings.evacuateWithin)
{
}

void GuardMachine::Private::handle(GuardStep & /*step*/, const Tick & /*input*/) { }

void GuardMachine::Private::handle(GuardStep &step, const RunStartAnswered &input)
{
    auto *record = m_runTable.find(input.run);
    if (record == nullptr || record->stage == RunStage::Waiting) {
        return;
    }
    switch (input.answer) {
    case StartAnswer::Started:
        confirmStart(step, *record);
        return;
    case StartAnswer::NoAnswer:
        if (record->stage == RunStage::Starting) {
            step.log(Severity::Info, "The order to start a run was not answered.", fieldsOf(input.run, *record));
            // If only the answer was lost, the run is in the next list. If the order was lost or is delayed, the run may still start.
            record->unansweredAfter = RenewalNumber(m_lastRenewal);
            record->stopReason = ErrorKind::UpstreamLost;
            record->stopDue = step.now() + ImmediateRenewalTimeout;
            m_upstream->immediateRenewalWanted = true;
        }
        return;
    case StartAnswer::Fenced:
        if (record->token == m_token) {
            raiseToken(step);
        }
        report(step, input.run, RunOutcome::NotStarted, ErrorKind::OwnerFenced);
        return;
    case StartAnswer::Superseded:
        report(step, input.run, RunOutcome::NotStarted, ErrorKind::Tombstoned);
        return;
    case StartAnswer::InsufficientCapacity:
    case StartAnswer::TooLate:
    case StartAnswer::Unhealthy:
    case StartAnswer::Invalid:
        step.log(Severity::Warning, "The upstream refused a run although enough capacity was free.", fieldsOf(input.run, *record));
        report(step, input.run, RunOutcome::NotStarted, ErrorKind::NoCapacity);
        return;
    default:
        report(step, input.run, RunOutcome::NotStarted, ErrorKind::UpstreamLost);
        return;
    }
}

void GuardMachine::Private::raiseToken(GuardStep &step)
{
    m_token += m_tokenStep;
    m_tokenStep = std::min(m_tokenStep + m_tokenStep, MaxTokenStep);
    m_renewalsBeforeRaise = RenewalNumber(m_lastRenewal);
    step.log(Severity::Warning,
             "The upstream knows a higher fencing token; the token of this guard is raised to " + std::to_string(m_token.value()) + ".");
}

void GuardMachine::Private::confirmStart(GuardStep &step, GuardedRun &record)
{
    record.started = true;
    record.startedAt = step.now();
    record.confirmedAfter = RenewalNumber(m_lastRenewal);
    if (record.stage == RunStage::Starting) {
        record.stage = RunStage::Running;
        record.unansweredAfter.reset();
        record.stopReason = ErrorKind::None;
        record.stopDue = stopTimeOf(record);
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
    step.emit(StopRun{m_upstream->announced.endpoint, m_upstream->announced.incarnation, run, m_token});
}

void GuardMachine::Private::handle(GuardStep &step, const RunStopAnswered &input)
{
    auto *record = m_runTable.find(input.run);
    if (record == nullptr || record->stage != RunStage::Stopping) {
        return;
    }
    if (!input.confirmed) {
        record->stopDue = std::max(step.now(), record->stopSentAt + StopRetry);
    } else {
        step.log(Severity::Info, "The stop of a run was confirmed.", fieldsOf(input.run, *record));
        record->confirmedAfter = RenewalNumber(m_lastRenewal);
        record->stopDue.reset();
        m_upstream->immediateRenewalWanted = true; // its answer shows whether the run ever started
    }
}

void GuardMachine::Private::handle(GuardStep &step, const EvacuationsRead &input)
{
    for (auto &line : m_evacuation.update(step.now(), input)) {
        step.emit(std::move(line));
    }
}

void GuardMachine::Private::handle(GuardStep &step, const DrainRequested & /*input*/)
{
    if (!m_drainUntil) {
        m_drainUntil = step.now() + m_settings.drainTimeout;
    }
}

void GuardMachine::Private::processDue(GuardStep &step)
{
    m_evacuation.advance(step.now());
    m_cancelled.forgetOld(step.now());
    if (m_upstream) {
        const bool leasesEnded
            = m_upstream->unansweredRenewals >= UnansweredRenewalLimit && step.now() >= m_upstream->leaseUntil + LapseBound;
        if (leasesEnded && !m_runTable.runs().empty()) {
            step.log(Severity::Warning,
                     "The leases at the unresponsive upstream have ended; its runs are lost.",
                     {{"upstream", m_upstream->announced.incarnation.name},
                      {"runs", std::to_string(openRuns().size())},
                      {"crash", m_upstream->crash ? std::to_string(m_upstream->crash->number.value()) : ""}});
            if (!m_upstream->announced.leaving && !m_upstream->crash) {
                m_upstream->lapsedRuns = openRuns();
            }
            reportAllLost(step, m_upstream->crash ? &*m_upstream->crash : nullptr);
        }
        replaceUpstream(step);
        detectStall(step);
        stopCutOffRuns(step);
        dropExpired(step);
        startWaiting(step);
        stopDueRuns(step);
        renew(step);
        probe(step);
    }
    answerEarlierRecalls(step);
    reportCapacity(step);
    const bool drained = m_drainUntil && (m_runTable.runs().empty() || step.now() >= *m_drainUntil);
    if (drained && !std::exchange(m_stopped, true)) {
        step.emit(Stopped{static_cast<std::uint32_t>(m_runTable.runs().size())});
    }
    setTimer(step);
}

void GuardMachine::Private::dropExpired(GuardStep &step)
{
    const bool refuseAll = !isAccepting();
    while (const auto expiry = m_runTable.nextExpiry()) {
        const auto &[startBy, run] = *expiry;
        if (!refuseAll && startBy > step.now()) {
            return;
        }
        report(step, run, RunOutcome::NotStarted, refuseAll ? ErrorKind::Draining : ErrorKind::DeadlineUnreachable);
    }
}

void GuardMachine::Private::startWaiting(GuardStep &step)
{
    if (!isAccepting() || m_upstream->replacement) {
        return; // another boot of the same name would execute an order to the known one
    }
    if (leaseEnd(step.now()) <= step.now()) {
        return; // a run whose batch has ended is being stopped; the lease of another would prolong it
    }
    std::vector<RunId> startable;
    auto free = usableCapacity() - m_runTable.reserved();
    std::size_t tried = 0;
    for (const auto &[rank, size] : m_runTable.waiting()) {
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
    m_runTable.reserve(run);
    auto &record = *m_runTable.find(run);
    record.startSentAt = step.now();
    record.token = m_token;
    const auto &batch = *m_batches.find(record.connection);
    m_crashes.runStarted(step.now(), batch.queue);
    auto &upstream = *m_upstream;
    const auto leaseUntil = leaseEnd(step.now());
    upstream.leaseUntil = std::max(upstream.leaseUntil, leaseUntil);
    step.emit(
        StartRun{upstream.announced.endpoint, upstream.announced.incarnation, run, batch.payload, toUpstreamTime(leaseUntil), m_token});
}

void GuardMachine::Private::stopDueRuns(GuardStep &step)
{
    for (auto &[run, record] : m_runTable.runs()) {
        if (!record.stopDue || *record.stopDue > step.now()) {
            continue;
        }
        if (record.stage == RunStage::Running) {
            record.stopReason = stopReasonOf(record, step.now());
            auto fields = fieldsOf(run, record);
            fields.push_back({"reason", std::string(errorRow(record.stopReason).code)});
            fields.push_back({"limit_s", std::to_string(toSeconds(record.runLimit))});
            step.log(Severity::Warning,
                     "A run exceeded its limit, the lease of its batch or the time of its job, and is stopped.",
                     std::move(fields));
        }
        stop(step, run, record);
    }
}

void GuardMachine::Private::stopCutOffRuns(GuardStep &step)
{
    if (m_settings.drainWithin == Duration::zero() || !m_upstream->announced.leaving) {
        return;
    }
    std::size_t stopped = 0;
    for (auto &[run, record] : m_runTable.runs()) {
        if (m_upstream->departure.cutsOff(step.now(), record)) {
            record.stopReason = ErrorKind::Draining;
            stop(step, run, record);
            ++stopped;
        }
    }
    if (stopped > 0) {
        step.log(Severity::Info,
                 "Runs that would outlast the leaving upstream are stopped.",
                 {{"upstream", m_upstream->announced.incarnation.name},
                  {"stopped", std::to_string(stopped)},
                  {"runs", std::to_string(m_runTable.runs().size())}});
    }
}

void GuardMachine::Private::detectStall(GuardStep &step)
{
    std::size_t all = 0;
    std::size_t overdue = 0;
    for (const auto &[run, record] : m_runTable.runs()) {
        if (record.stage == RunStage::Running && record.expected > Duration::zero()) {
            ++all;
            const auto expected = std::max(record.expected, record.projected);
            overdue += record.startedAt + expected * OverdueFactor + OverdueSlack < step.now() ? 1 : 0;
        }
    }
    const auto before = m_upstream->stall.phase();
    const bool begins = m_upstream->stall.update(step.now(), overdue, all);
    if (const auto phase = m_upstream->stall.phase(); phase != before) {
        step.log(
            Severity::Warning,
            begins ? "Runs stand still at the upstream; they are stopped, and it gets no new work." : "The upstream is tried again.",
            {{"upstream", m_upstream->announced.incarnation.name}, {"overdue", std::to_string(overdue)}, {"runs", std::to_string(all)}});
    }
    if (!begins) {
        return;
    }
    for (auto &[run, record] : m_runTable.runs()) {
        if (record.stage == RunStage::Running) {
            record.stopReason = ErrorKind::UpstreamLost;
            stop(step, run, record);
        }
    }
}

bool GuardMachine::Private::isAccepting() const
{
    return m_upstream && !m_drainUntil && m_evacuation.isOpen() && m_upstream->reconciled && !m_upstream->announced.leaving
        && m_upstream->unansweredRenewals < UnansweredRenewalLimit && m_upstream->stall.phase() != StallDetector::Phase::Stalled;
}

TaskSize GuardMachine::Private::usableCapacity() const
{
    auto capacity = m_upstream->announced.capacity;
    if (m_upstream->stall.phase() == StallDetector::Phase::Trial) {
        capacity.cores = MilliCores(capacity.cores.value() / TrialDivisor);
    }
    capacity.cores = MilliCores(capacity.cores.value() * m_evacuation.steps() / EvacuationGate::AllSteps);
    return capacity;
}

TaskSize GuardMachine::Private::freeCapacity() const
{
    return usableCapacity() - m_runTable.reserved() - m_runTable.requested();
}

CapacityReport GuardMachine::Private::capacityReport() const
{
    CapacityReport report;
    report.incarnation = m_settings.incarnation;
    report.accepting = isAccepting();
    if (m_upstream) {
        report.service = m_upstream->announced.service;
        report.capacity = m_upstream->announced.capacity;
        report.free = freeCapacity();
        report.waiting = static_cast<std::uint32_t>(m_runTable.waiting().size());
        report.labels = m_upstream->announced.labels;
        report.runTimeRatio = m_upstream->speed.ratio();
        report.ratioError = m_upstream->speed.error();
    }
    return report;
}

void GuardMachine::Private::reportCapacity(GuardStep &step)
{
    if (auto current = capacityReport(); current != m_lastReported) {
        m_lastReported = current;
        step.emit(CapacityChanged{std::move(current)});
    }
}

void GuardMachine::Private::setTimer(GuardStep &step)
{
    auto wake = MonotonicTime::max();
    if (const auto expiry = m_runTable.nextExpiry()) {
        wake = expiry->first;
    }
    for (const auto &[run, record] : m_runTable.runs()) {
        if (record.stopDue) {
            wake = std::min(wake, *record.stopDue);
        }
    }
    if (m_upstream && m_upstream->longPolls.size() < m_settings.parallelLongPolls) {
        wake = std::min(wake, m_upstream->lastReceivedAt + RenewalPause * m_upstream->unansweredRenewals);
    }
    if (m_upstream) {
        wake = std::min(wake, m_upstream->stall.nextUpdate());
    }
    if (m_upstream && m_upstream->probeDue && !m_upstream->isProbing) {
        wake = std::min(wake, *m_upstream->probeDue);
    }
    wake = std::min(wake, m_evacuation.nextUpdate());
    if (m_drainUntil && !m_stopped) {
        wake = std::min(wake, *m_drainUntil);
    }
    if (wake != MonotonicTime::max()) {
        step.emit(SetTimer{wake});
    }
}

} // namespace Sycamoremoor
