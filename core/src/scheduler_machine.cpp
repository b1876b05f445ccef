// State machine of a scheduler: accepts jobs of callers, places their tasks on workers, and answers when the jobs end.
#include <sycamoremoor/core/scheduler_machine.h>

#include "duration_func.h"
#include "scheduler/scheduler_private.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr Duration MinReportInterval = std::chrono::milliseconds(4);   ///< a job's tasks end and begin in groups
constexpr Duration MaxReportInterval = std::chrono::milliseconds(250); ///< guards report as often without a change
constexpr std::int64_t MaxReportsPerSecond = 15'000;                   ///< of all guards: some 25 us each
constexpr int ReportLagFactor = 8; ///< reports take the time that is left, and less of it the later the scheduler is
constexpr Duration BehindLag = std::chrono::milliseconds(50); ///< most of the slack of the shortest jobs
constexpr Duration OnTimeLag = std::chrono::milliseconds(20);

} // namespace

SchedulerMachine::SchedulerMachine(SchedulerSettings settings)
    : d(std::make_unique<Private>(std::move(settings)))
{
}

SchedulerMachine::~SchedulerMachine() = default;

SchedulerMachine::SchedulerMachine(SchedulerMachine &&) noexcept = default;

SchedulerMachine &SchedulerMachine::operator=(SchedulerMachine &&) noexcept = default;

void SchedulerMachine::step(const StepContext &context, SchedulerInput input, SchedulerOutputs &outputs)
{
    step(context, std::vector{std::move(input)}, outputs);
}

void SchedulerMachine::step(const StepContext &context, const std::vector<SchedulerInput> &inputs, SchedulerOutputs &outputs)
{
    SchedulerStep step{context, outputs, "scheduler"};
    d->recordLag(step);
    for (const auto &input : inputs) {
        std::visit([&](const auto &content) { d->handle(step, content); }, input);
    }
    d->processDue(step);
}

Duration SchedulerMachine::reportInterval() const
{
    return d->reportInterval();
}

bool SchedulerMachine::isUsing(const AgentName &agent) const
{
    return d->isUsing(agent);
}

bool SchedulerMachine::missesWorkers() const
{
    return d->missesWorkers();
}

bool SchedulerMachine::isEvacuated(const ZoneName &zone) const
{
    return d->isEvacuated(zone);
}

bool SchedulerMachine::hasJob(const QueueJobId &id) const
{
    return d->hasJob(id);
}

const QueueSetPointer &SchedulerMachine::queues() const
{
    return d->queues();
}

bool SchedulerMachine::isReady() const
{
    return d->isReady();
}

SchedulerMachine::Private::Private(SchedulerSettings settings)
    : m_settings(std::move(settings))
    , m_leaseTimes(leaseTimesOf(m_settings.resubmitAfter))
    , m_policy(m_settings.shedding)
    , m_placement(m_workers)
{
}

void SchedulerMachine::Private::recordLag(SchedulerStep &step)
{
    m_lag.record(step.now(), step.context.lag);
    const auto lag = m_lag.expectedLag();
    if (m_isBehind ? lag > OnTimeLag : lag < BehindLag) {
        return;
    }
    m_isBehind = !m_isBehind;
    step.log(m_isBehind ? Severity::Warning : Severity::Info,
             m_isBehind ? "This process is behind with its work." : "This process is on time again.",
             {{"lag_ms", inMilliseconds(lag)},
              {"last_lag_ms", inMilliseconds(step.context.lag)},
              {"jobs", std::to_string(m_jobs.size())},
              {"jobs_waiting", std::to_string(waitingCount())},
              {"batches", std::to_string(m_batches.size())},
              {"report_interval_ms", inMilliseconds(reportInterval())}});
}

Duration SchedulerMachine::Private::reportInterval() const
{
    const auto share = Duration(std::chrono::seconds(1)) * static_cast<std::int64_t>(m_workers.reportingCount()) / MaxReportsPerSecond;
    return std::clamp(std::max(share, m_lag.expectedLag() * ReportLagFactor), MinReportInterval, MaxReportInterval);
}

