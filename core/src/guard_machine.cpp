// State machine of a guard: manages the capacity of the upstream on its machine and reports the end of every run there.
#include <sycamoremoor/core/guard_machine.h>

#include "guard/guard_private.h"

#include <algorithm>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr Duration StopRetry = std::chrono::milliseconds(30);   ///< from a stop that failed to the next: a refused connection fails at once
constexpr Duration StopRepeat = std::chrono::milliseconds(150); ///< from an unanswered stop to the next: three times the upstream's limit
constexpr Duration ImmediateRenewalTimeout = std::chrono::milliseconds(60); ///< an immediate renewal is answered at once or after one retry
constexpr Duration RenewalPause = std::chrono::milliseconds(50); ///< per unanswered renewal; also its wait while unknown runs are stopped
constexpr Duration LapseBound
    = std::chrono::milliseconds(150);               ///< after a lease: 2% of it for the upstream's clock, and its limit for a stop
constexpr std::uint32_t UnansweredRenewalLimit = 3; ///< bad networks lose one answer in twenty; three lost in a row are rare
constexpr FencingToken TokenIncrement{60'000};      ///< in milliseconds: exceeds any step of the clock from which the first token was taken
constexpr FencingToken LapseIncrement{1};           ///< in milliseconds: below the first token of the next incarnation of the guard
constexpr Duration ClockTolerance = std::chrono::hours(1);          ///< by which the wall clocks of two machines differ at most
constexpr Duration AnswerInterval = std::chrono::milliseconds(400); ///< an upstream that is well answers a renewal at least so often
constexpr Duration ProbeInterval = std::chrono::milliseconds(5);    ///< between probes: a process that restarts at once may listen again
constexpr std::uint32_t RefusalsOfCrash = 2;                        ///< consecutive probes that nothing listens to, in a crash
constexpr Duration CrashRetention = std::chrono::seconds(15);       ///< longer than a job is open, with a submission to another scheduler
constexpr std::size_t MaxRunsInLine = 8;                            ///< limit on the runs that one log line names
constexpr int OverdueFactor = 2; ///< of the expected run time: declared and estimated times are off by less
constexpr Duration OverdueSlack = std::chrono::milliseconds(100); ///< added to the scaled run time
constexpr std::int64_t TrialDivisor = 2;                          ///< of the capacity, for an upstream that may still stall
constexpr std::size_t BackfillLimit = 32;                         ///< limit on the waiting runs that are tried for capacity per input

Duration millisecondsOf(UpstreamTime time)
{
    return std::chrono::milliseconds(time.value());
}

MonotonicTime toMonotonicTime(GuardTime time)
{
    return MonotonicTime(Duration(time.value()));
}

MonotonicTime stopTimeOf(const GuardedRun &record)
{
    return std::min({record.startedAt + record.runLimit, record.leaseUntil, record.expiresAt});
}

/** Returns why a run that is due to be stopped at @p now is stopped. */
ErrorKind stopReasonOf(const GuardedRun &record, MonotonicTime now)
{
    if (record.leaseUntil <= now) {
        return ErrorKind::OwnerUnavailable;
    }
    return record.expiresAt <= now ? ErrorKind::DeadlineUnreachable : ErrorKind::RunLimitReached;
}

/** Returns the tasks of the runs and their ages, the youngest first, for logs. */
std::string describeRuns(std::vector<OpenRun> runs, MonotonicTime now)
{
    std::ranges::sort(runs, std::ranges::greater(), &OpenRun::startedAt);
    runs.resize(std::min(runs.size(), MaxRunsInLine));
    std::string text;
    for (const auto &run : runs) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - run.startedAt);
        text.append(text.empty() ? "" : " ").append(queueTaskIdToString(run.task)).append(":").append(std::to_string(age.count()));
    }
    return text;
}

