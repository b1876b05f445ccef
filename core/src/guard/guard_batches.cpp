// What a guard accepts of schedulers, and what it reports to them.
#include "guard_private.h"

#include <algorithm>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr Duration ToldTime = std::chrono::seconds(5); ///< longer than bounds.cancel_ms, 4 s, and than a stream is opened anew in

MonotonicTime toMonotonicTime(GuardTime time)
{
    return MonotonicTime(Duration(time.value()));
}

} // namespace

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
        record.reference = order.reference;
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
    // A run of a batch whose lease has ended would bound the lease of the upstream to the past.
    const bool isLate = now > toMonotonicTime(batch.receiveBy) || now >= toMonotonicTime(batch.leaseUntil);
    return isLate ? ErrorKind::StaleMessage : ErrorKind::None;
}

ErrorKind GuardMachine::Private::refusalOf(const RunOrder &order) const
{
    if (m_cancelled.contains(order.run.task.job)) {
        return ErrorKind::Cancelled;
    }
    if (m_drainUntil || m_evacuation.isEvacuated() || (m_upstream && m_upstream->announced.leaving)) {
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
        const bool mayHaveRun = m_batches.mayBeForgotten(key);
        m_batches.refuse(step.now(), key);
        answerRecall(step,
                     input.connection,
                     recall,
                     mayHaveRun ? RunOutcome::Lapsed : RunOutcome::NotStarted,
                     mayHaveRun ? ErrorKind::AgentLost : ErrorKind::Tombstoned);
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

void GuardMachine::Private::handle(GuardStep &step, const JobsCancelled &input)
{
    const std::set<QueueJobId> jobs(input.jobs.begin(), input.jobs.end());
    for (const auto &job : jobs) {
        m_cancelled.add(step.now(), job);
    }
    std::set<QueueJobId> stopped;
    std::vector<RunId> waiting;
    for (auto &[run, record] : m_runTable.runs()) {
        if (!jobs.contains(run.task.job)) {
            continue;
        }
        stopped.insert(run.task.job);
        if (record.stage == RunStage::Waiting) {
            waiting.push_back(run);
        } else if (record.stage != RunStage::Stopping) {
            step.log(Severity::Info, "The job of a run was cancelled; the run is stopped.", fieldsOf(run, record));
            record.stopReason = ErrorKind::Cancelled;
            stop(step, run, record);
        }
    }
    for (const auto &run : waiting) {
        report(step, run, RunOutcome::NotStarted, ErrorKind::Cancelled);
    }
    step.emit(CancellationTaken{input.connection, input.jobs, {stopped.begin(), stopped.end()}, step.now() + ToldTime});
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

void GuardMachine::Private::report(GuardStep &step, const RunId &run, RunOutcome outcome, ErrorKind error, const CrashNotice *crash)
{
    const auto record = *m_runTable.find(run);
    m_runTable.remove(run);
    const bool endsWithCrash = m_upstream && m_upstream->isSuspectedCrashed;
    if (record.stage != RunStage::Waiting && !endsWithCrash) {
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
    if (outcome == RunOutcome::Done) {
        measure(step, record);
    }
    sendReport(step, record.connection, report);
}

void GuardMachine::Private::measure(const GuardStep &step, const GuardedRun &record)
{
    // Tasks of one job run for about the same time: more than one of a batch would add weight, but little knowledge.
    auto &batch = *m_batches.find(record.connection);
    if (m_upstream && record.started && record.reference > Duration::zero() && !std::exchange(batch.isMeasured, true)) {
        m_upstream->speed.runEnded(step.now(), step.now() - record.startedAt, record.reference);
    }
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
    if (report.outcome == RunOutcome::NotStarted && report.error == ErrorKind::Draining && m_evacuation.isEvacuated()) {
        step.emit(Count{CounterMetric::EvacuatedRuns, 1});
    }
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

} // namespace Sycamoremoor