void SchedulerMachine::Private::handle(SchedulerStep & /*step*/, const Tick & /*input*/) { }

void SchedulerMachine::Private::handle(SchedulerStep &step, const QueuesRead &input)
{
    if (m_queues && input.queues->version <= m_queues->version) {
        return; // a read of an older version that was overtaken by a newer one
    }
    m_queues = input.queues;
    step.emit(Count{CounterMetric::ConfigChanges, 1});
    step.emit(Count{CounterMetric::ConfigQueuesLeftOut, m_queues->unreadable});
    step.log(m_queues->unreadable == 0 ? Severity::Info : Severity::Error,
             "Version " + std::to_string(m_queues->version.value()) + " of the configuration is in force, with "
                 + std::to_string(m_queues->queues.size()) + " queues.",
             {{"left_out", std::to_string(m_queues->unreadable)}});
}

void SchedulerMachine::Private::handle(SchedulerStep &step, const CallerDisconnected &input)
{
    const auto caller = m_callers.find(input.connection);
    if (caller == m_callers.end()) {
        return;
    }
    auto &job = m_jobs.at(caller->second);
    std::erase(job.connections, input.connection);
    m_callers.erase(caller);
    if (!job.connections.empty()) {
        return;
    }
    step.log(Severity::Info,
             "The caller of a job disconnected; its runs are stopped.",
             {{"job", job.spec->id.value()},
              {"held_ms", inMilliseconds(step.now() - job.arrivedAt)},
              {"batches", std::to_string(job.batches.size())}});
    endRuns(step, job);
}

void SchedulerMachine::Private::handle(SchedulerStep &step, const QueueJobCancelled &input)
{
    const bool wasKnown = m_cancelled.contains(input.job);
    const bool wasOpen = cancel(step, input.job);
    step.emit(Count{CounterMetric::JobsCancelled, wasOpen || wasKnown ? 1U : 0U});
    // Also when it was open here: its caller may have submitted it to another scheduler, too.
    step.emit(SpreadCancel{input.job});
    if (wasOpen) {
        step.emit(AnswerCancel{input.connection, CancelOutcome::Cancelled});
        return;
    }
    step.log(Severity::Info,
             "A job is cancelled that is not open here; the guards are told.",
             {{"job", input.job.value()}, {"outcome", wasKnown ? "cancelled_before" : "not_known"}});
    auto &spreading = m_spreadingCancels[input.job];
    spreading.connections.push_back(input.connection);
    spreading.wasKnown = spreading.wasKnown || wasKnown;
}

bool SchedulerMachine::Private::cancel(SchedulerStep &step, const QueueJobId &id)
{
    std::vector<JobNumber> open; // several if jobs of the same id but other contents were submitted
    for (const auto &[number, job] : m_jobs) {
        if (job.spec->id == id) {
            open.push_back(number);
        }
    }
    // Also a job that is not known: its submission may still be on its way.
    m_cancelled.add(step.now(), id);
    for (const auto number : open) {
        auto &job = m_jobs.at(number);
        step.log(Severity::Info,
                 "A job is cancelled; its runs are stopped.",
                 {{"job", id.value()},
                  {"held_ms", inMilliseconds(step.now() - job.arrivedAt)},
                  {"callers", std::to_string(job.connections.size())},
                  {"batches", std::to_string(job.batches.size())}});
        for (const auto connection : std::exchange(job.connections, {})) {
            m_callers.erase(connection);
            step.emit(AnswerQueueJob{connection, QueueJobResult::Failed, ErrorKind::Cancelled, {}});
        }
        endRuns(step, job);
    }
    return !open.empty();
}

