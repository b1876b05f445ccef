// Which jobs a scheduler accepts, and what it tells the callers of those that it refuses.
#include "../duration_func.h"
#include "fraction_func.h"
#include "scheduler_private.h"

#include <sycamoremoor/core/guard_subset.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr Duration TransitAllowance = std::chrono::milliseconds(15); ///< network and processing time of sending a run and its report
constexpr Duration MaxObjective = std::chrono::years(20);            ///< its multiple and the times of day added to it stay in range
constexpr Duration MinSlack = std::chrono::milliseconds(15);         ///< an objective without slack is met as closely as idle workers allow
constexpr double ExpiryFactor = 3;                                   ///< a job expires at this multiple of its objective
constexpr Duration ConfinedRetryAfter = std::chrono::seconds(3);     ///< usual time until a crashed upstream is back
constexpr Duration EvacuatedRetryAfter = std::chrono::seconds(3);    ///< operators evacuate a zone for longer than a burst of load lasts
constexpr std::size_t FewWorkers = GuardSubset::DefaultSize / 2; ///< that can hold a task: with more, others would hardly add to the choice
constexpr std::int64_t MilliCoreMicrosecondsPerCoreMillisecond = 1'000'000;
constexpr int DrainRunTimeFactor = 2; ///< of a job's expected run time, which it has to end before this process stops
constexpr Duration DrainSlack = std::chrono::milliseconds(500); ///< added to the scaled run time

/** Returns the latency objective of a job whose longest chain of steps takes @p longest. */
Duration objectiveOf(Duration longest, const QueueRecord &queue)
{
    using Exact = std::chrono::duration<double, Duration::period>;
    const auto objective = Exact(longest) * queue.stretch + Exact(queue.latencyAllowance);
    return objective < Exact(MaxObjective) ? scaled(longest, queue.stretch) + queue.latencyAllowance : MaxObjective;
}

} // namespace

