// What a guard knows of its upstream: boots, crashes, renewals of the lease, and the runs that it lists.
#include "../duration_func.h"
#include "../scheduler/lease_times_func.h"
#include "guard_private.h"

#include <algorithm>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr FencingToken LapseIncrement{1};                  ///< in milliseconds: below the first token of the next incarnation of the guard
constexpr Duration ClockTolerance = std::chrono::hours(1); ///< by which the wall clocks of two machines differ at most
constexpr Duration AnswerInterval = std::chrono::milliseconds(400); ///< an upstream that is well answers a renewal at least so often
constexpr Duration ProbeInterval = std::chrono::milliseconds(5);    ///< between probes: a process that restarts at once may listen again
constexpr std::uint32_t RefusalsOfCrash = 2;                        ///< consecutive probes that nothing listens to, in a crash
constexpr Duration CrashRetention = std::chrono::seconds(15);       ///< longer than a job is open, with a submission to another scheduler
constexpr std::uint32_t MaxPercent = 100;
constexpr std::uint32_t LeastPercent = 10; ///< of its work: lists state whole percents, so the projection is off by a tenth at most
constexpr int LongRunFactor = 2;           ///< of the expected run time; declared and estimated times are off by less
constexpr double ProjectionChange = 1.25;  ///< by which a projection has to grow to be told again
constexpr double ProjectionLimit = 2;      ///< run limit per projected run time: an upstream that slows down is not hung
/**
 * For which the lease of the upstream outlasts that of a batch, so that the guard can stop its runs and renew the lease of the others.
 * A run then ends within StopTime all the same: 2% of a lease of one second for the upstream's clock and 50 ms for a stop are left.
 */
constexpr Duration LeaseOverhang = StopTime - std::chrono::milliseconds(75);
constexpr Duration LeaseMargin = std::chrono::milliseconds(100); ///< in which three orders without an answer are repeated
constexpr std::size_t MaxRunsInLine = 8;                         ///< limit on the runs that one log line names

Duration millisecondsOf(UpstreamTime time)
{
    return std::chrono::milliseconds(time.value());
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

} // namespace

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
        if (m_upstream && !openRuns().empty()) {
            expectReplacement(step, input);
            return;
        }
        beginIncarnation(step, input);
    } else if (input.sequence <= m_upstream->announced.sequence) {
        return; // it was overtaken by a later announcement
    }
    setAnnounced(step, input);
}

void GuardMachine::Private::setAnnounced(GuardStep &step, const UpstreamAnnounced &announced)
{
    if (announced.leaving && !m_upstream->announced.leaving) {
        step.log(Severity::Info, "The upstream " + announced.incarnation.name + " is leaving; it gets no new work.");
    }
    m_upstream->announced = announced;
    m_upstream->departure.announced(step.now(), announced);
    m_evacuation.announced(step.now(), announced.coldFor);
}

void GuardMachine::Private::expectReplacement(GuardStep &step, const UpstreamAnnounced &announced)
{
    auto &upstream = *m_upstream;
    if (!upstream.replacement || upstream.replacement->incarnation != announced.incarnation) {
        step.log(Severity::Info,
                 "Another boot of the upstream announces itself; it replaces the known one when the runs there have certainly ended.",
                 {{"name", announced.incarnation.name},
                  {"start_ms", std::to_string(announced.incarnation.startTimeMs)},
                  {"known_name", upstream.announced.incarnation.name},
                  {"known_start_ms", std::to_string(upstream.announced.incarnation.startTimeMs)},
                  {"runs", std::to_string(openRuns().size())}});
    } else if (announced.sequence <= upstream.replacement->sequence) {
        return; // it was overtaken by a later announcement
    }
    upstream.replacement = announced;
    upstream.replacementAfter = RenewalNumber(m_lastRenewal);
    checkLife(step);
}

void GuardMachine::Private::checkLife(const GuardStep &step)
{
    m_upstream->immediateRenewalWanted = true;
    scheduleProbe(step);
}

void GuardMachine::Private::replaceUpstream(GuardStep &step)
{
    if (m_upstream->replacement && openRuns().empty()) {
        followReplacement(step);
    }
}

void GuardMachine::Private::followReplacement(GuardStep &step)
{
    const auto replacement = *m_upstream->replacement;
    beginIncarnation(step, replacement);
    setAnnounced(step, replacement);
}

