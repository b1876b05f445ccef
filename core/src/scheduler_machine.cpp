// State machine of a scheduler: accepts jobs of callers, places their tasks on workers, and answers when the jobs end.
#include <sycamoremoor/core/scheduler_machine.h>

#include "scheduler/scheduler_private.h"

#include <algorithm>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr Duration TransitAllowance = std::chrono::milliseconds(15); ///< network and processing time of sending a run and its report
constexpr double ExpiryFactor = 3;                                   ///< a job expires at this multiple of its objective
constexpr double RunLimitFactor = 4; ///< run limit per expected run time; declared and estimated times are off by less
constexpr Duration RunLimitSlack = std::chrono::milliseconds(200); ///< added to the scaled run limit
constexpr Duration RenewInterval = std::chrono::milliseconds(400); ///< of the leases of the batches at one guard
constexpr std::size_t RenewGroups = 8;                             ///< guards are renewed in groups, so that no step sends to all of them
constexpr Duration MinRenewAge
    = std::chrono::milliseconds(200); ///< of a batch; if one renewal is lost, the next precedes the end of the lease
constexpr Duration DeliveryLimit = std::chrono::milliseconds(250); ///< of a batch; a guard that is busier gets no new work
constexpr Duration MinRetryAfter = std::chrono::milliseconds(500); ///< a job submitted again earlier would arrive within the same burst
constexpr Duration ConfinedRetryAfter = std::chrono::seconds(3);   ///< usual time until a crashed upstream is back
constexpr Duration MaxGuardWait = std::chrono::milliseconds(80);   ///< a run that waits longer at its guard would start sooner elsewhere
constexpr Duration ShortGuardWait
    = std::chrono::milliseconds(1);        ///< of a run for which capacity should be free: if it is not, another worker has some sooner
constexpr std::uint32_t MaxShortWaits = 4; ///< runs of a task that were refused so; then it waits for its turn at a guard
constexpr std::size_t MaxBackfill = 4;     ///< jobs that are tried after the first one that does not fit
constexpr std::size_t MaxJobsTriedPerStep = 24;                        ///< limit on the jobs that are tried for placement per step
constexpr std::uint64_t EntropyStride = 1'000;                         ///< more than the tasks of most jobs
constexpr std::size_t MaxIsolatedJobsPerStep = 8;                      ///< limit on the jobs with isolated tasks that are tried per step
constexpr std::size_t MaxTasksPlacedPerStep = 32;                      ///< limit on the tasks that are sent before further inputs are read
constexpr Duration MinReportInterval = std::chrono::milliseconds(4);   ///< a job's tasks end and begin in groups
constexpr Duration MaxReportInterval = std::chrono::milliseconds(250); ///< guards report as often without a change
constexpr std::int64_t MaxReportsPerSecond = 15'000;                   ///< of all guards: some 25 us each
constexpr int ReportLagFactor = 8;    ///< reports take the time that is left, and less of it the later the scheduler is
constexpr int DrainRunTimeFactor = 2; ///< of a job's expected run time, which it has to end before this process stops
constexpr Duration DrainSlack = std::chrono::milliseconds(500); ///< added to the scaled run time
constexpr Duration BehindLag = std::chrono::milliseconds(50);   ///< most of the slack of the shortest jobs
constexpr Duration OnTimeLag = std::chrono::milliseconds(20);

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

std::string inMilliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string nameOf(const ScheduledJob &job, const ScheduledTask &task)
{
    return queueTaskIdToString({job.spec->id, task.step, task.index});
}

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
    step.log(Severity::Info,
             "Version " + std::to_string(m_queues->version.value()) + " of the configuration is in force, with "
                 + std::to_string(m_queues->queues.size()) + " queues.");
}