void SchedulerMachine::Private::handle(SchedulerStep &step, const CancelSpread &input)
{
    const auto spreading = m_spreadingCancels.extract(input.job);
    if (spreading.empty()) {
        return; // the job was open here, and its cancellation was answered then
    }
    const bool isKnown = input.hadRuns || spreading.mapped().wasKnown;
    const auto outcome = !input.isConfirmed ? CancelOutcome::Unconfirmed : isKnown ? CancelOutcome::Cancelled : CancelOutcome::NotFound;
    if (!input.isConfirmed) {
        step.log(Severity::Warning, "Not all guards have confirmed in time that a job is cancelled.", {{"job", input.job.value()}});
    }
    for (const auto connection : spreading.mapped().connections) {
        step.emit(AnswerCancel{connection, outcome});
    }
}

void SchedulerMachine::Private::handle(SchedulerStep &step, const JobsCancelledElsewhere &input)
{
    for (const auto &job : input.jobs) {
        // Nothing of a job that was cancelled here before is open: its submissions are refused.
        if (!m_cancelled.contains(job) && cancel(step, job)) {
            step.emit(Count{CounterMetric::JobsCancelled, 1});
        }
    }
}

void SchedulerMachine::Private::endRuns(SchedulerStep &step, ScheduledJob &job)
{
    if (job.batches.empty()) {
        erase(job);
        return;
    }
    // The caller may submit the job again at once, so it is forgotten only when its runs have ended.
    for (const auto &number : job.batches) {
        if (auto &batch = m_batches.at(number); !batch.recalled) {
            recall(step, job, number, batch);
        }
    }
    enqueue(job);
    scheduleCheck(job, step.now() + m_settings.resubmitAfter);
}

void SchedulerMachine::Private::cancelBatches(SchedulerStep &step, ScheduledJob &job)
{
    for (const auto &number : job.batches) {
        const auto batch = m_batches.find(number);
        const auto left = std::ranges::count(batch->second.reported, false);
        m_workers.removeTasks(batch->second.agent, static_cast<std::uint32_t>(left));
        step.emit(CancelBatch{number});
        m_batches.erase(batch);
    }
    job.batches.clear();
}

void SchedulerMachine::Private::erase(ScheduledJob &job)
{
    for (const auto connection : job.connections) {
        m_callers.erase(connection);
    }
    if (const auto named = m_byId.find(job.spec->id); named != m_byId.end() && named->second == job.number) {
        m_byId.erase(named);
    }
    m_order.remove(job.number);
    m_confinedOrder.remove(job.number);
    m_isolatingJobs.erase(job.number);
    m_checks.erase({job.checkAt, job.number});
    const auto number = job.number;
    m_jobs.erase(number);
}

void SchedulerMachine::Private::answer(SchedulerStep &step, ScheduledJob &job, QueueJobResult result, ErrorKind error)
{
    cancelBatches(step, job);
    const auto took = step.now() - job.arrivedAt;
    step.emit(Observation{HistogramMetric::JobSeconds, toSeconds(took)});
    step.emit(Count{result == QueueJobResult::Complete ? CounterMetric::JobsComplete : CounterMetric::JobsFailed, 1});
    std::uint32_t runs = 0;
    for (const auto &task : job.tasks) {
        runs += task.runs;
    }
    step.log(Severity::Info,
             took <= job.objective ? "A job ended in time." : "A job ended late.",
             {{"job", job.spec->id.value()},
              {"queue", job.queue->name.value()},
              {"outcome", std::string(queueJobResultName(result))},
              {"error", std::string(errorRow(error).code)},
              {"took_ms", inMilliseconds(took)},
              {"objective_ms", inMilliseconds(job.objective)},
              {"began_after_ms", job.started ? inMilliseconds(job.startedAt - job.arrivedAt) : ""},
              {"tasks", std::to_string(job.tasks.size())},
              {"runs", std::to_string(runs)}});
    for (const auto connection : job.connections) {
        step.emit(AnswerQueueJob{connection, result, error, MinRetryAfter});
    }
    erase(job);
}

void SchedulerMachine::Private::unblockSteps(SchedulerStep &step, ScheduledJob &job)
{
    const auto &steps = job.spec->steps;
    const auto isOpen = [&](std::uint32_t index) {
        return std::ranges::all_of(steps[index].after, [&](std::uint32_t before) { return job.openTasks[before] == 0; });
    };
    for (auto &task : job.tasks) {
        if (task.stage == ScheduledStage::Blocked && isOpen(task.step)) {
            setWaiting(step, job, task);
        }
    }
}