void GuardMachine::Private::followReplacement(GuardStep &step, const UpstreamListed &listed)
{
    std::set<RunId> kept(listed.running.begin(), listed.running.end());
    for (const auto &ended : listed.ended) {
        kept.insert(ended.run);
    }
    upstreamEnded(step, kept);
    followReplacement(step);
    handleEndedRuns(step, listed);
    for (auto &[run, record] : m_runTable.runs()) {
        if (record.stage == RunStage::Stopping) {
            stop(step, run, record);
        } else {
            confirmStart(step, record);
        }
    }
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
        if (m_upstream->hasEnded || m_runTable.runs().empty()) {
            m_token += LapseIncrement; // an order that is still on its way would be executed by the new incarnation
        } else {
            upstreamEnded(step);
        }
    } else {
        step.log(Severity::Info, "The upstream " + announced.incarnation.name + " announced itself.");
    }
    m_crashes.upstreamRestarted(step.now());
    m_upstream = Upstream{};
    m_upstream->renewalsBefore = RenewalNumber(m_lastRenewal);
    m_upstream->announced = announced;
    m_upstream->announced.leaving = false;
    m_upstream->stall.restart(step.now());
    m_upstream->lastReceivedAt = step.now();
    m_upstream->clockOffset = millisecondsOf(announced.clock) - step.now().time_since_epoch();
}

void GuardMachine::Private::handle(GuardStep &step, const UpstreamLeft &input)
{
    if (!m_upstream || m_upstream->announced.incarnation.name != input.name) {
        return;
    }
    const auto runs = openRuns().size();
    step.log(Severity::Info,
             "The upstream says that it shuts down.",
             {{"name", input.name}, {"runs", std::to_string(runs)}, {"sequence", std::to_string(m_upstream->announced.sequence)}});
    if (runs == 0) {
        reportAllLost(step);
        m_upstream.reset();
        return;
    }
    // It may be still running them, or the message may be of an earlier boot of the same name.
    m_upstream->announced.leaving = true;
    checkLife(step);
}

void GuardMachine::Private::reportAllLost(GuardStep &step, const CrashNotice *crash, const std::set<RunId> &kept)
{
    m_token += LapseIncrement; // an order that is still on its way would be executed under the next lease
    std::vector<RunId> lost;
    for (const auto &[run, record] : m_runTable.runs()) {
        if (!kept.contains(run)) {
            lost.push_back(run);
        }
    }
    for (const auto &run : lost) {
        const bool waiting = m_runTable.find(run)->stage == RunStage::Waiting;
        report(step,
               run,
               waiting ? RunOutcome::NotStarted : RunOutcome::Lapsed,
               waiting ? ErrorKind::UpstreamLost : ErrorKind::None,
               waiting ? nullptr : crash);
    }
}