void SchedulerMachine::Private::handle(SchedulerStep &step, const QueueJobSubmitted &input)
{
    if (const auto same = m_byId.find(input.spec->id); same != m_byId.end() && *m_jobs.at(same->second).spec == *input.spec) {
        step.emit(Count{CounterMetric::JobsResubmitted, 1});
        m_jobs.at(same->second).connections.push_back(input.connection);
        m_callers[input.connection] = same->second;
        return;
    }
    auto job = makeJob(step, input);
    Duration retryAfter{};
    if (const auto error = refusalOf(step, job, retryAfter); error != ErrorKind::None) {
        refuse(step, job, error, retryAfter);
        return;
    }
    step.emit(Count{CounterMetric::JobsAccepted, 1});
    if (hasGivenUpTask(job)) {
        step.log(Severity::Info,
                 "A job has a task that was given up before: the upstreams that start it crash.",
                 {{"job", job.spec->id.value()}});
        step.emit(AnswerQueueJob{input.connection, QueueJobResult::Failed, ErrorKind::CrashesUpstreams, MinRetryAfter});
        return;
    }
    m_callers[input.connection] = job.number;
    m_byId[job.spec->id] = job.number;
    auto &stored = m_jobs.emplace(job.number, std::move(job)).first->second;
    scheduleCheck(stored, latestPlacement(stored));
    unblockSteps(step, stored);
    m_placement.recordArrival(step.now(), stored);
    enqueue(stored);
    m_arrivals.push_back(stored.number);
}

bool SchedulerMachine::Private::hasGivenUpTask(const ScheduledJob &job) const
{
    return std::ranges::any_of(job.tasks, [&](const ScheduledTask &task) {
        return m_crashes.of({job.spec->id, task.step, task.index}).isGivenUp();
    });
}

ScheduledJob SchedulerMachine::Private::makeJob(SchedulerStep &step, const QueueJobSubmitted &input)
{
    ScheduledJob job;
    job.number = JobNumber(++m_lastJob);
    job.connections.push_back(input.connection);
    job.queue = input.queue;
    job.spec = input.spec;
    job.arrivedAt = step.now() - step.context.lag;
    const auto &steps = input.spec->steps;
    for (std::uint32_t index = 0; index < steps.size(); ++index) {
        job.expected.push_back(m_runTimes.expected(input.queue.service, TaskKind(input.queue.name.value()), steps[index].declaredRunTime));
        job.openTasks.push_back(steps[index].count);
        for (std::uint32_t task = 0; task < steps[index].count; ++task) {
            job.tasks.push_back({.step = index, .index = task});
            job.tasks.back().isIsolated = m_crashes.of({job.spec->id, index, task}).needsIsolation();
        }
    }
    setTimes(job);
    if (input.callerTimeout > Duration::zero()) {
        job.expiresAt = std::min(job.expiresAt, job.arrivedAt + input.callerTimeout);
    }
    return job;
}

void SchedulerMachine::Private::setTimes(ScheduledJob &job) const
{
    const auto &steps = job.spec->steps;
    std::vector<Duration> chains(steps.size());
    Duration longest{};
    for (std::size_t index = 0; index < steps.size(); ++index) {
        for (const auto before : steps[index].after) {
            chains[index] = std::max(chains[index], chains[before]);
        }
        chains[index] += job.expected[index];
        longest = std::max(longest, chains[index]);
    }
    job.objective = scaled(longest, job.queue.stretch) + job.queue.latencyAllowance;
    job.latestStart = job.arrivedAt + job.objective - longest - TransitAllowance;
    job.expiresAt = job.arrivedAt + scaled(job.objective, ExpiryFactor);
}

ErrorKind SchedulerMachine::Private::refusalOf(SchedulerStep &step, const ScheduledJob &job, Duration &retryAfter) const
{
    if (m_drainSince && !endsBeforeStop(step.now(), job)) {
        return ErrorKind::Draining;
    }
    for (const auto &jobStep : job.spec->steps) {
        if (!m_workers.mayEverFit(job.queue.service, jobStep.size)) {
            return ErrorKind::NeverFits;
        }
    }
    if (m_bulkhead.isConfined(job.queue.name) && !m_workers.hasWorker(job.queue.service, true)) {
        retryAfter = ConfinedRetryAfter;
        return ErrorKind::QueueFull;
    }
    if (step.now() <= latestPlacement(job)) {
        return ErrorKind::None;
    }
    retryAfter = m_lag.expectedLag();
    return ErrorKind::QueueFull;
}

bool SchedulerMachine::Private::endsBeforeStop(MonotonicTime now, const ScheduledJob &job) const
{
    const auto runTime = job.arrivedAt + job.objective - job.latestStart;
    return now + runTime * DrainRunTimeFactor + DrainSlack <= *m_drainSince + m_settings.drainTimeout;
}