void SchedulerMachine::Private::handle(SchedulerStep &step, const QueueJobSubmitted &input)
{
    if (m_cancelled.contains(input.spec->id)) {
        step.log(Severity::Info, "A job is submitted that was cancelled; it is not run.", {{"job", input.spec->id.value()}});
        step.emit(AnswerQueueJob{input.connection, QueueJobResult::Failed, ErrorKind::Cancelled, {}});
        return;
    }
    if (const auto same = m_byId.find(input.spec->id); same != m_byId.end() && *m_jobs.at(same->second).spec == *input.spec) {
        step.emit(Count{CounterMetric::JobsResubmitted, 1});
        auto &job = m_jobs.at(same->second);
        const bool wasLeft = job.connections.empty();
        job.connections.push_back(input.connection);
        m_callers[input.connection] = same->second;
        if (wasLeft) {
            resume(step, job, input);
        }
        return;
    }
    auto job = makeJob(step, input);
    if (const auto rule = refusalOf(step, job); rule != RefusalRule::None) {
        refuse(step, job, rule, rule == RefusalRule::Behind ? m_lag.expectedLag() : Duration::zero());
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

void SchedulerMachine::Private::resume(SchedulerStep &step, ScheduledJob &job, const QueueJobSubmitted &input)
{
    step.log(Severity::Info,
             "A job is submitted again while its runs end; it goes on when they have ended.",
             {{"job", job.spec->id.value()},
              {"left_after_ms", inMilliseconds(step.now() - job.arrivedAt)},
              {"batches", std::to_string(job.batches.size())}});
    job.arrivedAt = step.now() - step.context.lag;
    job.callerTimeout = input.callerTimeout;
    setTimes(job);
    continueJob(step, job);
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
    job.tasks.reserve(std::accumulate(
        steps.begin(), steps.end(), std::size_t{0}, [](std::size_t sum, const QueueJobStep &each) { return sum + each.count; }));
    for (std::uint32_t index = 0; index < steps.size(); ++index) {
        job.expected.push_back(
            m_runTimes.expected(input.queue->service, TaskKind(input.queue->name.value()), steps[index].declaredRunTime));
        job.openTasks.push_back(steps[index].count);
        for (std::uint32_t task = 0; task < steps[index].count; ++task) {
            job.tasks.push_back({.step = index, .index = task});
            job.tasks.back().isIsolated = m_crashes.of({job.spec->id, index, task}).needsIsolation();
        }
    }
    job.needed = job.expected;
    const auto need = needOf(job);
    m_policy.recordArrival(job.queue->name, need);
    job.relativeNeed = m_policy.relativeNeed(job.queue->name, need);
    job.draw = fractionOf(step.context.entropy, job.number.value());
    job.callerTimeout = input.callerTimeout;
    setTimes(job);
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
        chains[index] += job.needed[index];
        longest = std::max(longest, chains[index]);
    }
    // Expected run times are those on the usual worker, while callers know those on the mean of all workers.
    const auto factor = m_workers.meanRunTimeFactor(job.queue->service);
    job.objective = objectiveOf(factor == 1 ? longest : scaled(longest, factor), *job.queue);
    job.latestStart = job.arrivedAt + std::max(job.objective - longest - TransitAllowance, MinSlack);
    job.rank = m_policy.rankOf(claimOf(job));
    job.expiresAt = job.arrivedAt + scaled(job.objective, ExpiryFactor);
    if (job.callerTimeout > Duration::zero()) {
        job.expiresAt = std::min(job.expiresAt, job.arrivedAt + job.callerTimeout);
    }
}

RefusalRule SchedulerMachine::Private::refusalOf(SchedulerStep &step, const ScheduledJob &job) const
{
    if (m_drainSince && (m_stopped || !endsBeforeStop(step.now(), job))) {
        return RefusalRule::Stopping;
    }
    for (const auto &jobStep : job.spec->steps) {
        if (!m_workers.mayEverFit(job.queue->service, jobStep.size)) {
            return RefusalRule::NeverFits;
        }
    }
    if (m_bulkhead.isConfined(job.queue->name) && !m_workers.hasWorker(job.queue->service, true)) {
        return RefusalRule::Confined;
    }
    if (m_workers.isEvacuated(job.queue->service)) {
        return RefusalRule::Evacuated;
    }
    return step.now() <= latestPlacement(job) ? RefusalRule::None : RefusalRule::Behind;
}

ErrorKind SchedulerMachine::Private::errorOf(RefusalRule rule) const
{
    if (rule == RefusalRule::Stopping) {
        return ErrorKind::Draining;
    }
    if (rule == RefusalRule::Evacuated) {
        return ErrorKind::NoCapacity;
    }
    // A worker that is not followed may hold it.
    return rule == RefusalRule::NeverFits && m_followsAllWorkers ? ErrorKind::NeverFits : ErrorKind::QueueFull;
}

std::size_t SchedulerMachine::Private::fittingWorkers(const ScheduledJob &job) const
{
    auto fewest = m_workers.acceptingCount();
    for (const auto &jobStep : job.spec->steps) {
        fewest = std::min(fewest, m_workers.fittingCount(job.queue->service, jobStep.size, jobStep.requiredLabel));
    }
    return fewest;
}

bool SchedulerMachine::Private::needsOtherWorkers(const ScheduledJob &job) const
{
    const auto few = std::min(FewWorkers, (m_followedWorkers + 1) / 2);
    // While most of the followed workers are silent, as after a loss of power, others would be, too.
    return !m_followsAllWorkers && m_workers.acceptingCount() >= few && fittingWorkers(job) < few;
}

bool SchedulerMachine::Private::endsBeforeStop(MonotonicTime now, const ScheduledJob &job) const
{
    const auto runTime = job.arrivedAt + job.objective - job.latestStart;
    return now + runTime * DrainRunTimeFactor + DrainSlack <= *m_drainSince + m_settings.drainTimeout;
}

void SchedulerMachine::Private::handle(SchedulerStep &step, const EvacuationsRead &input)
{
    for (auto &line : m_workers.updateEvacuations(input)) {
        step.emit(std::move(line));
    }
    std::vector<JobNumber> stranded;
    for (const auto &[number, job] : m_jobs) {
        if (!job.started && m_workers.isEvacuated(job.queue->service)) {
            stranded.push_back(number);
        }
    }
    for (const auto number : stranded) {
        auto &job = m_jobs.at(number);
        refuse(step, job, RefusalRule::Evacuated, Duration::zero());
        erase(job);
    }
}

void SchedulerMachine::Private::refuseArrivals(SchedulerStep &step)
{
    for (const auto number : std::exchange(m_arrivals, {})) {
        const auto found = m_jobs.find(number);
        if (found == m_jobs.end() || found->second.started) {
            continue;
        }
        auto &job = found->second;
        m_policy.recordWaiting(step.now());
        const auto claim = waitingClaimOf(step.now(), job);
        if (const auto rule = m_policy.refusalOf(claim); rule != RefusalRule::None) {
            refuse(step, job, rule, claim.expectedWait + (rule == RefusalRule::NoWorkers ? Duration::zero() : m_lag.expectedLag()));
            erase(job);
        } else {
            scheduleCheck(job, m_policy.nextDecision(claim));
        }
    }
}

void SchedulerMachine::Private::decideAgain(SchedulerStep &step, ScheduledJob &job)
{
    const auto claim = waitingClaimOf(step.now(), job);
    const auto isDue = step.now() >= claim.latestPlacement || m_policy.isByValue();
    if (const auto rule = m_policy.refusalOf(claim); isDue && rule != RefusalRule::None) {
        refuse(step, job, rule, claim.expectedWait);
        erase(job);
        return;
    }
    scheduleCheck(job, m_policy.nextDecision(claim));
}

Duration SchedulerMachine::Private::expectedWait(MonotonicTime now, const ScheduledJob &job)
{
    const auto key = JobOrder::keyOf(job);
    const auto &order = orderOf(job);
    return m_policy.isByValue() ? order.expectedWaitWithin(now, key, m_workers.cores(job.queue->service)) : order.expectedWait(now, key);
}

WaitingClaim SchedulerMachine::Private::waitingClaimOf(MonotonicTime now, const ScheduledJob &job)
{
    return {now, latestPlacement(job), expectedWait(now, job), m_workers.cores(job.queue->service) > MilliCores(0)};
}

MonotonicTime SchedulerMachine::Private::latestPlacement(const ScheduledJob &job) const
{
    constexpr int Waits = 2; // its batches and the reports of its runs wait in this process
    return job.latestStart - m_lag.expectedLag() * Waits;
}

Duration SchedulerMachine::Private::leastRetryAfter(RefusalRule rule)
{
    if (rule == RefusalRule::Evacuated) {
        return EvacuatedRetryAfter;
    }
    return rule == RefusalRule::Confined ? ConfinedRetryAfter : MinRetryAfter;
}

void SchedulerMachine::Private::refuse(SchedulerStep &step, const ScheduledJob &job, RefusalRule rule, Duration expectedWait)
{
    const auto error = errorOf(rule);
    const auto retryAfter
        = m_policy.retryAfter(step.now(), rule, expectedWait, leastRetryAfter(rule), fractionOf(~step.context.entropy, job.number.value()));
    m_missesWorkers = m_missesWorkers || needsOtherWorkers(job);
    step.emit(Count{CounterMetric::JobsRefused, 1});
    step.emit(Count{refusalCounter(rule), 1});
    if (rule == RefusalRule::ExpectedWait || rule == RefusalRule::SlackOver) {
        m_policy.recordOutcome(job.queue->priority, false);
    }
    step.log(Severity::Info,
             "A job is refused.",
             {{"job", job.spec->id.value()},
              {"queue", job.queue->name.value()},
              {"outcome", std::string(errorRow(error).code)},
              {"rule", std::string(refusalRuleName(rule))},
              {"priority", std::to_string(job.queue->priority)},
              {"need_core_ms", std::to_string(needOf(job).value() / MilliCoreMicrosecondsPerCoreMillisecond)},
              {"relative_need_percent", std::to_string(std::llround(job.relativeNeed * 100))},
              {"set_back_ms", inMilliseconds(job.rank.turn - job.latestStart)},
              {"config", std::to_string(m_queues->version.value())},
              {"held_ms", inMilliseconds(step.now() - job.arrivedAt)},
              {"slack_ms", inMilliseconds(job.latestStart - job.arrivedAt)},
              {"expected_wait_ms", inMilliseconds(expectedWait)},
              {"retry_after_ms", inMilliseconds(retryAfter)},
              {"lag_ms", inMilliseconds(m_lag.expectedLag())},
              {"jobs_waiting", std::to_string(waitingCount())},
              {"confined", m_bulkhead.isConfined(job.queue->name) ? "yes" : "no"},
              {"worker_millicores", std::to_string(m_workers.cores(job.queue->service).value())},
              {"fitting_workers", std::to_string(fittingWorkers(job))},
              {"follows_all", m_followsAllWorkers ? "yes" : "no"},
              {"stops_in_ms", m_drainSince ? inMilliseconds(*m_drainSince + m_settings.drainTimeout - step.now()) : ""}});
    for (const auto connection : job.connections) {
        step.emit(AnswerQueueJob{connection, QueueJobResult::Refused, error, retryAfter});
    }
}

} // namespace Sycamoremoor