std::vector<OpenRun> GuardMachine::Private::openRuns(const std::set<RunId> &except) const
{
    std::vector<OpenRun> open;
    for (const auto &[run, record] : m_runTable.runs()) {
        if (record.stage != RunStage::Waiting && !except.contains(run)) {
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
             "The upstream seems to have crashed under its runs.",
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

void GuardMachine::Private::suspectCrash(GuardStep &step, const std::set<RunId> &except)
{
    auto &upstream = *m_upstream;
    upstream.isSuspectedCrashed = true;
    upstream.probeDue.reset();
    const auto runs = openRuns(except);
    const bool endsAsPlanned = upstream.announced.leaving; // it ends after a while, with or without an acknowledged goodbye
    if (!runs.empty() && !endsAsPlanned) {
        upstream.crash = recordCrash(step, runs);
    }
    upstream.unansweredRenewals = std::max(upstream.unansweredRenewals, UnansweredRenewalLimit);
    // The time until its end is proved, or refuted, says nothing about what usually runs there.
    for (const auto &[run, record] : m_runTable.runs()) {
        if (record.stage != RunStage::Waiting) {
            m_crashes.runEnded(step.now(), m_batches.find(record.connection)->queue);
        }
    }
}

void GuardMachine::Private::refuteCrash(GuardStep &step)
{
    auto &upstream = *m_upstream;
    if (std::exchange(upstream.isSuspectedCrashed, false)) {
        m_crashes.upstreamRestarted(step.now());
    }
    upstream.hasEnded = false;
    if (const auto crash = std::exchange(upstream.crash, std::nullopt)) {
        step.log(Severity::Info,
                 "The upstream has not crashed: it answers.",
                 {{"upstream", upstream.announced.incarnation.name},
                  {"crash", std::to_string(crash->number.value())},
                  {"runs", std::to_string(openRuns().size())}});
        step.emit(UpstreamCrashed{{crash->guard, crash->number, {}, {}, true}, step.now() + CrashRetention});
    }
}

void GuardMachine::Private::upstreamEnded(GuardStep &step, const std::set<RunId> &kept)
{
    auto &upstream = *m_upstream;
    if (!upstream.isSuspectedCrashed) {
        suspectCrash(step, kept);
    }
    upstream.hasEnded = true;
    reportAllLost(step, upstream.crash ? &*upstream.crash : nullptr, kept);
}

void GuardMachine::Private::handle(GuardStep &step, const ListenerProbed &input)
{
    if (!m_upstream || !std::exchange(m_upstream->isProbing, false)) {
        return;
    }
    auto &upstream = *m_upstream;
    upstream.refusedProbes = input.refused ? upstream.refusedProbes + 1 : 0;
    if (!input.refused || upstream.isSuspectedCrashed) {
        return;
    }
    if (!upstream.wasDisconnected) {
        // The kernel closes the connections of a process that ends. Something on the path refuses new ones while it may run on.
        if (upstream.refusedProbes == 1) {
            step.log(Severity::Warning,
                     "The upstream refuses connections while open ones are silent; its runs count as ended when their leases have.",
                     {{"upstream", upstream.announced.incarnation.name}, {"runs", std::to_string(openRuns().size())}});
        }
    } else if (upstream.refusedProbes >= RefusalsOfCrash) {
        // Something on the path may do the same, so the runs have not certainly ended.
        suspectCrash(step);
    } else {
        upstream.probeDue = step.now() + ProbeInterval;
    }
}

void GuardMachine::Private::scheduleProbe(const GuardStep &step)
{
    if (!m_upstream->isSuspectedCrashed && !m_upstream->probeDue) {
        m_upstream->probeDue = step.now();
    }
}

void GuardMachine::Private::probe(GuardStep &step)
{
    auto &upstream = *m_upstream;
    if (!upstream.probeDue || *upstream.probeDue > step.now() || upstream.isProbing || upstream.isSuspectedCrashed) {
        return;
    }
    upstream.probeDue.reset();
    upstream.isProbing = true;
    step.emit(ProbeListener{upstream.announced.endpoint});
}

void GuardMachine::Private::handle(GuardStep &step, const UpstreamListed &input)
{
    if (!m_upstream) {
        return;
    }
    auto &upstream = *m_upstream;
    renewalEnded(input.renewal);
    if (input.incarnation.startTimeMs != upstream.announced.incarnation.startTimeMs) {
        if (upstream.replacement && input.incarnation.startTimeMs != 0
            && upstream.replacement->incarnation.startTimeMs == input.incarnation.startTimeMs) {
            followReplacement(step, input);
            return;
        }
        // No new runs are accepted until the new incarnation announces itself.
        if (upstream.unansweredRenewals == 0) {
            upstream.silentSince = step.now();
        }
        upstream.unansweredRenewals = std::max(upstream.unansweredRenewals, UnansweredRenewalLimit);
        return;
    }
    if (upstream.unansweredRenewals >= UnansweredRenewalLimit) {
        step.log(Severity::Info, "The upstream answers again.");
    }
    if (upstream.replacement && input.renewal > upstream.replacementAfter) {
        step.log(Severity::Warning,
                 "The announcement of another boot is passed over: the known one answers.",
                 {{"name", upstream.replacement->incarnation.name},
                  {"start_ms", std::to_string(upstream.replacement->incarnation.startTimeMs)},
                  {"known_name", upstream.announced.incarnation.name},
                  {"known_start_ms", std::to_string(upstream.announced.incarnation.startTimeMs)}});
        upstream.replacement.reset();
    }
    upstream.unansweredRenewals = 0;
    upstream.wasDisconnected = false;
    upstream.refusedProbes = 0;
    upstream.probeDue.reset();
    refuteCrash(step);
    upstream.lapsedRuns.clear();
    m_tokenStep = TokenIncrement;
    upstream.hasAnswered = true;
    upstream.lastReceivedAt = step.now();
    upstream.clockOffset = millisecondsOf(input.clock) - step.now().time_since_epoch();
    handleEndedRuns(step, input);
    handleStartedRuns(step, input);
    handleProgress(step, input);
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

void GuardMachine::Private::handleProgress(GuardStep &step, const UpstreamListed &listed)
{
    for (const auto &[run, percent] : listed.progress) {
        auto *record = m_runTable.find(run);
        if (record == nullptr || record->stage != RunStage::Running || percent <= record->percent) {
            continue; // a run that stands still keeps its limit
        }
        record->percent = percent;
        const auto projected = (step.now() - record->startedAt) * MaxPercent / percent;
        const bool isLong = record->expected > Duration::zero() && projected > record->expected * LongRunFactor
            && projected > scaled(record->projected, ProjectionChange);
        if (percent < LeastPercent || !isLong) {
            continue;
        }
        record->projected = projected;
        record->runLimit = std::max(record->runLimit, scaled(projected, ProjectionLimit));
        record->stopDue = stopTimeOf(*record);
        auto fields = fieldsOf(run, *record);
        fields.push_back({"percent", std::to_string(percent)});
        fields.push_back({"expected_ms", inMilliseconds(record->expected)});
        fields.push_back({"projected_ms", inMilliseconds(projected)});
        step.log(Severity::Info, "A run makes progress but takes longer than expected; its limit is raised.", std::move(fields));
        step.emit(Count{CounterMetric::RunsLengthened, 1});
        if (const auto receiver = m_batches.find(record->connection)->receiver) {
            step.emit(ProjectRun{*receiver, {record->order, projected}});
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
    if (!m_upstream || input.renewal <= m_upstream->renewalsBefore) {
        return;
    }
    renewalEnded(input.renewal);
    if (m_upstream->unansweredRenewals == 0) {
        m_upstream->silentSince = step.now();
        m_upstream->immediateRenewalWanted = m_upstream->immediateRenewalWanted || input.failure == RenewalFailure::Fenced;
    }
    if (input.failure == RenewalFailure::Fenced && input.renewal > m_renewalsBeforeRaise) {
        raiseToken(step);
    }
    if (++m_upstream->unansweredRenewals == UnansweredRenewalLimit) {
        step.log(Severity::Warning, "The upstream does not answer; it gets no new work.");
    }
    if (input.failure == RenewalFailure::OtherIncarnation && !m_upstream->hasEnded) {
        upstreamEnded(step);
        return;
    }
    m_upstream->wasDisconnected = m_upstream->wasDisconnected || input.failure == RenewalFailure::Disconnected;
    if (input.failure != RenewalFailure::Fenced) {
        scheduleProbe(step);
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
    // A batch was renewed shortly before its end: the next long poll may come too late for the lease that it bounded.
    const bool endsSoon = upstream.unansweredRenewals == 0 && upstream.leaseUntil < step.now() + m_settings.renewWait + LeaseMargin;
    if (!m_runTable.runs().empty() && endsSoon && leaseEnd(step.now()) > upstream.leaseUntil + LeaseMargin) {
        upstream.immediateRenewalWanted = true;
    }
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
    const auto until = leaseEnd(step.now());
    if (!m_runTable.runs().empty() && upstream.unansweredRenewals < UnansweredRenewalLimit && until > step.now()) {
        upstream.leaseUntil = std::max(upstream.leaseUntil, until);
        renewal.leaseUntil = toUpstreamTime(until);
    }
    renewal.wait = wait;
    const auto number = renewal.number;
    step.emit(std::move(renewal));
    return number;
}

MonotonicTime GuardMachine::Private::leaseEnd(MonotonicTime now) const
{
    // The upstream has one lease for all runs, so the run whose batch ends first bounds it. Runs that wait may start before the next renewal.
    auto leaseUntil = now + m_settings.leaseTerm - LeaseOverhang;
    for (const auto &[run, record] : m_runTable.runs()) {
        const bool isEnding = record.stage == RunStage::Stopping && record.confirmedAfter;
        if (!isEnding) {
            leaseUntil = std::min(leaseUntil, record.leaseUntil);
        }
    }
    return leaseUntil + LeaseOverhang;
}

UpstreamTime GuardMachine::Private::toUpstreamTime(MonotonicTime time) const
{
    const auto upstreamTime = time.time_since_epoch() + m_upstream->clockOffset;
    return UpstreamTime(std::chrono::duration_cast<std::chrono::milliseconds>(upstreamTime).count());
}

} // namespace Sycamoremoor