void SchedulerMachine::Private::setWaiting(SchedulerStep &step, ScheduledJob &job, ScheduledTask &task)
{
    task.stage = ScheduledStage::Waiting;
    task.readyAt = step.now();
    ++(task.isIsolated ? job.waitingIsolated : job.waiting);
}

JobOrder &SchedulerMachine::Private::orderOf(const ScheduledJob &job)
{
    return m_bulkhead.isConfined(job.queue->name) ? m_confinedOrder : m_order;
}

std::size_t SchedulerMachine::Private::waitingCount() const
{
    return m_order.jobs().size() + m_confinedOrder.jobs().size();
}

void SchedulerMachine::Private::enqueue(ScheduledJob &job)
{
    const bool hasCaller = !job.connections.empty();
    if (hasCaller && job.waiting > 0) {
        orderOf(job).put(job, waitingCoreTime(job));
    } else {
        orderOf(job).remove(job.number);
    }
    if (hasCaller && job.waitingIsolated > 0) {
        m_isolatingJobs.insert(job.number);
    } else {
        m_isolatingJobs.erase(job.number);
    }
}

CoreTime SchedulerMachine::Private::waitingCoreTime(const ScheduledJob &job) const
{
    CoreTime coreTime{0};
    for (const auto &task : job.tasks) {
        if (task.stage == ScheduledStage::Waiting && !task.isIsolated) {
            coreTime += coreTimeOf(job, task);
        }
    }
    return coreTime;
}

void SchedulerMachine::Private::handle(SchedulerStep &step, const CapacityReported &input)
{
    m_workers.handleReport(step.now(), input);
    for (const auto &agent : m_workers.takeSpeedChanges(step.now())) {
        logSpeed(step, agent);
    }
}

void SchedulerMachine::Private::logSpeed(SchedulerStep &step, const AgentName &agent)
{
    constexpr double Percent = 100;
    const auto factor = m_workers.runTimeFactor(agent);
    const bool isSlow = factor > 1;
    if (isSlow) {
        step.emit(Count{CounterMetric::WorkersFoundSlow, 1});
    }
    step.log(Severity::Info,
             isSlow ? "A worker is slower than the usual one of its service." : "A worker is no longer slower than the usual one.",
             {{"worker", agent.value()}, {"run_time_percent", std::to_string(std::lround(factor * Percent))}});
}

void SchedulerMachine::Private::handle(SchedulerStep &step, const WorkerUnreachable &input)
{
    step.log(Severity::Warning, "No reports arrive from a worker; it gets no new work.", {{"worker", input.agent.value()}});
    m_workers.markUnreachable(input.agent);
}

void SchedulerMachine::Private::handle(SchedulerStep & /*step*/, const WorkerUnfollowed &input)
{
    m_workers.markUnreachable(input.agent);
}

void SchedulerMachine::Private::handle(SchedulerStep & /*step*/, const WorkersChosen &input)
{
    m_followedWorkers = input.followed;
    m_followsAllWorkers = input.isAll;
    m_missesWorkers = false;
}

void SchedulerMachine::Private::handle(SchedulerStep &step, const DrainRequested & /*input*/)
{
    if (!m_drainSince) {
        m_drainSince = step.now();
    }
}

void SchedulerMachine::Private::processDue(SchedulerStep &step)
{
    m_cancelled.forgetOld(step.now());
    renewBatches(step);
    updateBulkhead(step);
    place(step);
    refuseArrivals(step);
    handleDueChecks(step);
    if (m_drainSince && !m_stopped) {
        const bool done = m_jobs.empty() && step.now() >= *m_drainSince + m_settings.drainGrace;
        if (done || step.now() >= *m_drainSince + m_settings.drainTimeout) {
            m_stopped = true;
            step.emit(Stopped{static_cast<std::uint32_t>(m_jobs.size())});
        }
    }
    setTimer(step);
}