void SchedulerMachine::Private::refuseArrivals(SchedulerStep &step)
{
    for (const auto number : std::exchange(m_arrivals, {})) {
        const auto found = m_jobs.find(number);
        if (found == m_jobs.end() || found->second.started) {
            continue;
        }
        auto &job = found->second;
        const auto wait = orderOf(job).expectedWait(step.now(), JobOrder::keyOf(job));
        if (step.now() + wait > latestPlacement(job)) {
            refuse(step, job, ErrorKind::QueueFull, wait + m_lag.expectedLag());
            erase(job);
        }
    }
}

MonotonicTime SchedulerMachine::Private::latestPlacement(const ScheduledJob &job) const
{
    constexpr int Waits = 2; // its batches and the reports of its runs wait in this process
    return job.latestStart - m_lag.expectedLag() * Waits;
}

void SchedulerMachine::Private::refuse(SchedulerStep &step, const ScheduledJob &job, ErrorKind error, Duration retryAfter)
{
    step.emit(Count{CounterMetric::JobsRefused, 1});
    step.log(Severity::Info,
             "A job is refused.",
             {{"job", job.spec->id.value()},
              {"queue", job.queue.name.value()},
              {"outcome", std::string(errorRow(error).code)},
              {"config", std::to_string(m_queues->version.value())},
              {"held_ms", inMilliseconds(step.now() - job.arrivedAt)},
              {"slack_ms", inMilliseconds(job.latestStart - job.arrivedAt)},
              {"expected_wait_ms", inMilliseconds(retryAfter)},
              {"lag_ms", inMilliseconds(m_lag.expectedLag())},
              {"jobs_waiting", std::to_string(waitingCount())},
              {"confined", m_bulkhead.isConfined(job.queue.name) ? "yes" : "no"},
              {"worker_millicores", std::to_string(m_workers.cores(job.queue.service).value())}});
    for (const auto connection : job.connections) {
        step.emit(AnswerQueueJob{connection, QueueJobResult::Refused, error, std::max(MinRetryAfter, retryAfter)});
    }
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
             {{"job", job.spec->id.value()}, {"held_ms", inMilliseconds(step.now() - job.arrivedAt)}});
    cancelBatches(step, job);
    erase(job);
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
              {"queue", job.queue.name.value()},
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
    return m_bulkhead.isConfined(job.queue.name) ? m_confinedOrder : m_order;
}

std::size_t SchedulerMachine::Private::waitingCount() const
{
    return m_order.jobs().size() + m_confinedOrder.jobs().size();
}

void SchedulerMachine::Private::enqueue(ScheduledJob &job)
{
    if (job.waiting > 0) {
        orderOf(job).put(job, waitingCoreTime(job));
    } else {
        orderOf(job).remove(job.number);
    }
    if (job.waitingIsolated > 0) {
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
            coreTime += CoreTime(job.spec->steps[task.step].size.cores.value() * job.expected[task.step].count());
        }
    }
    return coreTime;
}

void SchedulerMachine::Private::handle(SchedulerStep &step, const CapacityReported &input)
{
    m_workers.handleReport(step.now(), input);
}

void SchedulerMachine::Private::handle(SchedulerStep &step, const CrashReported &input)
{
    if (!m_crashes.add(step.now(), input.agent, input.notice)) {
        return;
    }
    m_bulkhead.record(step.now(), input.notice);
    for (const auto &[id, isSuspect] : input.notice.runs) {
        const auto job = m_byId.find(id.job);
        if (job == m_byId.end()) {
            continue;
        }
        auto &known = m_jobs.at(job->second);
        const auto task = std::ranges::find_if(
            known.tasks, [&id = id](const ScheduledTask &other) { return other.step == id.step && other.index == id.index; });
        if (task != known.tasks.end() && !judge(step, known, *task)) {
            enqueue(known);
        }
    }
}