std::vector<LogField> fieldsOf(const RunId &run, const GuardedRun &record)
{
    return {{"task", queueTaskIdToString(run.task)},
            {"run", std::to_string(run.number)},
            {"connection", std::to_string(record.connection.value())},
            {"stage", std::string(runStageName(record.stage))}};
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
{
}

void GuardMachine::Private::handle(GuardStep & /*step*/, const Tick & /*input*/) { }

void GuardMachine::Private::handle(GuardStep &step, const UpstreamAnnounced &input)
{
    if (isOfEarlierBoot(input.incarnation)) {
        step.log(Severity::Info,
                 "An announcement of an earlier boot of the upstream is passed over.",
                 {{"name", input.incarnation.name},
                  {"start_ms", std::to_string(input.incarnation.startTimeMs)},
                  {"known_start_ms", std::to_string(m_upstream->announced.incarnation.startTimeMs)}});
        return;
    }
    if (isOfAnotherWriter(step, input.incarnation)) {
        step.log(Severity::Warning,
                 "An announcement is passed over: it is of another upstream although the known one answers, or from the future.",
                 {{"name", input.incarnation.name},
                  {"start_ms", std::to_string(input.incarnation.startTimeMs)},
                  {"known_name", m_upstream ? m_upstream->announced.incarnation.name : ""}});
        return;
    }
    if (!m_upstream || m_upstream->announced.incarnation != input.incarnation) {
        beginIncarnation(step, input);
    } else if (input.sequence <= m_upstream->announced.sequence) {
        return; // it was overtaken by a later announcement
    }
    if (input.leaving && !m_upstream->announced.leaving) {
        step.log(Severity::Info, "The upstream " + input.incarnation.name + " is leaving; it gets no new work.");
    }
    m_upstream->announced = input;
}

bool GuardMachine::Private::isOfEarlierBoot(const UpstreamIncarnation &incarnation) const
{
    if (!m_upstream || incarnation.startTimeMs == 0 || incarnation.startTimeMs >= m_upstream->announced.incarnation.startTimeMs) {
        return false;
    }
    // The clock may have been set back before a restart. Once the known boot is silent and has no runs, nothing can be lost.
    return m_upstream->unansweredRenewals < UnansweredRenewalLimit || !m_runTable.runs().empty();
}

bool GuardMachine::Private::isOfAnotherWriter(const GuardStep &step, const UpstreamIncarnation &incarnation) const
{
    if (std::chrono::milliseconds(incarnation.startTimeMs) > step.context.wall.time_since_epoch() + ClockTolerance) {
        return true;
    }
    const bool isAnswering = m_upstream && m_upstream->hasAnswered && m_upstream->unansweredRenewals == 0 && !m_upstream->announced.leaving
        && step.now() < m_upstream->lastReceivedAt + AnswerInterval;
    return isAnswering && m_upstream->announced.incarnation.name != incarnation.name;
}

void GuardMachine::Private::beginIncarnation(GuardStep &step, const UpstreamAnnounced &announced)
{
    if (m_upstream) {
        step.log(Severity::Warning,
                 "The upstream restarted as " + announced.incarnation.name + "; the runs of its previous incarnation are lost.");
        if (!m_upstream->lapsedRuns.empty()) {
            recordCrash(step, m_upstream->lapsedRuns);
        }
        if (m_runTable.runs().empty()) {
            m_token += LapseIncrement; // an order that is still on its way would be executed by the new incarnation
        } else {
            upstreamCrashed(step);
        }
    } else {
        step.log(Severity::Info, "The upstream " + announced.incarnation.name + " announced itself.");
    }
    m_crashes.upstreamRestarted(step.now());
    m_upstream = Upstream{};
    m_upstream->announced = announced;
    m_upstream->announced.leaving = false;
    m_upstream->stall.restart(step.now());
    m_upstream->lastReceivedAt = step.now();
    m_upstream->clockOffset = millisecondsOf(announced.clock) - step.now().time_since_epoch();
}

void GuardMachine::Private::handle(GuardStep &step, const UpstreamLeft &input)
{
    if (m_upstream && m_upstream->announced.incarnation.name == input.name) {
        step.log(Severity::Info, "The upstream " + input.name + " shut down.");
        reportAllLost(step);
        m_upstream.reset();
    }
}

void GuardMachine::Private::reportAllLost(GuardStep &step, const CrashNotice *crash)
{
    m_token += LapseIncrement; // an order that is still on its way would be executed under the next lease
    while (!m_runTable.runs().empty()) {
        const auto &[run, record] = *m_runTable.runs().begin();
        const bool waiting = record.stage == RunStage::Waiting;
        report(step,
               RunId(run),
               waiting ? RunOutcome::NotStarted : RunOutcome::Lapsed,
               waiting ? ErrorKind::UpstreamLost : ErrorKind::None,
               waiting ? nullptr : crash);
    }
}

std::vector<OpenRun> GuardMachine::Private::openRuns() const
{
    std::vector<OpenRun> open;
    for (const auto &[run, record] : m_runTable.runs()) {
        if (record.stage != RunStage::Waiting) {
            open.push_back({run.task, record.startSentAt});
        }
    }
    return open;
}

CrashNotice GuardMachine::Private::recordCrash(GuardStep &step, const std::vector<OpenRun> &runs)
{
    // What it was doing later says nothing about the cause.
    const auto at = m_upstream->unansweredRenewals > 0 ? m_upstream->silentSince : step.now();
    auto notice = m_crashes.recordCrash(at, runs);
    std::string evidence;
    for (const auto &[queue, ratio, hadRuns] : notice.queues) {
        evidence.append(evidence.empty() ? "" : " ").append(queue.value()).append(":").append(std::to_string(ratio.value()));
    }
    step.log(Severity::Warning,
             "The upstream crashed under its runs.",
             {{"upstream", m_upstream->announced.incarnation.name},
              {"crash", std::to_string(notice.number.value())},
              {"runs", std::to_string(runs.size())},
              {"suspects", std::to_string(std::ranges::count(notice.runs, true, &CrashedRun::isSuspect))},
              {"noticed_after_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(step.now() - at).count())},
              {"youngest_ms", describeRuns(runs, at)},
              {"queues", evidence}});
    step.emit(UpstreamCrashed{notice, step.now() + CrashRetention});
    return notice;
}

void GuardMachine::Private::upstreamCrashed(GuardStep &step)
{
    auto &upstream = *m_upstream;
    upstream.crashed = true;
    upstream.probeDue.reset();
    upstream.unansweredRenewals = std::max(upstream.unansweredRenewals, UnansweredRenewalLimit);
    const auto runs = openRuns();
    const bool endedAsPlanned = upstream.announced.leaving; // it ends after a while, with or without an acknowledged goodbye
    if (runs.empty() || endedAsPlanned) {
        reportAllLost(step);
        return;
    }
    const auto notice = recordCrash(step, runs);
    reportAllLost(step, &notice);
}

void GuardMachine::Private::handle(GuardStep &step, const ListenerProbed &input)
{
    if (!m_upstream || !std::exchange(m_upstream->isProbing, false)) {
        return;
    }
    auto &upstream = *m_upstream;
    upstream.refusedProbes = input.refused ? upstream.refusedProbes + 1 : 0;
    if (upstream.refusedProbes >= RefusalsOfCrash && !upstream.crashed) {
        upstreamCrashed(step);
    } else if (input.refused && !upstream.crashed) {
        upstream.probeDue = step.now() + ProbeInterval;
    }
}

void GuardMachine::Private::probe(GuardStep &step)
{
    auto &upstream = *m_upstream;
    if (!upstream.probeDue || *upstream.probeDue > step.now() || upstream.isProbing || upstream.crashed) {
        return;
    }
    upstream.probeDue.reset();
    upstream.isProbing = true;
    step.emit(ProbeListener{upstream.announced.endpoint});
}

void GuardMachine::Private::handle(GuardStep &step, const BatchReceived &input)
{
    const auto &batch = input.batch;
    m_batches.add(input.connection, batch);
    const auto expiresAt = toMonotonicTime(batch.expiresAt);
    const auto batchError = refusalOf(step.now(), batch);
    if (batchError != ErrorKind::None) {
        step.log(Severity::Info,
                 "A batch is refused.",
                 {{"scheduler", batch.scheduler.value()},
                  {"batch", std::to_string(batch.batch.value())},
                  {"error", std::string(errorRow(batchError).code)},
                  {"late_ms",
                   std::to_string(
                       std::chrono::duration_cast<std::chrono::milliseconds>(step.now() - toMonotonicTime(batch.receiveBy)).count())}});
    }
    for (std::uint32_t index = 0; index < batch.orders.size(); ++index) {
        const auto &order = batch.orders[index];
        if (const auto error = batchError != ErrorKind::None ? batchError : refusalOf(order); error != ErrorKind::None) {
            refuse(step, input.connection, index, error);
            continue;
        }
        GuardedRun record;
        record.connection = input.connection;
        record.order = index;
        record.size = order.size;
        record.isOrdinary = order.urgency.isOrdinary;
        record.latestStart = step.now() + order.urgency.slack;
        record.startBy = std::min(step.now() + order.startWithin, expiresAt);
        record.expected = order.expected;
        record.runLimit = order.runLimit;
        record.leaseUntil = toMonotonicTime(batch.leaseUntil);
        record.expiresAt = expiresAt;
        m_runTable.add(order.run, record);
    }
}

ErrorKind GuardMachine::Private::refusalOf(MonotonicTime now, const StartBatch &batch) const
{
    if (m_batches.isRefused({batch.scheduler, batch.schedulerIncarnation, batch.batch})) {
        return ErrorKind::Tombstoned;
    }
    if (batch.guard != m_settings.incarnation) {
        return ErrorKind::WrongIncarnation;
    }
    return now > toMonotonicTime(batch.receiveBy) ? ErrorKind::StaleMessage : ErrorKind::None;
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
    // An earlier run of the task may still be stopping here, and two runs of a task must never run at the same time.
    return m_runTable.hasTask(order.run.task) ? ErrorKind::NoCapacity : ErrorKind::None;
}

void GuardMachine::Private::handle(GuardStep &step, const BatchAbandoned &input)
{
    m_earlierRecalls.erase(input.connection);
    if (const auto batch = m_batches.batchOf(input.connection)) {
        m_batches.setReceiver(*m_batches.find(*batch), *batch, std::nullopt);
        abandon(step, *batch);
    }
}

void GuardMachine::Private::abandon(GuardStep &step, ConnectionId batch)
{
    std::vector<RunId> waiting;
    for (auto &[run, record] : m_runTable.runs()) {
        if (record.connection != batch) {
            continue;
        }
        if (record.stage == RunStage::Waiting) {
            waiting.push_back(run);
        } else if (record.stage != RunStage::Stopping) {
            step.log(Severity::Info, "The batch of a run was abandoned; the run is stopped.", fieldsOf(run, record));
            record.stopReason = ErrorKind::Cancelled;
            stop(step, run, record);
        }
    }
    for (const auto &run : waiting) {
        report(step, run, RunOutcome::NotStarted, ErrorKind::Cancelled);
    }
}

void GuardMachine::Private::handle(GuardStep &step, const BatchesRenewed &input)
{
    const auto &renewal = input.renewal;
    std::set<ConnectionId> renewed;
    for (const auto &number : renewal.batches) {
        if (const auto batch = m_batches.find({renewal.scheduler, renewal.schedulerIncarnation, number})) {
            renewed.insert(*batch);
        }
    }
    for (auto &[run, record] : m_runTable.runs()) {
        if (!renewed.contains(record.connection) || record.leaseUntil <= step.now()) {
            continue; // a lease that has ended stays so, although its stop may be due only now
        }
        record.leaseUntil = std::max(record.leaseUntil, toMonotonicTime(renewal.leaseUntil));
        if (record.stage == RunStage::Running) {
            record.stopDue = stopTimeOf(record);
        }
    }
}

void GuardMachine::Private::handle(GuardStep &step, const RecallReceived &input)
{
    const auto &recall = input.recall;
    const BatchKey key{recall.scheduler, recall.schedulerIncarnation, recall.batch};
    const auto batch = m_batches.find(key);
    step.log(Severity::Info,
             "A batch is recalled.",
             {{"scheduler", recall.scheduler.value()},
              {"batch", std::to_string(recall.batch.value())},
              {"known", batch ? "yes" : "no"},
              {"for_this_incarnation", recall.guard == m_settings.incarnation ? "yes" : "no"}});
    if (recall.guard != m_settings.incarnation) {
        m_earlierRecalls[input.connection] = recall;
        return;
    }
    if (!batch) {
        m_batches.refuse(step.now(), key);
        answerRecall(step, input.connection, recall, RunOutcome::NotStarted, ErrorKind::Tombstoned);
        return;
    }
    auto &recalled = *m_batches.find(*batch);
    if (recalled.receiver) {
        step.emit(EndBatch{*recalled.receiver});
    }
    m_batches.setReceiver(recalled, *batch, input.connection);
    for (const auto &report : recalled.reports) {
        step.emit(ReportRun{input.connection, report});
    }
    if (recalled.unreported == 0) {
        m_batches.setReceiver(recalled, *batch, std::nullopt);
        step.emit(EndBatch{input.connection});
    } else {
        abandon(step, *batch);
    }
}

void GuardMachine::Private::answerRecall(
    GuardStep &step, ConnectionId connection, const BatchRecall &recall, RunOutcome outcome, ErrorKind error)
{
    for (std::uint32_t order = 0; order < recall.orders; ++order) {
        RunReport report;
        report.order = order;
        report.outcome = outcome;
        report.error = error;
        step.emit(ReportRun{connection, report});
    }
    step.emit(EndBatch{connection});
}

void GuardMachine::Private::answerEarlierRecalls(GuardStep &step)
{
    if (!m_upstream || !m_upstream->reconciled) {
        return; // runs of an earlier incarnation may still be running
    }
    for (const auto &[connection, recall] : std::exchange(m_earlierRecalls, {})) {
        answerRecall(step, connection, recall, RunOutcome::Lapsed, ErrorKind::UpstreamLost);
    }
}

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
        m_token += TokenIncrement;
        step.log(Severity::Warning,
                 "The upstream knows a higher fencing token; the token of this guard is raised to " + std::to_string(m_token.value())
                     + ".");
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

void GuardMachine::Private::handle(GuardStep &step, const UpstreamListed &input)
{
    if (!m_upstream) {
        return;
    }
    auto &upstream = *m_upstream;
    renewalEnded(input.renewal);
    if (input.incarnation.startTimeMs != upstream.announced.incarnation.startTimeMs) {
        // No new runs are accepted until the new incarnation announces itself.
        upstream.unansweredRenewals = std::max(upstream.unansweredRenewals, UnansweredRenewalLimit);
        return;
    }
    if (upstream.unansweredRenewals >= UnansweredRenewalLimit) {
        step.log(Severity::Info, "The upstream answers again.");
    }
    upstream.unansweredRenewals = 0;
    upstream.refusedProbes = 0;
    upstream.probeDue.reset();
    upstream.crashed = false;
    upstream.lapsedRuns.clear();
    upstream.hasAnswered = true;
    upstream.lastReceivedAt = step.now();
    upstream.clockOffset = millisecondsOf(input.clock) - step.now().time_since_epoch();
    handleEndedRuns(step, input);
    handleStartedRuns(step, input);
    handleMissingRuns(step, input);
    stopUnknownRuns(step, input);
}

void GuardMachine::Private::handleEndedRuns(GuardStep &step, const UpstreamListed &listed)
{
    auto &upstream = *m_upstream;
    for (const auto &[number, run, outcome] : listed.ended) {
        if (number <= upstream.acknowledged) {
            continue;
        }
        upstream.acknowledged = number;
        upstream.endedRuns.add(step.now(), run);
        if (outcome == RunOutcome::Done || outcome == RunOutcome::Failed) {
            upstream.stall.runEnded(step.now());
        }
        // The upstream answers all waiting renewals when a run ends, so answers that are still missing may be lost.
        upstream.longPolls.clear();
        if (const auto *record = m_runTable.find(run); record != nullptr) {
            report(step, run, outcome, outcome == RunOutcome::Stopped ? record->stopReason : ErrorKind::None);
        }
    }
}

void GuardMachine::Private::handleStartedRuns(GuardStep &step, const UpstreamListed &listed)
{
    for (const auto &run : listed.running) {
        if (auto *record = m_runTable.find(run); record != nullptr && record->stage == RunStage::Starting) {
            confirmStart(step, *record);
        }
    }
    for (auto &[run, record] : m_runTable.runs()) {
        if (record.stage == RunStage::Starting && record.unansweredAfter && *record.unansweredAfter < listed.renewal) {
            step.log(Severity::Info, "A run without an answer to its start is not listed; it is stopped.", fieldsOf(run, record));
            stop(step, run, record); // a confirmed stop also prevents a later start
        }
    }
}

void GuardMachine::Private::handleMissingRuns(GuardStep &step, const UpstreamListed &listed)
{
    const std::set<RunId> running(listed.running.begin(), listed.running.end());
    std::vector<RunId> missing;
    for (const auto &[run, record] : m_runTable.runs()) {
        const bool confirmed = record.confirmedAfter && *record.confirmedAfter < listed.renewal;
        if (confirmed && !running.contains(run)) {
            missing.push_back(run);
        }
    }
    for (const auto &run : missing) {
        const auto &record = *m_runTable.find(run);
        const bool neverRan = !record.started && record.stage == RunStage::Stopping;
        report(step, run, neverRan ? RunOutcome::NotStarted : RunOutcome::Lapsed, neverRan ? record.stopReason : ErrorKind::None);
    }
}

void GuardMachine::Private::stopUnknownRuns(GuardStep &step, const UpstreamListed &listed)
{
    auto &upstream = *m_upstream;
    std::map<RunId, MonotonicTime> unknownRuns;
    for (const auto &run : listed.running) {
        if (m_runTable.find(run) != nullptr || upstream.endedRuns.contains(run)) {
            continue; // a run of this incarnation, or one whose end arrived in a newer list before this one
        }
        const auto known = upstream.unknownRuns.find(run);
        auto due = known == upstream.unknownRuns.end() ? step.now() : known->second;
        if (due <= step.now()) {
            step.log(Severity::Info,
                     "A run of an earlier incarnation of this guard is stopped.",
                     {{"task", queueTaskIdToString(run.task)}, {"run", std::to_string(run.number)}});
            sendStop(step, run);
            due = step.now() + StopRepeat;
        }
        unknownRuns.emplace(run, due);
    }
    upstream.unknownRuns = std::move(unknownRuns);
    upstream.reconciled = upstream.unknownRuns.empty();
}

void GuardMachine::Private::handle(GuardStep &step, const RenewalUnanswered &input)
{
    if (!m_upstream) {
        return;
    }
    renewalEnded(input.renewal);
    if (m_upstream->unansweredRenewals == 0) {
        m_upstream->silentSince = step.now();
    }
    if (++m_upstream->unansweredRenewals == UnansweredRenewalLimit) {
        step.log(Severity::Warning, "The upstream does not answer; it gets no new work.");
    }
    if (!m_upstream->crashed && !m_upstream->probeDue) {
        m_upstream->probeDue = step.now();
    }
}

void GuardMachine::Private::handle(GuardStep &step, const DrainRequested & /*input*/)
{
    if (!m_drainUntil) {
        m_drainUntil = step.now() + m_settings.drainTimeout;
    }
}

void GuardMachine::Private::report(GuardStep &step, const RunId &run, RunOutcome outcome, ErrorKind error, const CrashNotice *crash)
{
    const auto record = *m_runTable.find(run);
    m_runTable.remove(run);
    if (record.stage != RunStage::Waiting) {
        m_crashes.runEnded(step.now(), m_batches.find(record.connection)->queue);
    }
    if (record.stage != RunStage::Waiting && outcome != RunOutcome::Done && outcome != RunOutcome::Failed) {
        auto fields = fieldsOf(run, record);
        fields.push_back({"outcome", std::string(runOutcomeName(outcome))});
        fields.push_back({"error", std::string(errorRow(error).code)});
        step.log(Severity::Info, "A run is reported as cut short or not started.", std::move(fields));
    }
    RunReport report;
    report.order = record.order;
    report.outcome = outcome;
    report.error = error;
    if (crash != nullptr) {
        report.crash = crash->number;
        report.isSuspect
            = std::ranges::any_of(crash->runs, [&](const CrashedRun &other) { return other.task == run.task && other.isSuspect; });
    }
    if (record.started) {
        report.runTime = step.now() - record.startedAt;
        step.emit(Observation{HistogramMetric::TaskRunSeconds, toSeconds(report.runTime)});
    }
    sendReport(step, record.connection, report);
}

void GuardMachine::Private::refuse(GuardStep &step, ConnectionId connection, std::uint32_t order, ErrorKind error)
{
    step.emit(Count{CounterMetric::TasksRefused, 1});
    RunReport report;
    report.order = order;
    report.error = error;
    sendReport(step, connection, report);
}

void GuardMachine::Private::sendReport(GuardStep &step, ConnectionId connection, const RunReport &report)
{
    auto &batch = *m_batches.find(connection);
    batch.reports.push_back(report);
    const auto receiver = batch.receiver;
    if (receiver) {
        step.emit(ReportRun{*receiver, report});
    }
    if (--batch.unreported > 0) {
        return;
    }
    m_batches.end(step.now(), connection);
    if (receiver) {
        step.emit(EndBatch{*receiver});
    }
}

void GuardMachine::Private::processDue(GuardStep &step)
{
    if (m_upstream) {
        const bool leasesEnded
            = m_upstream->unansweredRenewals >= UnansweredRenewalLimit && step.now() >= m_upstream->leaseUntil + LapseBound;
        if (leasesEnded && !m_runTable.runs().empty()) {
            step.log(Severity::Warning, "The leases at the unresponsive upstream have ended; its runs are lost.");
            m_upstream->lapsedRuns = openRuns();
            reportAllLost(step);
        }
        detectStall(step);
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
    if (!isAccepting()) {
        return;
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
    const auto &batch = *m_batches.find(record.connection);
    m_crashes.runStarted(step.now(), batch.queue);
    auto &upstream = *m_upstream;
    upstream.leaseUntil = step.now() + m_settings.leaseTerm;
    step.emit(StartRun{upstream.announced.endpoint, upstream.announced.incarnation, run, batch.payload, leaseEnd(step.now()), m_token});
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

void GuardMachine::Private::detectStall(GuardStep &step)
{
    std::size_t all = 0;
    std::size_t overdue = 0;
    for (const auto &[run, record] : m_runTable.runs()) {
        if (record.stage == RunStage::Running && record.expected > Duration::zero()) {
            ++all;
            overdue += record.startedAt + record.expected * OverdueFactor + OverdueSlack < step.now() ? 1 : 0;
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

void GuardMachine::Private::renewalEnded(RenewalNumber number)
{
    m_upstream->longPolls.erase(number);
    if (m_upstream->immediateRenewal == number) {
        m_upstream->immediateRenewal.reset();
    }
}

void GuardMachine::Private::renew(GuardStep &step)
{
    auto &upstream = *m_upstream;
    if (upstream.immediateRenewalWanted && !upstream.immediateRenewal) {
        upstream.immediateRenewalWanted = false;
        upstream.immediateRenewal = sendRenewal(step, Duration::zero());
    }
    const bool pausing
        = upstream.unansweredRenewals > 0 && step.now() < upstream.lastReceivedAt + RenewalPause * upstream.unansweredRenewals;
    while (!pausing && upstream.longPolls.size() < m_settings.parallelLongPolls) {
        const auto wait = upstream.reconciled ? m_settings.renewWait : RenewalPause;
        upstream.longPolls.insert(sendRenewal(step, wait));
    }
}

RenewalNumber GuardMachine::Private::sendRenewal(GuardStep &step, Duration wait)
{
    auto &upstream = *m_upstream;
    RenewLease renewal;
    renewal.number = RenewalNumber(++m_lastRenewal);
    renewal.upstream = upstream.announced.endpoint;
    renewal.incarnation = upstream.announced.incarnation;
    renewal.token = m_token;
    renewal.acknowledged = upstream.acknowledged;
    // The leases of an unresponsive upstream are not renewed, so that its runs have certainly ended soon.
    if (!m_runTable.runs().empty() && upstream.unansweredRenewals < UnansweredRenewalLimit) {
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
    return m_upstream && !m_drainUntil && m_upstream->reconciled && !m_upstream->announced.leaving
        && m_upstream->unansweredRenewals < UnansweredRenewalLimit && m_upstream->stall.phase() != StallDetector::Phase::Stalled;
}

TaskSize GuardMachine::Private::usableCapacity() const
{
    auto capacity = m_upstream->announced.capacity;
    if (m_upstream->stall.phase() == StallDetector::Phase::Trial) {
        capacity.cores = MilliCores(capacity.cores.value() / TrialDivisor);
    }
    return capacity;
}

TaskSize GuardMachine::Private::freeCapacity() const
{
    return usableCapacity() - m_runTable.reserved() - m_runTable.requested();
}

UpstreamTime GuardMachine::Private::leaseEnd(MonotonicTime now) const
{
    const auto end = now.time_since_epoch() + m_upstream->clockOffset + m_settings.leaseTerm;
    return UpstreamTime(std::chrono::duration_cast<std::chrono::milliseconds>(end).count());
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
    if (m_drainUntil && !m_stopped) {
        wake = std::min(wake, *m_drainUntil);
    }
    if (wake != MonotonicTime::max()) {
        step.emit(SetTimer{wake});
    }
}

} // namespace Sycamoremoor