void SchedulerMachine::Private::handleDueChecks(SchedulerStep &step)
{
    while (!m_checks.empty() && m_checks.begin()->first <= step.now()) {
        auto &job = m_jobs.at(m_checks.begin()->second);
        if (job.connections.empty()) {
            cancelBatches(step, job); // their leases have ended
            erase(job);
        } else if (!job.started) {
            decideAgain(step, job);
        } else if (const auto unreachableAt = deadlineUnreachableAt(job); unreachableAt <= step.now()) {
            abandon(step, job);
        } else {
            scheduleCheck(job, unreachableAt);
        }
    }
}

void SchedulerMachine::Private::scheduleCheck(ScheduledJob &job, MonotonicTime at)
{
    m_checks.erase({job.checkAt, job.number});
    job.checkAt = at;
    m_checks.emplace(at, job.number);
}

MonotonicTime SchedulerMachine::Private::deadlineUnreachableAt(const ScheduledJob &job)
{
    auto unreachableAt = job.expiresAt;
    for (const auto &task : job.tasks) {
        const bool isPending = task.stage == ScheduledStage::Waiting || task.stage == ScheduledStage::Recalled;
        if (!isPending) {
            continue;
        }
        const auto latestStart = job.expiresAt - job.expected[task.step];
        unreachableAt = std::min(unreachableAt, task.readyAt > latestStart ? MonotonicTime::min() : latestStart);
    }
    return unreachableAt;
}

void SchedulerMachine::Private::continueJob(SchedulerStep &step, ScheduledJob &job)
{
    if (job.connections.empty()) {
        if (job.batches.empty()) {
            erase(job);
        }
        return;
    }
    const auto unreachableAt = deadlineUnreachableAt(job);
    if (unreachableAt <= step.now()) {
        abandon(step, job);
        return;
    }
    scheduleCheck(job, unreachableAt);
    enqueue(job);
}

void SchedulerMachine::Private::abandon(SchedulerStep &step, ScheduledJob &job)
{
    const bool mayHaveRun = !job.batches.empty() || std::ranges::any_of(job.tasks, &ScheduledTask::mayHaveRun);
    if (mayHaveRun) {
        answer(step, job, QueueJobResult::Lost, ErrorKind::DeadlineUnreachable);
        return;
    }
    refuse(step, job, RefusalRule::Expired, expectedWait(step.now(), job));
    erase(job);
}

void SchedulerMachine::Private::setTimer(SchedulerStep &step)
{
    auto wake = m_placesMore ? step.now() : MonotonicTime::max();
    if (!m_checks.empty()) {
        wake = std::min(wake, m_checks.begin()->first);
    }
    if (!m_batches.empty()) {
        wake = std::min(wake, m_renewAt);
    }
    wake = std::min(wake, m_bulkhead.nextUpdate());
    if (const auto next = m_workers.nextReadmission(step.now()); next && waitingCount() > 0) {
        wake = std::min(wake, *next);
    }
    if (m_drainSince && !m_stopped) {
        const auto grace = *m_drainSince + m_settings.drainGrace;
        wake = std::min(wake, grace > step.now() ? grace : *m_drainSince + m_settings.drainTimeout);
    }
    if (wake != MonotonicTime::max()) {
        step.emit(SetTimer{wake});
    }
}

bool SchedulerMachine::Private::isUsing(const AgentName &agent) const
{
    return m_workers.hasTasks(agent);
}

bool SchedulerMachine::Private::missesWorkers() const
{
    return m_missesWorkers;
}

bool SchedulerMachine::Private::isEvacuated(const ZoneName &zone) const
{
    return m_workers.isEvacuated(zone);
}

bool SchedulerMachine::Private::hasJob(const QueueJobId &id) const
{
    return m_byId.contains(id);
}

const QueueSetPointer &SchedulerMachine::Private::queues() const
{
    return m_queues;
}

bool SchedulerMachine::Private::isReady() const
{
    return m_queues && !m_drainSince && m_workers.hasWorker();
}

} // namespace Sycamoremoor