bool SchedulerMachine::Private::judge(SchedulerStep &step, ScheduledJob &job, ScheduledTask &task)
{
    const auto crashes = m_crashes.of({job.spec->id, task.step, task.index});
    if (!crashes.needsIsolation() || task.stage == ScheduledStage::Done) {
        return false;
    }
    const std::vector<LogField> fields{{"task", nameOf(job, task)},
                                       {"crashes", std::to_string(crashes.all)},
                                       {"as_suspect", std::to_string(crashes.asSuspect)},
                                       {"as_the_only_one", std::to_string(crashes.asTheOnlyOne)}};
    if (crashes.isGivenUp()) {
        step.log(Severity::Warning, "A task is given up: the upstreams that start it crash.", fields);
        answer(step, job, QueueJobResult::Failed, ErrorKind::CrashesUpstreams);
        return true;
    }
    if (!std::exchange(task.isIsolated, true)) {
        step.log(Severity::Info, "A task may have crashed an upstream; its next run gets a worker to itself.", fields);
        if (task.stage == ScheduledStage::Waiting) {
            --job.waiting;
            ++job.waitingIsolated;
        }
    }
    return false;
}

bool SchedulerMachine::Private::runCrashed(
    SchedulerStep &step, ScheduledJob &job, ScheduledTask &task, const CrashKey &crash, bool isSuspect)
{
    // A run that had the worker to itself can blame no other.
    m_crashes.add(step.now(), crash, {job.spec->id, task.step, task.index}, isSuspect, isSuspect && task.wasSentIsolated);
    return judge(step, job, task);
}

void SchedulerMachine::Private::updateBulkhead(SchedulerStep &step)
{
    const auto workers = m_workers.reportingCount();
    if (!m_bulkhead.update(step.now(), workers)) {
        return;
    }
    m_workers.keepForConfined(m_bulkhead.share(workers));
    std::string names;
    for (const auto &queue : m_bulkhead.confined()) {
        names.append(names.empty() ? "" : " ").append(queue.value());
    }
    step.log(Severity::Warning,
             names.empty() ? "No queue is confined any more." : "Queues whose tasks crash their upstreams are confined to some workers.",
             {{"queues", names}, {"workers", std::to_string(m_bulkhead.share(workers))}, {"of", std::to_string(workers)}});
    for (auto &[number, job] : m_jobs) {
        m_order.remove(number);
        m_confinedOrder.remove(number);
        enqueue(job);
    }
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

void SchedulerMachine::Private::handle(SchedulerStep &step, const RunReported &input)
{
    const auto found = m_batches.find(input.batch);
    const auto order = input.report.order;
    if (found == m_batches.end() || order >= found->second.tasks.size() || found->second.reported[order]) {
        return; // the batch was cancelled or has ended, or the run was reported before
    }
    found->second.reported[order] = true;
    auto &job = m_jobs.at(found->second.job);
    const auto agent = found->second.agent;
    const CrashKey crash{agent, found->second.guard, input.report.crash};
    const auto task = found->second.tasks[order];
    if (std::ranges::find(found->second.reported, false) == found->second.reported.end()) {
        job.batches.erase(input.batch);
        m_batches.erase(found);
    }
    m_workers.removeTasks(agent, 1);
    if (input.report.crash != CrashNumber() && runCrashed(step, job, job.tasks[task], crash, input.report.isSuspect)) {
        return;
    }
    runEnded(step, job, job.tasks[task], agent, input.report);
}

void SchedulerMachine::Private::runEnded(
    SchedulerStep &step, ScheduledJob &job, ScheduledTask &task, const AgentName &agent, const RunReport &report)
{
    --job.placed[task.step][agent];
    task.mayHaveRun = task.mayHaveRun || report.outcome != RunOutcome::NotStarted;
    switch (report.outcome) {
    case RunOutcome::Done: {
        const auto declared = job.spec->steps[task.step].declaredRunTime;
        m_workers.recordSuccess(step.now(), agent, job.expected[task.step], report.runTime);
        m_placement.recordRun(report.runTime);
        m_runTimes.learn(job.queue.service, TaskKind(job.queue.name.value()), declared, report.runTime);
        task.stage = ScheduledStage::Done;
        if (--job.openTasks[task.step] == 0) {
            unblockSteps(step, job);
        }
        if (std::ranges::all_of(job.openTasks, [](std::uint32_t open) { return open == 0; })) {
            answer(step, job, QueueJobResult::Complete, ErrorKind::None);
            return;
        }
        break;
    }
    case RunOutcome::Failed: {
        const bool isLast = ++task.failures >= job.queue.maxAttempts;
        step.log(Severity::Info,
                 isLast ? "A task failed for the last time." : "A task failed; it is placed again.",
                 {{"task", nameOf(job, task)},
                  {"worker", agent.value()},
                  {"failures", std::to_string(task.failures)},
                  {"most_failures", std::to_string(job.queue.maxAttempts)}});
        runFailed(step, job, task, agent);
        if (isLast) {
            answer(step, job, QueueJobResult::Failed, ErrorKind::TaskFailed);
            return;
        }
        setWaiting(step, job, task);
        break;
    }
    case RunOutcome::Stopped:
    case RunOutcome::Lapsed:
        step.log(Severity::Info,
                 "A run was cut short; its task is placed again.",
                 {{"task", nameOf(job, task)},
                  {"run", std::to_string(task.runs)},
                  {"worker", agent.value()},
                  {"outcome", std::string(runOutcomeName(report.outcome))},
                  {"error", std::string(errorRow(report.error).code)},
                  {"ran_ms", inMilliseconds(report.runTime)},
                  {"expected_ms", inMilliseconds(job.expected[task.step])}});
        if (report.crash != CrashNumber() || (report.error != ErrorKind::None && report.error != ErrorKind::RunLimitReached)) {
            task.avoided.push_back(
                agent); // a crash, a lost connection or answer, or an expired job, says nothing about the worker's health
        } else {
            runFailed(step, job, task, agent);
        }
        setWaiting(step, job, task);
        break;
    default:
        step.log(Severity::Info,
                 "A worker did not start a task; the task is placed again.",
                 {{"task", nameOf(job, task)},
                  {"run", std::to_string(task.runs)},
                  {"worker", agent.value()},
                  {"error", std::string(errorRow(report.error).code)}});
        if (report.error != ErrorKind::DeadlineUnreachable) {
            task.avoided.push_back(agent);
        }
        setWaiting(step, job, task);
        break;
    }
    continueJob(step, job);
}

void SchedulerMachine::Private::runFailed(SchedulerStep &step, ScheduledJob &job, ScheduledTask &task, const AgentName &agent)
{
    task.avoided.push_back(agent);
    if (m_workers.recordFailure(step.now(), agent, job.number.value())) {
        step.emit(Count{CounterMetric::WorkersEjected, 1});
        step.log(Severity::Warning, "A worker is ejected: tasks of several jobs failed on it in a row.", {{"worker", agent.value()}});
    }
}

void SchedulerMachine::Private::handle(SchedulerStep &step, const BatchInterrupted &input)
{
    const auto found = m_batches.find(input.batch);
    if (found == m_batches.end()) {
        return;
    }
    auto &batch = found->second;
    auto &job = m_jobs.at(batch.job);
    m_workers.forgetBatch(batch.agent, input.batch);
    const bool mayHaveArrived = input.delivery != Delivery::NotSent;
    step.log(Severity::Warning,
             mayHaveArrived ? "The connection of a batch was lost; the batch is recalled." : "A batch could not be sent.",
             {{"job", job.spec->id.value()},
              {"worker", batch.agent.value()},
              {"batch", std::to_string(input.batch.value())},
              {"tasks", std::to_string(batch.tasks.size())}});
    if (mayHaveArrived) {
        recall(step, job, input.batch, batch);
    } else {
        for (const auto index : batch.tasks) {
            auto &task = job.tasks[index];
            m_workers.removeTasks(batch.agent, 1);
            --job.placed[task.step][batch.agent];
            task.avoided.push_back(batch.agent);
            setWaiting(step, job, task);
        }
        job.batches.erase(input.batch);
        m_batches.erase(found);
    }
    continueJob(step, job);
}

void SchedulerMachine::Private::recall(SchedulerStep &step, ScheduledJob &job, BatchNumber number, OpenBatch &batch)
{
    batch.recalled = true;
    for (std::size_t order = 0; order < batch.tasks.size(); ++order) {
        if (!batch.reported[order]) {
            auto &task = job.tasks[batch.tasks[order]];
            task.stage = ScheduledStage::Recalled;
            task.readyAt = step.now();
        }
    }
    const auto orders = static_cast<std::uint32_t>(batch.tasks.size());
    step.emit(RecallBatch{batch.agent, {m_settings.name, m_settings.incarnation, number, batch.guard, orders}});
}

void SchedulerMachine::Private::handle(SchedulerStep &step, const DrainRequested & /*input*/)
{
    if (!m_drainSince) {
        m_drainSince = step.now();
    }
}

void SchedulerMachine::Private::processDue(SchedulerStep &step)
{
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

void SchedulerMachine::Private::renewBatches(SchedulerStep &step)
{
    if (step.now() < m_renewAt) {
        return;
    }
    constexpr auto GroupInterval = RenewInterval / RenewGroups;
    std::size_t groups = 0;
    for (; m_renewAt <= step.now() && groups < RenewGroups; m_renewAt += GroupInterval) {
        ++groups;
    }
    if (m_renewAt <= step.now()) {
        m_renewAt = step.now() + GroupInterval;
    }
    const auto firstGroup = std::exchange(m_renewGroup, (m_renewGroup + groups) % RenewGroups);
    const auto isDue = [&](const AgentName &agent) {
        const auto group = std::hash<AgentName>()(agent) % RenewGroups;
        return (group + RenewGroups - firstGroup) % RenewGroups < groups;
    };
    std::map<AgentName, BatchRenewal> renewals;
    for (const auto &[number, batch] : m_batches) {
        if (!batch.recalled && batch.sentAt + MinRenewAge <= step.now() && isDue(batch.agent)) {
            renewals[batch.agent].batches.push_back(number);
        }
    }
    for (auto &[agent, renewal] : renewals) {
        renewal.scheduler = m_settings.name;
        renewal.schedulerIncarnation = m_settings.incarnation;
        renewal.leaseUntil = m_workers.earliestGuardTime(step.now(), agent) + GuardTime(m_settings.batchLease.count());
        step.emit(RenewBatches{agent, std::move(renewal)});
    }
}

void SchedulerMachine::Private::handleDueChecks(SchedulerStep &step)
{
    while (!m_checks.empty() && m_checks.begin()->first <= step.now()) {
        auto &job = m_jobs.at(m_checks.begin()->second);
        if (const auto at = latestPlacement(job); !job.started && at > step.now()) {
            scheduleCheck(job, at);
        } else if (!job.started) {
            const auto wait = orderOf(job).expectedWait(step.now(), JobOrder::keyOf(job));
            refuse(step, job, ErrorKind::QueueFull, wait);
            erase(job);
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
    const auto wait = orderOf(job).expectedWait(step.now(), JobOrder::keyOf(job));
    refuse(step, job, ErrorKind::QueueFull, wait);
    erase(job);
}

void SchedulerMachine::Private::place(SchedulerStep &step)
{
    m_placedInStep = 0;
    const bool hasMore = place(step, m_order);
    m_placesMore = place(step, m_confinedOrder) || hasMore;
    placeIsolated(step);
}

bool SchedulerMachine::Private::place(SchedulerStep &step, const JobOrder &order)
{
    // In a burst, every input would otherwise try all jobs on every worker.
    std::size_t tried = 0;
    std::size_t withoutCapacity = 0;
    const auto isLimited = [&] {
        return tried >= MaxJobsTriedPerStep || m_placedInStep >= MaxTasksPlacedPerStep;
    };
    auto position = order.jobs().begin();
    while (position != order.jobs().end() && withoutCapacity <= MaxBackfill && !isLimited()) {
        ++tried;
        const auto key = position->first;
        withoutCapacity += placeJob(step, m_jobs.at(key.job)) ? 0 : 1;
        position = order.jobs().upper_bound(key); // a job that is placed in part has another key from then on
    }
    return withoutCapacity == 0 && !order.jobs().empty();
}

bool SchedulerMachine::Private::placeJob(SchedulerStep &step, ScheduledJob &job)
{
    const auto placed = m_placement.place(contextOf(step, job), job);
    if (placed) {
        sendPlaced(step, job, *placed);
    }
    return placed && job.waiting == 0;
}

PlacementContext SchedulerMachine::Private::contextOf(SchedulerStep &step, const ScheduledJob &job) const
{
    return {step.now(), step.context.entropy + job.number.value() * EntropyStride, m_bulkhead.isConfined(job.queue.name)};
}

void SchedulerMachine::Private::placeIsolated(SchedulerStep &step)
{
    std::size_t tried = 0;
    const auto jobs = m_isolatingJobs;
    for (const auto number : jobs) {
        if (++tried > MaxIsolatedJobsPerStep) {
            return;
        }
        auto &job = m_jobs.at(number);
        sendPlaced(step, job, m_placement.placeIsolated(contextOf(step, job), job));
    }
}

void SchedulerMachine::Private::sendPlaced(SchedulerStep &step, ScheduledJob &job, const std::vector<PlacedTask> &placed)
{
    std::map<AgentName, PlacedBatch> batches;
    for (const auto &[task, agent, batch, queuesAtGuard] : placed) {
        auto &content = batches[agent];
        content.number = batch;
        content.tasks.push_back(task);
        job.tasks[task].queuesAtGuard = queuesAtGuard;
    }
    for (const auto &[agent, batch] : batches) {
        send(step, job, agent, batch);
    }
    enqueue(job);
}

void SchedulerMachine::Private::send(SchedulerStep &step, ScheduledJob &job, const AgentName &agent, const PlacedBatch &batch)
{
    SendBatch output;
    output.agent = agent;
    output.batch.scheduler = m_settings.name;
    output.batch.schedulerIncarnation = m_settings.incarnation;
    output.batch.batch = batch.number;
    output.batch.guard = m_workers.guardIncarnation(agent);
    const auto guardTime = m_workers.earliestGuardTime(step.now(), agent);
    output.batch.receiveBy = guardTime + GuardTime(DeliveryLimit.count());
    output.batch.leaseUntil = guardTime + GuardTime(m_settings.batchLease.count());
    output.batch.expiresAt = guardTime + GuardTime((job.expiresAt - step.now()).count());
    output.batch.reportInterval = reportInterval();
    output.batch.queue = job.queue.name;
    output.batch.payload = job.spec->payload;
    for (const auto index : batch.tasks) {
        auto &task = job.tasks[index];
        task.stage = ScheduledStage::Sent;
        task.wasSentIsolated = task.isIsolated;
        --(task.isIsolated ? job.waitingIsolated : job.waiting);
        ++m_placedInStep;
        if (++task.runs > 1) {
            step.log(Severity::Info,
                     "A task is sent again.",
                     {{"task", nameOf(job, task)},
                      {"run", std::to_string(task.runs)},
                      {"worker", agent.value()},
                      {"batch", std::to_string(batch.number.value())}});
        }
        m_order.recordSent(step.now(), CoreTime(job.spec->steps[task.step].size.cores.value() * job.expected[task.step].count()));
        RunOrder order;
        order.run = {{job.spec->id, task.step, task.index}, task.runs};
        order.size = m_placement.sizeOn(agent, job, task);
        order.urgency = {job.queue.priority > 0, job.latestStart - step.now()};
        const bool waitsShortly = !task.queuesAtGuard && task.runs <= MaxShortWaits;
        order.startWithin = std::clamp(
            job.expiresAt - job.expected[task.step] - step.now(), Duration::zero(), waitsShortly ? ShortGuardWait : MaxGuardWait);
        order.expected = job.expected[task.step];
        order.runLimit = scaled(job.expected[task.step], RunLimitFactor) + RunLimitSlack;
        output.batch.orders.push_back(std::move(order));
    }
    if (!std::exchange(job.started, true)) {
        job.startedAt = step.now();
    }
    job.batches.insert(batch.number);
    m_batches[batch.number]
        = {job.number, agent, m_workers.guardIncarnation(agent), step.now(), batch.tasks, std::vector<bool>(batch.tasks.size(), false)};
    step.emit(Count{CounterMetric::TasksSent, batch.tasks.size()});
    step.emit(std::move(output));
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

const QueueSetPointer &SchedulerMachine::Private::queues() const
{
    return m_queues;
}

bool SchedulerMachine::Private::isReady() const
{
    return m_queues && !m_drainSince && m_workers.hasWorker();
}

} // namespace Sycamoremoor
