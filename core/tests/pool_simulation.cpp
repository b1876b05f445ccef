// Simulation of a worker pool: schedulers, guards and runners in simulated time, with faults.
#include "pool_simulation.h"

#include <sycamoremoor/core/guard_subset.h>
#include <sycamoremoor/core/task_size_func.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Sycamoremoor
{

using std::chrono::milliseconds;

namespace
{

constexpr Duration OrderTimeout = milliseconds(30);
constexpr Duration MaxOrderDelay = milliseconds(4'000);
constexpr Duration AnnounceInterval = milliseconds(300);
constexpr Duration RecallInterval = milliseconds(100);
constexpr Duration RestartDelay = milliseconds(400);
constexpr Duration ResubmitDelay = milliseconds(1'300);
constexpr Duration SilenceLimit = milliseconds(1'000); ///< a scheduler gives a worker no new tasks after this time without reports
constexpr Duration BreakInterval = milliseconds(100);  ///< during a time without answers, some exchanges break at each interval
constexpr double BreakShare = 0.05;                    ///< of the exchanges, at each interval
constexpr double LostCallerShare = 0.5;                ///< of the callers of a frozen scheduler
constexpr std::uint64_t TokenStep = 1'000;
constexpr Duration ResetNotice = milliseconds(1); ///< from the end of a process to the end of its connections
constexpr std::uint32_t CrashLimit = 3;           ///< a task that has crashed as many runners may be started fewer than StartLimit times
constexpr std::uint32_t StartLimit = 3;
constexpr Duration MinReportInterval = milliseconds(4); ///< between two reports of a guard to one scheduler
constexpr GuardTime Never(std::chrono::microseconds(std::chrono::hours(1'000)).count());
constexpr Duration ClockError = std::chrono::seconds(3); ///< of the clock in reports of capacity
constexpr std::uint64_t MissingShare = 20;               ///< one of so many runs is missing in lists that are not complete
constexpr Duration LateList = milliseconds(100);         ///< by which a list that is late arrives after the next one

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

Duration costOf(const SchedulerCosts &costs, const SchedulerInput &input)
{
    if (std::holds_alternative<CapacityReported>(input)) {
        return costs.capacityReport;
    }
    if (std::holds_alternative<QueueJobSubmitted>(input)) {
        return costs.job;
    }
    return std::holds_alternative<RunReported>(input) ? costs.runReport : Duration::zero();
}

Duration costOf(const SchedulerCosts &costs, const SchedulerOutput &output)
{
    if (std::holds_alternative<AnswerQueueJob>(output)) {
        return costs.job;
    }
    const bool isSent = std::holds_alternative<SendBatch>(output) || std::holds_alternative<RenewBatches>(output)
        || std::holds_alternative<RecallBatch>(output);
    return isSent ? costs.batch : Duration::zero();
}

} // namespace

/** A scheduler process and its incarnation, which changes when it is killed and when it restarts. */
struct PoolSimulation::SchedulerNode {
    std::uint64_t incarnation = 0;
    bool up = false;
    std::unique_ptr<SchedulerMachine> machine;
    std::uint64_t timer = 0;
    bool frozen = false;
    std::vector<std::function<void()>> inputs; ///< that arrived while it was frozen
    std::set<BatchNumber> recalls;             ///< batches whose recall is repeated if its exchange is interrupted
    std::vector<SchedulerInput> unread;        ///< that arrived while it was busy
    bool busy = false;
    SchedulerUsage usage;
    Duration outputCost{}; ///< processor time of the last outputs, if it has been busy since then
};

/** When a guard reported its capacity to a scheduler, and whether it will again. */
struct PoolSimulation::ReportPace {
    MonotonicTime reportedAt;
    bool isPending = false;
};

/** A guard process and the runner beside it. The incarnation is that of the guard. */
struct PoolSimulation::GuardNode {
    std::uint64_t incarnation = 0;
    bool up = false;
    std::unique_ptr<GuardMachine> machine;
    CapacityReport capacityReport;    ///< last report of the guard
    std::vector<CrashNotice> crashes; ///< of its runner that this incarnation of the guard has told
    std::uint64_t timer = 0;
    bool frozen = false;
    std::vector<std::function<void()>> inputs;           ///< that arrived while it was frozen
    std::map<std::uint32_t, BatchNumber> highestBatches; ///< highest batch received, by scheduler
    std::map<RunId, TaskSize> sizes;                     ///< size of every run that the guard was sent
    std::map<RunId, MonotonicTime> receivedAt;           ///< when the guard was sent a run that it has not started yet
    std::map<std::uint32_t, ReportPace> paces;           ///< reports of capacity, by scheduler
    std::map<std::uint32_t, Duration> reportIntervals;   ///< as the schedulers asked
    PoolRunner runner;
    TaskSize capacity = ZeroTaskSize;      ///< of the runner
    TaskSize capacityLimit = ZeroTaskSize; ///< capacity that starts must keep to: a smaller one counts once the guard can know of it
    bool runnerUp = true;
    MonotonicTime runnerSilentUntil; ///< orders to the runner are neither executed nor answered until then
    Duration straggling{};           ///< from then until the last of them is executed
    std::uint64_t sequence = 0;
    std::uint64_t runnerTimer = 0;
    std::set<RenewalNumber> pendingRenewals; ///< renewals that the runner has not answered yet; it waits for the end of a run
    bool isListingScheduled = false;
    MonotonicTime pathBrokenUntil;            ///< connections to the runner are reset and refused until then
    MonotonicTime answersLostUntil;           ///< the runner executes orders, but its answers are lost until then
    RenewalNumber lastRenewal;                ///< that the guard sent
    std::optional<MonotonicTime> leavesAt;    ///< end of the runner, if it has announced one
    FencingToken firstToken;                  ///< of this incarnation of the guard
    std::set<RunId> ownRuns;                  ///< runs that this incarnation of the guard ordered to start
    std::optional<std::int64_t> foreignStart; ///< boot that another writer announced
    std::set<std::pair<std::pair<std::uint32_t, std::uint64_t>, BatchNumber>> receivedBatches; ///< by scheduler and its incarnation
};

/** An open exchange between a scheduler and a guard that carries one batch and its reports. */
struct PoolSimulation::Exchange {
    std::uint32_t scheduler = 0;
    std::uint64_t schedulerIncarnation = 0;
    std::uint32_t worker = 0;
    std::uint64_t guardIncarnation = 0;
    BatchNumber batch;
    MonotonicTime lastReport;          ///< arrival time of the last report; later reports arrive no earlier, so they stay in order
    MonotonicTime arrivesAt;           ///< arrival time of the batch; its end arrives no earlier
    bool schedulerGone = false;        ///< it has ended for the scheduler, but not for the guard
    std::optional<RecallBatch> recall; ///< what the scheduler repeats if the exchange is interrupted
};

/** A caller that waits for the answer to its job. */
struct PoolSimulation::Caller {
    std::uint32_t scheduler = 0;
    QueueRecord queue;
    std::shared_ptr<const QueueJobSpec> spec;
    std::uint32_t tasks = 0;
    MonotonicTime sentAt;
    Duration objective{};
    Duration runTime{}; ///< of each task
};

PoolSimulation::PoolSimulation(PoolSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_loadRandom(m_settings.seed + 1)
{
    for (std::uint32_t index = 0; index < m_settings.workers; ++index) {
        m_guards.push_back(std::make_unique<GuardNode>());
        m_guards[index]->runner = PoolRunner(m_settings.rulesOff);
        m_guards[index]->runner.restart(m_now);
        auto capacity = m_settings.capacity;
        const auto factor = m_settings.capacityFactor ? m_settings.capacityFactor(index) : 1;
        capacity.cores = MilliCores(std::llround(static_cast<double>(capacity.cores.value()) * factor));
        m_guards[index]->capacity = m_guards[index]->capacityLimit = capacity;
        startGuard(index);
        announce(index);
    }
    for (std::uint32_t index = 0; index < m_settings.schedulers; ++index) {
        m_schedulers.push_back(std::make_unique<SchedulerNode>());
        startScheduler(index);
    }
}

PoolSimulation::~PoolSimulation() = default;

Duration PoolSimulation::randomDelay()
{
    return Duration(std::uniform_int_distribution<std::int64_t>(300, 2'000)(m_random));
}

bool PoolSimulation::isOff(PoolRule rule) const
{
    return m_settings.rulesOff.contains(rule);
}

bool PoolSimulation::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

StepContext PoolSimulation::context()
{
    return {m_now, WallTime(m_now.time_since_epoch()), m_random()};
}

void PoolSimulation::at(Duration time, std::function<void()> action)
{
    m_events.push({m_start + time, ++m_lastEvent, std::move(action)});
}

void PoolSimulation::runUntil(Duration time)
{
    while (!m_events.empty() && m_events.top().at <= m_start + time) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, event.at);
        event.action();
    }
    m_now = m_start + time;
}

void PoolSimulation::deliver(
    std::uint32_t scheduler, std::uint32_t worker, MonotonicTime arrival, std::function<void(bool wasHeldUp)> action, bool wasHeldUp)
{
    at(arrival - m_start, [this, scheduler, worker, action = std::move(action), wasHeldUp] {
        if (const auto held = m_heldUpUntil.find({scheduler, worker}); held != m_heldUpUntil.end() && held->second > m_now) {
            deliver(scheduler, worker, held->second, action, true);
            return;
        }
        action(wasHeldUp);
    });
}

template<typename Node>
void PoolSimulation::whenAwake(Node &node, std::function<void()> action)
{
    if (node.frozen) {
        node.inputs.emplace_back(std::move(action));
    } else {
        action();
    }
}

template<typename Node>
void PoolSimulation::freeze(Node &node, Duration duration)
{
    node.frozen = true;
    at(m_now - m_start + duration, [this, &node, incarnation = node.incarnation] {
        if (node.incarnation != incarnation) {
            return;
        }
        node.frozen = false;
        for (const auto &input : std::exchange(node.inputs, {})) {
            input();
        }
    });
}

ZoneName PoolSimulation::zoneOf(std::uint32_t index) const
{
    return ZoneName("zone-" + std::to_string(index % m_settings.zones));
}

bool PoolSimulation::isFollowed(std::uint32_t worker, std::uint32_t scheduler)
{
    if (m_settings.followedWorkers >= m_settings.workers) {
        return true;
    }
    if (m_followed.empty()) {
        GuardSubset::Guards guards;
        for (std::uint32_t index = 0; index < m_settings.workers; ++index) {
            const AgentName agent("W" + std::to_string(index));
            guards[agent] = {agent, {}, zoneOf(index)};
        }
        for (std::uint32_t index = 0; index < m_settings.schedulers; ++index) {
            const GuardSubset subset(EntryName("S" + std::to_string(index)), zoneOf(index), m_settings.followedWorkers);
            m_followed.push_back(subset.choose(guards, {}));
        }
    }
    return m_followed[scheduler].contains(AgentName("W" + std::to_string(worker)));
}

void PoolSimulation::startScheduler(std::uint32_t index)
{
    auto &node = *m_schedulers[index];
    ++node.incarnation;
    node.up = true;
    SchedulerSettings settings;
    settings.name = EntryName("S" + std::to_string(index));
    settings.incarnation = Incarnation(node.incarnation);
    settings.shedding = m_settings.shedding;
    node.recalls.clear();
    node.unread.clear();
    node.busy = false;
    node.machine = std::make_unique<SchedulerMachine>(settings);
    auto queues = std::make_shared<QueueSet>();
    queues->version = Revision(1);
    stepScheduler(index, QueuesRead{queues});
    for (std::uint32_t worker = 0; worker < m_guards.size(); ++worker) {
        m_guards[worker]->highestBatches.erase(index);
        reportCapacity(worker, index);
        for (const auto &notice : m_guards[worker]->crashes) {
            reportCrash(worker, index, notice);
        }
    }
}

void PoolSimulation::startGuard(std::uint32_t index)
{
    auto &node = *m_guards[index];
    ++node.incarnation;
    node.up = true;
    GuardSettings settings;
    settings.incarnation = Incarnation(node.incarnation * m_settings.workers + index + 1);
    settings.firstToken = FencingToken(static_cast<std::int64_t>(node.incarnation * TokenStep));
    settings.zone = zoneOf(index);
    settings.evacuateWithin = m_settings.evacuateWithin;
    settings.drainWithin = m_settings.drainWithin;
    node.firstToken = settings.firstToken;
    node.ownRuns.clear();
    node.receivedBatches.clear();
    node.machine = std::make_unique<GuardMachine>(settings);
    node.capacityReport = {};
    node.crashes.clear();
    node.highestBatches.clear();
    node.pendingRenewals.clear();
    stepGuard(index, Tick{});
    if (m_settings.evacuateWithin > Duration::zero() && m_settings.guardsReachStore) {
        at(m_now - m_start + OrderTimeout, [this, index] { stepGuard(index, m_evacuations); });
    }
}

void PoolSimulation::announce(std::uint32_t worker)
{
    auto &node = *m_guards[worker];
    at(m_now - m_start + AnnounceInterval, [this, worker] { announce(worker); });
    if (!node.up || !node.runnerUp || std::max(node.runnerSilentUntil, node.answersLostUntil) > m_now) {
        return;
    }
    ++node.sequence;
    stepGuard(worker, announcementOf(worker));
    if (!node.frozen) {
        at(m_now - m_start + OrderTimeout, [&node, capacity = node.capacity] { node.capacityLimit = capacity; });
    }
}

UpstreamAnnounced PoolSimulation::announcementOf(std::uint32_t worker) const
{
    const auto &node = *m_guards[worker];
    UpstreamAnnounced announced;
    announced.incarnation = {"R" + std::to_string(worker), node.runner.startTimeMs()};
    announced.service = ServiceName("service");
    announced.capacity = node.capacity;
    announced.clock = node.runner.clock(m_now);
    announced.sequence = node.sequence;
    if (node.leavesAt) {
        announced.leaving = true;
        announced.leavesAfter = *node.leavesAt - m_now;
    }
    return announced;
}

void PoolSimulation::deliverDelayedGoodbye(std::uint32_t worker)
{
    stepGuard(worker, UpstreamLeft{"R" + std::to_string(worker)});
}

void PoolSimulation::deliverForeignAnnouncement(std::uint32_t worker, std::int64_t startTimeMs)
{
    auto announced = announcementOf(worker);
    announced.incarnation.startTimeMs = startTimeMs;
    if (isOff(PoolRule::ListNamesBoot)) {
        m_guards[worker]->foreignStart = startTimeMs;
    }
    stepGuard(worker, announced);
}

void PoolSimulation::stepScheduler(std::uint32_t index, SchedulerInput input)
{
    auto &node = *m_schedulers[index];
    if (!node.up) {
        return;
    }
    if (node.frozen) {
        node.inputs.emplace_back([this, index, input = std::move(input)] { stepScheduler(index, input); });
        return;
    }
    if (m_settings.schedulerCosts.batch > Duration::zero()) {
        node.usage.reports += std::holds_alternative<CapacityReported>(input) ? 1 : 0;
        node.unread.push_back(std::move(input));
        if (!node.busy) {
            workScheduler(index);
        }
        return;
    }
    SchedulerOutputs outputs;
    node.machine->step(context(), std::move(input), outputs);
    for (const auto &output : outputs) {
        applySchedulerOutput(index, output);
    }
}

void PoolSimulation::workScheduler(std::uint32_t index)
{
    auto &node = *m_schedulers[index];
    node.busy = !node.unread.empty();
    if (!node.busy) {
        node.outputCost = Duration::zero();
        return;
    }
    // All that has arrived is read in one round. Of the reports of a guard only the newest is decoded.
    auto inputs = std::make_shared<std::vector<SchedulerInput>>();
    std::set<AgentName> decoded;
    std::ranges::reverse(node.unread);
    for (auto &unread : node.unread) {
        const auto *report = std::get_if<CapacityReported>(&unread);
        if (report == nullptr || decoded.insert(report->agent).second) {
            inputs->push_back(std::move(unread));
        }
    }
    std::ranges::reverse(*inputs);
    node.unread.clear();
    const auto factor = m_settings.costFactor ? m_settings.costFactor(index) : 1;
    Duration cost{};
    for (const auto &input : *inputs) {
        cost += scaled(costOf(m_settings.schedulerCosts, input), factor);
        node.usage.decoded += std::holds_alternative<CapacityReported>(input) ? 1 : 0;
        node.usage.runReports += std::holds_alternative<RunReported>(input) ? 1 : 0;
    }
    node.usage.busy += cost;
    const auto isSame = [this, index, incarnation = node.incarnation] {
        return m_schedulers[index]->incarnation == incarnation;
    };
    at(m_now - m_start + cost, [this, index, inputs, isSame, factor, lag = cost + node.outputCost] {
        if (!isSame()) {
            return;
        }
        auto &worked = *m_schedulers[index];
        SchedulerOutputs outputs;
        auto stepped = context();
        stepped.lag = lag;
        worked.machine->step(stepped, *inputs, outputs);
        worked.outputCost = Duration::zero();
        for (const auto &output : outputs) {
            worked.outputCost += scaled(costOf(m_settings.schedulerCosts, output), factor);
            worked.usage.batches += std::holds_alternative<SendBatch>(output) ? 1 : 0;
            worked.usage.renewals += std::holds_alternative<RenewBatches>(output) || std::holds_alternative<RecallBatch>(output) ? 1 : 0;
            at(m_now - m_start + worked.outputCost, [this, index, output, isSame] {
                if (isSame()) {
                    applySchedulerOutput(index, output);
                }
            });
        }
        worked.usage.busy += worked.outputCost;
        at(m_now - m_start + worked.outputCost, [this, index, isSame] {
            if (isSame()) {
                workScheduler(index);
            }
        });
    });
}

void PoolSimulation::stepGuard(std::uint32_t index, GuardInput input)
{
    auto &node = *m_guards[index];
    if (!node.up) {
        return;
    }
    if (node.frozen) {
        node.inputs.emplace_back([this, index, input = std::move(input)] { stepGuard(index, input); });
        return;
    }
    GuardOutputs outputs;
    node.machine->step(context(), std::move(input), outputs);
    for (const auto &output : outputs) {
        applyGuardOutput(index, output);
    }
}

void PoolSimulation::applySchedulerOutput(std::uint32_t scheduler, const SchedulerOutput &output)
{
    auto &node = *m_schedulers[scheduler];
    if (const auto *batch = std::get_if<SendBatch>(&output)) {
        deliverBatch(scheduler, *batch);
    } else if (const auto *renewed = std::get_if<RenewBatches>(&output)) {
        const auto worker = static_cast<std::uint32_t>(std::stoul(renewed->agent.value().substr(1)));
        auto renewal = renewed->renewal;
        if (isOff(PoolRule::RenewalTime)) {
            renewal.leaseUntil = Never;
        }
        deliver(scheduler, worker, m_now + randomDelay(), [this, worker, renewal](bool /*wasHeldUp*/) {
            stepGuard(worker, BatchesRenewed{renewal});
        });
    } else if (const auto *recall = std::get_if<RecallBatch>(&output)) {
        endExchange(scheduler, recall->recall.batch);
        node.recalls.insert(recall->recall.batch);
        deliverRecall(scheduler, *recall);
    } else if (const auto *cancel = std::get_if<CancelBatch>(&output)) {
        node.recalls.erase(cancel->batch);
        endExchange(scheduler, cancel->batch);
    } else if (const auto *answered = std::get_if<AnswerQueueJob>(&output)) {
        answer(*answered);
    } else if (const auto *timer = std::get_if<SetTimer>(&output)) {
        const auto number = ++node.timer;
        at(std::max(timer->at, m_now) - m_start, [this, scheduler, number, incarnation = node.incarnation] {
            if (m_schedulers[scheduler]->timer == number && m_schedulers[scheduler]->incarnation == incarnation) {
                stepScheduler(scheduler, Tick{});
            }
        });
    }
}

void PoolSimulation::deliverBatch(std::uint32_t scheduler, const SendBatch &output)
{
    const auto worker = static_cast<std::uint32_t>(std::stoul(output.agent.value().substr(1)));
    const auto number = ++m_lastExchange;
    auto &exchange = m_exchanges[number];
    exchange.scheduler = scheduler;
    exchange.schedulerIncarnation = m_schedulers[scheduler]->incarnation;
    exchange.worker = worker;
    exchange.guardIncarnation = m_guards[worker]->incarnation;
    exchange.batch = output.batch.batch;
    exchange.lastReport = m_now;
    exchange.arrivesAt = m_now + randomDelay();
    const auto held = m_batchesHeldUpUntil.find({scheduler, worker});
    const bool isHeldUp = held != m_batchesHeldUpUntil.end() && held->second > exchange.arrivesAt;
    if (isHeldUp) {
        exchange.arrivesAt = held->second;
    }
    deliver(
        scheduler,
        worker,
        exchange.arrivesAt,
        [this, number, exchange, batch = output.batch](bool wasHeldUp) { receiveBatch(number, exchange, batch, wasHeldUp); },
        isHeldUp);
}

StartBatch PoolSimulation::arriving(std::uint32_t worker, StartBatch batch) const
{
    if (isOff(PoolRule::ReceiveBy)) {
        batch.receiveBy = Never;
    }
    if (isOff(PoolRule::BatchLease)) {
        batch.leaseUntil = Never;
    }
    if (isOff(PoolRule::Expiry)) {
        batch.expiresAt = Never;
    }
    if (isOff(PoolRule::BatchIncarnation)) {
        batch.guard = m_guards[worker]->capacityReport.incarnation;
    }
    for (auto &order : batch.orders) {
        if (isOff(PoolRule::StartWithin)) {
            order.startWithin = std::chrono::hours(1);
        }
        if (isOff(PoolRule::RunLimit)) {
            order.runLimit = std::chrono::hours(1);
        }
    }
    return batch;
}

void PoolSimulation::receiveBatch(std::uint64_t number, const Exchange &sent, const StartBatch &batch, bool wasHeldUp)
{
    const auto found = m_exchanges.find(number);
    auto &guard = *m_guards[sent.worker];
    // A batch that was held up arrives even if the scheduler has closed its exchange; the close arrives after it.
    const bool isSameGuard = guard.incarnation == sent.guardIncarnation || isOff(PoolRule::BatchIncarnation);
    if (found == m_exchanges.end() && (!wasHeldUp || !guard.up || !isSameGuard)) {
        return;
    }
    if (!guard.up) {
        breakExchange(number, !found->second.schedulerGone, false);
        return;
    }
    if (found != m_exchanges.end()) {
        found->second.guardIncarnation = guard.incarnation;
    }
    const auto incarnation = sent.schedulerIncarnation;
    whenAwake(guard,
              [this, &guard, number, incarnation, batch = arriving(sent.worker, batch), scheduler = sent.scheduler, worker = sent.worker] {
                  guard.receivedBatches.insert({{scheduler, incarnation}, batch.batch});
                  guard.highestBatches[scheduler] = std::max(guard.highestBatches[scheduler], batch.batch);
                  guard.reportIntervals[scheduler] = batch.reportInterval;
                  for (const auto &order : batch.orders) {
                      guard.sizes[order.run] = order.size;
                      guard.receivedAt[order.run] = m_now;
                  }
                  stepGuard(worker, BatchReceived{ConnectionId(number), batch});
              });
}

void PoolSimulation::endExchange(std::uint32_t scheduler, BatchNumber batch)
{
    const auto found = std::ranges::find_if(m_exchanges, [&](const auto &item) {
        return item.second.scheduler == scheduler && item.second.schedulerIncarnation == m_schedulers[scheduler]->incarnation
            && item.second.batch == batch && !item.second.schedulerGone;
    });
    if (found != m_exchanges.end()) {
        breakExchange(found->first, false, true);
    }
}

void PoolSimulation::deliverRecall(std::uint32_t scheduler, const RecallBatch &output)
{
    const auto &node = *m_schedulers[scheduler];
    const auto worker = static_cast<std::uint32_t>(std::stoul(output.agent.value().substr(1)));
    if (!node.recalls.contains(output.recall.batch)) {
        return;
    }
    const auto number = ++m_lastExchange;
    auto &exchange = m_exchanges[number];
    exchange.scheduler = scheduler;
    exchange.schedulerIncarnation = node.incarnation;
    exchange.worker = worker;
    exchange.guardIncarnation = m_guards[worker]->incarnation;
    exchange.batch = output.recall.batch;
    exchange.lastReport = m_now;
    exchange.arrivesAt = m_now + randomDelay();
    exchange.recall = output;
    deliver(scheduler, worker, exchange.arrivesAt, [this, number, worker, recall = output.recall](bool /*wasHeldUp*/) {
        const auto found = m_exchanges.find(number);
        if (found == m_exchanges.end()) {
            return;
        }
        auto &guard = *m_guards[worker];
        if (!guard.up) {
            breakExchange(number, !found->second.schedulerGone, false);
            return;
        }
        found->second.guardIncarnation = guard.incarnation;
        const auto sent = found->second;
        const bool isReceived = guard.receivedBatches.contains({{sent.scheduler, sent.schedulerIncarnation}, sent.batch});
        if (isOff(PoolRule::RecallAnswer) || (isOff(PoolRule::RecallMemory) && !isReceived)) {
            m_exchanges.erase(found);
            answerRecall(sent);
            return;
        }
        auto arrived = recall;
        if (isOff(PoolRule::RecallIncarnation)) {
            arrived.guard = guard.capacityReport.incarnation;
        }
        stepGuard(worker, RecallReceived{ConnectionId(number), arrived});
    });
}

void PoolSimulation::answerRecall(const Exchange &exchange)
{
    deliver(exchange.scheduler, exchange.worker, m_now + randomDelay(), [this, exchange](bool /*wasHeldUp*/) {
        for (std::uint32_t order = 0; order < exchange.recall->recall.orders; ++order) {
            if (m_schedulers[exchange.scheduler]->incarnation == exchange.schedulerIncarnation) {
                RunReport report;
                report.order = order;
                report.error = ErrorKind::Tombstoned;
                stepScheduler(exchange.scheduler, RunReported{exchange.batch, report});
            }
        }
    });
}

void PoolSimulation::breakExchange(std::uint64_t number, bool notifyScheduler, bool notifyGuard)
{
    const auto exchange = m_exchanges.at(number);
    m_exchanges.erase(number);
    if (notifyScheduler) {
        interruptBatch(exchange);
    }
    if (notifyGuard) {
        abandonBatch(number, exchange, m_now + randomDelay());
    }
}

void PoolSimulation::interruptBatch(const Exchange &exchange)
{
    at(m_now - m_start + randomDelay(), [this, exchange] {
        if (m_schedulers[exchange.scheduler]->incarnation != exchange.schedulerIncarnation) {
            return;
        }
        if (!exchange.recall) {
            stepScheduler(exchange.scheduler, BatchInterrupted{exchange.batch, Delivery::Unknown});
            return;
        }
        at(m_now - m_start + RecallInterval, [this, exchange] {
            if (m_schedulers[exchange.scheduler]->incarnation == exchange.schedulerIncarnation) {
                deliverRecall(exchange.scheduler, *exchange.recall);
            }
        });
    });
}

void PoolSimulation::abandonBatch(std::uint64_t number, const Exchange &exchange, MonotonicTime arrival)
{
    if (isOff(PoolRule::HangUp)) {
        return;
    }
    deliver(exchange.scheduler, exchange.worker, std::max(arrival, exchange.arrivesAt), [this, exchange, number](bool /*wasHeldUp*/) {
        if (m_guards[exchange.worker]->incarnation == exchange.guardIncarnation) {
            stepGuard(exchange.worker, BatchAbandoned{ConnectionId(number)});
        }
    });
}

void PoolSimulation::sendOrder(std::uint32_t worker, bool isStart, const std::function<void(OrderEvent)> &handleEvent)
{
    const auto incarnation = m_guards[worker]->incarnation;
    const auto startTimeMs = m_guards[worker]->runner.startTimeMs();
    const auto isSameIncarnation = [this, worker, incarnation, startTimeMs] {
        return m_guards[worker]->incarnation == incarnation && m_guards[worker]->runnerUp
            && m_guards[worker]->runner.startTimeMs() == startTimeMs;
    };
    if (const auto silentUntil = m_guards[worker]->runnerSilentUntil; silentUntil > m_now) {
        const auto longest = m_guards[worker]->straggling.count();
        const Duration late(longest > 0 ? std::uniform_int_distribution<std::int64_t>(0, longest)(m_random) : 0);
        if (isStart || longest == 0) {
            at(silentUntil - m_start + late, [this, worker, startTimeMs, handleEvent] {
                if (m_guards[worker]->runnerUp && m_guards[worker]->runner.startTimeMs() == startTimeMs) {
                    handleEvent(OrderEvent::Execute);
                }
            });
        }
        at(m_now - m_start + OrderTimeout, [this, worker, incarnation, handleEvent] {
            if (m_guards[worker]->incarnation == incarnation) {
                handleEvent(OrderEvent::Timeout);
            }
        });
        return;
    }
    if (chance(m_settings.lostOrders)) {
        if (chance(0.5)) {
            // A delayed order is executed even if the guard that sent it has restarted since.
            const auto late = std::uniform_int_distribution<std::int64_t>(0, MaxOrderDelay.count())(m_random);
            at(m_now - m_start + Duration(late), [this, worker, startTimeMs, handleEvent] {
                if (m_guards[worker]->runnerUp && m_guards[worker]->runner.startTimeMs() == startTimeMs) {
                    handleEvent(OrderEvent::Execute);
                }
            });
        }
        at(m_now - m_start + OrderTimeout, [this, worker, incarnation, handleEvent] {
            if (m_guards[worker]->incarnation == incarnation) {
                handleEvent(OrderEvent::Timeout);
            }
        });
        return;
    }
    // Drawn only if answers can get lost, so that the random sequence of all other simulations does not change.
    const bool answerLost = m_guards[worker]->answersLostUntil > m_now || (m_settings.lostAnswers > 0 && chance(m_settings.lostAnswers));
    at(m_now - m_start + Duration(200), [handleEvent, isSameIncarnation, this, worker, incarnation, answerLost] {
        if (isSameIncarnation()) {
            handleEvent(OrderEvent::Execute);
        }
        at(m_now - m_start + (answerLost ? OrderTimeout : Duration(200)), [handleEvent, this, worker, incarnation, answerLost] {
            if (m_guards[worker]->incarnation == incarnation) {
                handleEvent(answerLost ? OrderEvent::Timeout : OrderEvent::Answer);
            }
        });
    });
}

void PoolSimulation::applyGuardOutput(std::uint32_t worker, const GuardOutput &output)
{
    auto &node = *m_guards[worker];
    if (const auto *start = std::get_if<StartRun>(&output)) {
        if (const auto received = node.receivedAt.find(start->run); received != node.receivedAt.end()) {
            m_guardWaits.push_back(m_now - received->second);
            node.receivedAt.erase(received);
        }
        node.ownRuns.insert(start->run);
        // The runner executes the order and answers it at different times; there is an answer only if it was executed before.
        auto answer = std::make_shared<std::optional<StartAnswer>>();
        auto sent = *start;
        if (isOff(PoolRule::RaisedToken)) {
            sent.token = node.firstToken;
        }
        sendOrder(worker, true, [this, worker, order = sent, answer](OrderEvent orderEvent) {
            if (orderEvent != OrderEvent::Execute) {
                const auto reported = orderEvent == OrderEvent::Answer ? answer->value_or(StartAnswer::NoAnswer) : StartAnswer::NoAnswer;
                *answer = StartAnswer::NoAnswer;
                stepGuard(worker, RunStartAnswered{order.run, reported});
                return;
            }
            auto &guard = *m_guards[worker];
            const RunnerStart runnerStart{order.run, order.payload, worker};
            RunnerRun run;
            run.endsAt = m_now + milliseconds(50);
            if (m_settings.customizeRun) {
                run.endsAt = m_now;
                m_settings.customizeRun(runnerStart, run);
            }
            const bool before = guard.runner.isRunning(order.run);
            const bool fitsIn
                = before || !m_settings.runnersCheckCapacity || fits(guard.sizes[order.run], guard.capacity - usedCapacity(worker));
            const auto result
                = fitsIn ? guard.runner.start(m_now, runnerStart, order.leaseUntil, order.token, run) : StartAnswer::InsufficientCapacity;
            if (result == StartAnswer::Started && !before) {
                recordRunStart(worker, runnerStart);
                if (run.crashesAfter) {
                    scheduleCrash(worker, order.run, *run.crashesAfter);
                }
            }
            if (!answer->has_value()) {
                *answer = result;
            }
            setRunnerTimer(worker);
        });
    } else if (const auto *stop = std::get_if<StopRun>(&output)) {
        auto done = std::make_shared<bool>(false);
        auto sent = *stop;
        if (isOff(PoolRule::RaisedToken)) {
            sent.token = node.firstToken;
        }
        sendOrder(worker, false, [this, worker, order = sent, done](OrderEvent orderEvent) {
            if (orderEvent != OrderEvent::Execute) {
                const bool isConfirmed = (*done && orderEvent == OrderEvent::Answer) || isOff(PoolRule::StopConfirmed);
                stepGuard(worker, RunStopAnswered{order.run, isConfirmed});
                return;
            }
            auto &guard = *m_guards[worker];
            const bool before = guard.runner.isRunning(order.run);
            guard.runner.stop(m_now, order.run, order.token);
            *done = true;
            if (before && !guard.runner.isRunning(order.run)) {
                recordRunEnd(worker, order.run);
                scheduleListing(worker);
            }
        });
    } else if (const auto *sent = std::get_if<RenewLease>(&output)) {
        auto arrived = *sent;
        const auto *renewal = &arrived;
        node.lastRenewal = arrived.number;
        if (isOff(PoolRule::RaisedToken)) {
            arrived.token = node.firstToken;
        }
        if (isOff(PoolRule::SilenceEndsLease) && arrived.leaseUntil.value() == 0) {
            arrived.leaseUntil = UpstreamTime(Never.value());
        }
        const auto incarnation = node.incarnation;
        const bool isSilent = node.runnerSilentUntil > m_now;
        if (isSilent) {
            at(node.runnerSilentUntil - m_start, [this, worker, order = *renewal, startTimeMs = node.runner.startTimeMs()] {
                auto &runner = m_guards[worker]->runner;
                if (m_guards[worker]->runnerUp && runner.startTimeMs() == startTimeMs) {
                    runner.renew(m_now, order.leaseUntil, order.token, order.acknowledged);
                    setRunnerTimer(worker);
                }
            });
        }
        const bool isMute = node.answersLostUntil > m_now;
        if (isMute && node.runnerUp && !isSilent) {
            node.runner.renew(m_now, renewal->leaseUntil, renewal->token, renewal->acknowledged);
            setRunnerTimer(worker);
        }
        if (isSilent || isMute || chance(m_settings.lostOrders) || !node.runnerUp) {
            const bool isPathBroken = node.pathBrokenUntil > m_now;
            const auto noticedAfter = node.runnerUp && !isPathBroken ? renewal->wait + OrderTimeout : ResetNotice;
            // A path that lies about the runner's end refuses probes and breaks connections.
            const bool isBroken = !node.runnerUp || isPathBroken || isOff(PoolRule::ProbeIsRefused);
            const auto unnamed = isBroken ? RenewalFailure::Disconnected : RenewalFailure::NoAnswer;
            const auto failure = isOff(PoolRule::RefusalNamesBoot) ? RenewalFailure::OtherIncarnation : unnamed;
            at(m_now - m_start + noticedAfter, [this, worker, incarnation, number = renewal->number, failure] {
                if (m_guards[worker]->incarnation == incarnation) {
                    stepGuard(worker, RenewalUnanswered{number, failure});
                }
            });
            return;
        }
        node.runner.renew(m_now, renewal->leaseUntil, renewal->token, renewal->acknowledged);
        setRunnerTimer(worker);
        node.pendingRenewals.insert(renewal->number);
        if (!node.runner.ended().empty()) {
            scheduleListing(worker);
        } else {
            at(m_now - m_start + renewal->wait, [this, worker, incarnation, number = renewal->number] {
                auto &guard = *m_guards[worker];
                if (guard.incarnation == incarnation && guard.pendingRenewals.contains(number)) {
                    scheduleListing(worker);
                }
            });
        }
    } else if (const auto *report = std::get_if<ReportRun>(&output)) {
        const auto found = m_exchanges.find(report->connection.value());
        if (found == m_exchanges.end() || found->second.schedulerGone) {
            return;
        }
        auto &exchange = found->second;
        exchange.lastReport = std::max(exchange.lastReport, m_now + randomDelay());
        deliver(exchange.scheduler, worker, exchange.lastReport, [this, exchange, content = report->report](bool /*wasHeldUp*/) {
            if (m_schedulers[exchange.scheduler]->incarnation == exchange.schedulerIncarnation) {
                stepScheduler(exchange.scheduler, RunReported{exchange.batch, content});
            }
        });
    } else if (const auto *end = std::get_if<EndBatch>(&output)) {
        m_exchanges.erase(end->connection.value());
    } else if (const auto *changed = std::get_if<CapacityChanged>(&output)) {
        node.capacityReport = changed->report;
        for (std::uint32_t scheduler = 0; scheduler < m_schedulers.size(); ++scheduler) {
            if (m_settings.schedulerCosts.batch > Duration::zero()) {
                gatherReports(worker, scheduler);
            } else {
                reportCapacity(worker, scheduler);
            }
        }
    } else if (const auto *crash = std::get_if<UpstreamCrashed>(&output)) {
        node.crashes.push_back(crash->notice);
        for (std::uint32_t scheduler = 0; scheduler < m_schedulers.size(); ++scheduler) {
            reportCrash(worker, scheduler, crash->notice);
        }
    } else if (std::holds_alternative<ProbeListener>(output)) {
        probeListener(worker);
    } else if (const auto *timer = std::get_if<SetTimer>(&output)) {
        const auto number = ++node.timer;
        at(std::max(timer->at, m_now) - m_start, [this, worker, number, incarnation = node.incarnation] {
            if (m_guards[worker]->timer == number && m_guards[worker]->incarnation == incarnation) {
                stepGuard(worker, Tick{});
            }
        });
    }
}

void PoolSimulation::reportCrash(std::uint32_t worker, std::uint32_t scheduler, const CrashNotice &notice)
{
    if (!isFollowed(worker, scheduler)) {
        return;
    }
    deliver(scheduler, worker, m_now + randomDelay(), [this, worker, scheduler, notice](bool /*wasHeldUp*/) {
        stepScheduler(scheduler, CrashReported{AgentName("W" + std::to_string(worker)), notice});
    });
}

void PoolSimulation::probeListener(std::uint32_t worker)
{
    const auto &node = *m_guards[worker];
    const bool isRefused = node.pathBrokenUntil > m_now;
    const bool isSilent = !isRefused && std::max(node.runnerSilentUntil, node.answersLostUntil) > m_now;
    at(m_now - m_start + (isSilent ? OrderTimeout : Duration(200)), [this, worker, isSilent, isRefused, incarnation = node.incarnation] {
        if (const auto &guard = *m_guards[worker]; guard.incarnation == incarnation) {
            stepGuard(worker, ListenerProbed{isRefused || (!isSilent && !guard.runnerUp) || isOff(PoolRule::ProbeIsRefused)});
        }
    });
}

void PoolSimulation::scheduleCrash(std::uint32_t worker, const RunId &run, Duration delay)
{
    at(m_now - m_start + delay, [this, worker, run] {
        if (m_guards[worker]->runner.isRunning(run)) {
            ++m_crashCounts[run.task];
            crashRunner(worker);
        }
    });
}

void PoolSimulation::gatherReports(std::uint32_t worker, std::uint32_t scheduler)
{
    auto &pace = m_guards[worker]->paces[scheduler];
    if (std::exchange(pace.isPending, true)) {
        return;
    }
    const auto interval = std::max(MinReportInterval, m_guards[worker]->reportIntervals[scheduler]);
    at(std::max(m_now, pace.reportedAt + interval) - m_start, [this, worker, scheduler] {
        m_guards[worker]->paces[scheduler] = {m_now, false};
        reportCapacity(worker, scheduler);
    });
}

void PoolSimulation::reportCapacity(std::uint32_t worker, std::uint32_t scheduler)
{
    auto &guard = *m_guards[worker];
    if (!guard.up || scheduler >= m_schedulers.size() || !isFollowed(worker, scheduler)) {
        return;
    }
    if (guard.frozen) {
        guard.inputs.emplace_back([this, worker, scheduler] { reportCapacity(worker, scheduler); });
        return;
    }
    auto report = guard.capacityReport;
    report.clock = GuardTime(m_now.time_since_epoch().count());
    if (isOff(PoolRule::ReportClock)) {
        report.clock += GuardTime(ClockError.count());
    }
    if (const auto lastCountedBatch = guard.highestBatches.find(scheduler); lastCountedBatch != guard.highestBatches.end()) {
        report.lastCountedBatch = lastCountedBatch->second;
    }
    if (!m_settings.reportsSpeed) {
        report.runTimeRatio = report.ratioError = RunTimeRatio(0);
    }
    const auto incarnation = m_schedulers[scheduler]->incarnation;
    // A constant delay, so that the reports of one guard stay in order.
    deliver(scheduler, worker, m_now + Duration(1'200), [this, worker, scheduler, incarnation, report](bool /*wasHeldUp*/) {
        if (m_schedulers[scheduler]->incarnation == incarnation) {
            stepScheduler(scheduler, CapacityReported{AgentName("W" + std::to_string(worker)), zoneOf(worker), report});
        }
    });
}

void PoolSimulation::scheduleListing(std::uint32_t worker)
{
    auto &node = *m_guards[worker];
    if (node.pendingRenewals.empty() || std::exchange(node.isListingScheduled, true)) {
        return;
    }
    at(m_now - m_start + Duration(200), [this, worker, incarnation = node.incarnation] {
        auto &guard = *m_guards[worker];
        guard.isListingScheduled = false;
        if (guard.incarnation != incarnation || !guard.runnerUp) {
            return;
        }
        const auto listed = arrivingList(worker);
        for (const auto number : std::exchange(guard.pendingRenewals, {})) {
            auto arrived = listed;
            arrived.renewal = number;
            if (const auto foreign = std::exchange(guard.foreignStart, std::nullopt)) {
                arrived.incarnation.startTimeMs = *foreign;
                arrived.running.clear();
                arrived.ended.clear();
            }
            stepGuard(worker, arrived);
        }
        if (isOff(PoolRule::ListAskedForAfter)) {
            at(m_now - m_start + LateList, [this, worker, incarnation, listed] {
                if (m_guards[worker]->incarnation == incarnation) {
                    auto late = listed;
                    late.renewal = m_guards[worker]->lastRenewal;
                    stepGuard(worker, late);
                }
            });
        }
    });
}

UpstreamListed PoolSimulation::arrivingList(std::uint32_t worker)
{
    const auto &guard = *m_guards[worker];
    UpstreamListed listed;
    listed.incarnation = {"R" + std::to_string(worker), guard.runner.startTimeMs()};
    listed.clock = guard.runner.clock(m_now);
    listed.running = guard.runner.running();
    listed.ended = guard.runner.ended();
    if (isOff(PoolRule::EarlierRuns)) {
        std::erase_if(listed.running, [&](const RunId &run) { return !guard.ownRuns.contains(run); });
    }
    if (isOff(PoolRule::CompleteList)) {
        std::erase_if(listed.running, [this](const RunId & /*run*/) { return m_random() % MissingShare == 0; });
    }
    return listed;
}

void PoolSimulation::setRunnerTimer(std::uint32_t worker)
{
    auto &node = *m_guards[worker];
    const auto next = node.runner.nextEnd();
    if (!next) {
        return;
    }
    const auto number = ++node.runnerTimer;
    at(std::max(*next, m_now) - m_start, [this, worker, number] {
        auto &guard = *m_guards[worker];
        if (guard.runnerTimer != number || !guard.runnerUp) {
            return;
        }
        for (const auto &run : guard.runner.advance(m_now)) {
            for (const auto &ended : guard.runner.ended()) {
                if (ended.run == run && ended.outcome == RunOutcome::Done) {
                    m_completedTasks[run.task.job].insert(run.task);
                }
            }
            recordRunEnd(worker, run);
        }
        scheduleListing(worker);
        setRunnerTimer(worker);
    });
}

void PoolSimulation::recordRunStart(std::uint32_t worker, const RunnerStart &start)
{
    auto &guard = *m_guards[worker];
    const auto &task = start.run.task;
    auto &running = m_runningTasks[task];
    if (!running.empty()) {
        const auto &[otherWorker, otherNumber] = *running.begin();
        m_violations.push_back("task " + queueTaskIdToString(task) + " runs on two workers at once: run " + std::to_string(otherNumber)
                               + " on " + std::to_string(otherWorker) + ", then run " + std::to_string(start.run.number) + " on "
                               + std::to_string(worker));
    }
    running.emplace(worker, start.run.number);
    // A refusal speaks for one scheduler; another one may run the job.
    if (m_refusedJobs.contains(task.job) && !m_resubmittedJobs.contains(task.job)) {
        m_violations.push_back("job " + task.job.value() + " was refused before one of its tasks started");
    }
    ++m_startsByJob[task.job];
    m_runStarts[start.run] = m_now;
    if (const auto crashes = m_crashCounts.find(task);
        crashes != m_crashCounts.end() && crashes->second >= CrashLimit && ++m_startsAfterCrashes[task] >= StartLimit) {
        m_violations.push_back("task " + queueTaskIdToString(task) + " was started again after it has crashed "
                               + std::to_string(crashes->second) + " runners");
    }
    if (!fits(usedCapacity(worker), guard.capacityLimit)) {
        m_violations.push_back("worker " + std::to_string(worker) + " runs tasks that exceed its capacity");
    }
}

TaskSize PoolSimulation::usedCapacity(std::uint32_t worker) const
{
    const auto &guard = *m_guards[worker];
    TaskSize used = ZeroTaskSize;
    for (const auto &run : guard.runner.running()) {
        used += guard.sizes.at(run);
    }
    return used;
}

void PoolSimulation::recordRunEnd(std::uint32_t worker, const RunId &run)
{
    if (const auto started = m_runStarts.find(run); started != m_runStarts.end()) {
        const auto cores = static_cast<double>(m_guards[worker]->sizes[run].cores.value()) / 1'000;
        m_ranCoreSeconds[run.task.job] += cores * std::chrono::duration<double>(m_now - started->second).count();
        m_runStarts.erase(started);
    }
    if (const auto running = m_runningTasks.find(run.task); running != m_runningTasks.end()) {
        running->second.erase({worker, run.number});
        if (running->second.empty()) {
            m_runningTasks.erase(running);
        }
    }
}

ConnectionId PoolSimulation::submit(std::uint32_t scheduler, const PoolLoad &load, const std::string &id)
{
    std::normal_distribution<double> logarithm(0, load.logDeviation);
    const auto draw = [&] {
        const auto factor = load.logDeviation > 0 ? std::exp(logarithm(m_loadRandom)) : 1;
        return load.maxFactor > 0 ? std::min(factor, load.maxFactor) : factor;
    };
    const auto runTime = scaled(load.runTime, draw());
    const auto factor = draw();
    const auto tasks = static_cast<std::uint32_t>(std::max(1.0, std::round(load.tasks * factor)));
    auto spec = std::make_shared<QueueJobSpec>();
    spec->id = QueueJobId(id);
    spec->payload = std::to_string(runTime.count());
    QueueJobStep step;
    step.count = tasks;
    const auto coresFactor = load.coresDeviation > 0 ? std::exp(load.coresDeviation * logarithm(m_loadRandom) / load.logDeviation) : 1;
    step.size = {MilliCores(std::llround(static_cast<double>(load.cores.value()) * coresFactor)), Megabytes(64), Accelerators(0)};
    const auto error = load.estimateError * std::uniform_real_distribution<double>(-1, 1)(m_loadRandom);
    step.declaredRunTime = scaled(runTime, 1 + error);
    if (load.estimateLogDeviation > 0) {
        step.declaredRunTime
            = scaled(step.declaredRunTime, std::exp(std::normal_distribution<double>(0, load.estimateLogDeviation)(m_loadRandom)));
    }
    spec->steps.push_back(step);
    Caller caller;
    caller.queue = load.queue;
    caller.spec = spec;
    caller.tasks = tasks;
    caller.objective = scaled(runTime, load.queue.stretch) + load.queue.latencyAllowance;
    caller.runTime = runTime;
    return submit(scheduler, std::move(caller));
}

ConnectionId PoolSimulation::submit(std::uint32_t scheduler, Caller caller)
{
    const ConnectionId connection(++m_lastCaller);
    auto &counts = m_jobCounts[caller.queue.name];
    ++counts.sent;
    if (!m_schedulers[scheduler]->up) {
        ++counts.lost;
        return connection;
    }
    caller.scheduler = scheduler;
    caller.sentAt = m_now;
    m_callers[connection] = caller;
    stepScheduler(scheduler, QueueJobSubmitted{connection, std::make_shared<const QueueRecord>(caller.queue), caller.spec, {}});
    return connection;
}

void PoolSimulation::addLoad(const PoolLoad &load, Duration from, Duration until)
{
    std::exponential_distribution<double> gap(load.jobsPerSecond);
    for (auto time = from; time < until; time += Duration(static_cast<std::int64_t>(gap(m_loadRandom) * 1e6))) {
        const auto scheduler = std::uniform_int_distribution<std::uint32_t>(0, m_settings.schedulers - 1)(m_loadRandom);
        at(time, [this, scheduler, load] { submit(scheduler, load, load.queue.name.value() + "-" + std::to_string(m_lastCaller + 1)); });
    }
}

void PoolSimulation::answer(const AnswerQueueJob &answer)
{
    const auto found = m_callers.find(answer.connection);
    if (m_lostCallers.contains(answer.connection)) {
        return; // the scheduler has not noticed yet
    }
    if (found == m_callers.end()) {
        m_violations.emplace_back("a caller was answered twice or after it disconnected");
        return;
    }
    const auto caller = found->second;
    m_callers.erase(found);
    auto &counts = m_jobCounts[caller.queue.name];
    const auto held = m_now - caller.sentAt;
    const auto cores = static_cast<double>(caller.spec->steps.front().size.cores.value()) * caller.tasks / 1'000;
    m_jobRecords.push_back({caller.queue.name,
                            caller.spec->id,
                            cores * std::chrono::duration<double>(caller.runTime).count(),
                            answer.result,
                            answer.result == QueueJobResult::Complete && held <= caller.objective,
                            held,
                            caller.objective - caller.runTime,
                            answer.retryAfter,
                            caller.sentAt});
    switch (answer.result) {
    case QueueJobResult::Complete:
        ++(m_now - caller.sentAt <= caller.objective ? counts.onTime : counts.late);
        if (m_completedTasks[caller.spec->id].size() != caller.tasks) {
            m_violations.push_back("job " + caller.spec->id.value() + " is complete, but some of its tasks have not succeeded");
        }
        break;
    case QueueJobResult::Failed:
        ++counts.failed;
        counts.toldAsFailed
            += std::ranges::none_of(m_crashCounts, [&](const auto &item) { return item.first.job == caller.spec->id; }) ? 1 : 0;
        break;
    case QueueJobResult::Refused:
        ++counts.refused;
        counts.longestRefusal = std::max(counts.longestRefusal, m_now - caller.sentAt);
        m_refusedJobs.insert(caller.spec->id);
        if (m_startsByJob[caller.spec->id] > 0 && !m_resubmittedJobs.contains(caller.spec->id)) {
            m_violations.push_back("job " + caller.spec->id.value() + " was refused after one of its tasks started");
        }
        if (answer.retryAfter <= Duration::zero()) {
            m_violations.push_back("job " + caller.spec->id.value() + " was refused without a retry delay");
        }
        break;
    default:
        ++counts.lost;
        break;
    }
}

void PoolSimulation::killScheduler(std::uint32_t scheduler)
{
    auto &node = *m_schedulers[scheduler];
    node.up = false;
    node.frozen = false;
    node.inputs.clear();
    ++node.incarnation;
    std::vector<std::uint64_t> interrupted;
    for (const auto &[number, exchange] : m_exchanges) {
        if (exchange.scheduler == scheduler && !exchange.schedulerGone) {
            interrupted.push_back(number);
        }
    }
    for (const auto number : interrupted) {
        breakExchange(number, false, true);
    }
    for (const auto connection : openCallers()) {
        if (const auto &caller = m_callers.at(connection); caller.scheduler == scheduler) {
            ++m_jobCounts[caller.queue.name].lost;
            loseCaller(connection);
        }
    }
    at(m_now - m_start + RestartDelay, [this, scheduler] { startScheduler(scheduler); });
}

void PoolSimulation::killSchedulerUnseenByGuards(std::uint32_t scheduler)
{
    for (auto &[number, exchange] : m_exchanges) {
        exchange.schedulerGone = exchange.schedulerGone || exchange.scheduler == scheduler;
    }
    killScheduler(scheduler);
}

void PoolSimulation::killGuard(std::uint32_t worker)
{
    auto &node = *m_guards[worker];
    node.up = false;
    node.frozen = false;
    node.inputs.clear();
    ++node.incarnation;
    node.pendingRenewals.clear();
    std::vector<std::uint64_t> interrupted;
    for (const auto &[number, exchange] : m_exchanges) {
        if (exchange.worker == worker) {
            interrupted.push_back(number);
        }
    }
    for (const auto number : interrupted) {
        breakExchange(number, !m_exchanges.at(number).schedulerGone, false);
    }
    for (std::uint32_t scheduler = 0; scheduler < m_schedulers.size(); ++scheduler) {
        at(m_now - m_start + randomDelay(),
           [this, scheduler, worker] { stepScheduler(scheduler, WorkerUnreachable{AgentName("W" + std::to_string(worker))}); });
    }
    at(m_now - m_start + RestartDelay, [this, worker] { startGuard(worker); });
}

void PoolSimulation::crashRunner(std::uint32_t worker)
{
    auto &node = *m_guards[worker];
    if (!node.runnerUp) {
        return; // already down
    }
    for (const auto &run : node.runner.running()) {
        recordRunEnd(worker, run);
    }
    node.runnerUp = false;
    node.runner.restart(m_now);
    node.sequence = 0;
    loseRenewals(worker, ResetNotice, RenewalFailure::Disconnected);
    at(m_now - m_start + m_settings.runnerReturnTime, [this, worker] {
        m_guards[worker]->runner.restart(m_now);
        m_guards[worker]->runnerUp = true;
    });
}

void PoolSimulation::retireRunner(std::uint32_t worker, Duration remaining)
{
    auto &node = *m_guards[worker];
    if (!node.runnerUp || node.leavesAt) {
        return;
    }
    node.leavesAt = m_now + remaining;
    ++node.sequence;
    stepGuard(worker, announcementOf(worker));
    at(*node.leavesAt - m_start, [this, worker] {
        crashRunner(worker);
        m_guards[worker]->leavesAt.reset();
    });
}

void PoolSimulation::evacuate(const ZoneName &zone, bool isEvacuated)
{
    m_evacuations.version = PlatformVersion(m_evacuations.version.value() + 1);
    if (isEvacuated) {
        m_evacuations.zones[zone] = m_evacuations.version;
    } else {
        m_evacuations.zones.erase(zone);
    }
    const auto readAt = [this] {
        return m_now - m_start + Duration(std::uniform_int_distribution<std::int64_t>(0, m_settings.evacuateWithin.count())(m_random));
    };
    for (std::uint32_t worker = 0; worker < m_guards.size() && m_settings.guardsReachStore; ++worker) {
        at(readAt(), [this, worker] { stepGuard(worker, m_evacuations); });
    }
    for (std::uint32_t scheduler = 0; scheduler < m_schedulers.size() && m_settings.schedulersReachStore; ++scheduler) {
        at(readAt(), [this, scheduler] { stepScheduler(scheduler, m_evacuations); });
    }
}

void PoolSimulation::setCapacity(std::uint32_t worker, const TaskSize &capacity)
{
    auto &node = *m_guards[worker];
    node.capacity = capacity;
    node.capacityLimit.cores = std::max(node.capacityLimit.cores, capacity.cores);
    node.capacityLimit.memory = std::max(node.capacityLimit.memory, capacity.memory);
}

void PoolSimulation::silenceRunner(std::uint32_t worker, Duration duration, Duration straggling)
{
    auto &node = *m_guards[worker];
    node.straggling = straggling;
    node.runnerSilentUntil = std::max(node.runnerSilentUntil, m_now + duration);
    loseRenewals(worker, OrderTimeout);
}

void PoolSimulation::breakPathToRunner(std::uint32_t worker, Duration duration)
{
    auto &node = *m_guards[worker];
    node.pathBrokenUntil = std::max(node.pathBrokenUntil, m_now + duration);
    node.runnerSilentUntil = std::max(node.runnerSilentUntil, m_now + duration);
    loseRenewals(worker, ResetNotice, RenewalFailure::Disconnected);
}

void PoolSimulation::muteRunner(std::uint32_t worker, Duration duration)
{
    auto &node = *m_guards[worker];
    node.answersLostUntil = std::max(node.answersLostUntil, m_now + duration);
    loseRenewals(worker, OrderTimeout);
}

void PoolSimulation::loseRenewals(std::uint32_t worker, Duration noticedAfter, RenewalFailure failure)
{
    auto &node = *m_guards[worker];
    const auto renewals = std::exchange(node.pendingRenewals, {});
    at(m_now - m_start + noticedAfter, [this, worker, incarnation = node.incarnation, renewals, failure] {
        for (const auto number : renewals) {
            if (m_guards[worker]->incarnation == incarnation) {
                stepGuard(worker, RenewalUnanswered{number, failure});
            }
        }
    });
}

void PoolSimulation::breakExchanges(double share)
{
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, exchange] : m_exchanges) {
        numbers.push_back(number);
    }
    for (const auto number : numbers) {
        if (chance(share)) {
            breakExchange(number, !m_exchanges.at(number).schedulerGone, true);
        }
    }
}

void PoolSimulation::breakExchangesUnseenByGuard(double share, std::optional<Duration> noticedAfter)
{
    for (auto &[number, exchange] : m_exchanges) {
        if (exchange.schedulerGone || !chance(share)) {
            continue;
        }
        exchange.schedulerGone = true;
        interruptBatch(exchange);
        if (noticedAfter) {
            at(m_now - m_start + *noticedAfter, [this, number = number] {
                if (m_exchanges.contains(number)) {
                    breakExchange(number, false, true);
                }
            });
        }
    }
}

void PoolSimulation::holdUpMessages(std::uint32_t scheduler, std::uint32_t worker, Duration duration)
{
    auto &until = m_heldUpUntil[{scheduler, worker}];
    until = std::max(until, m_now + duration);
    breakMeanwhile(scheduler, worker, duration);
    missReports(scheduler, worker, duration);
}

void PoolSimulation::holdUpBatches(std::uint32_t scheduler, std::uint32_t worker, Duration duration)
{
    auto &until = m_batchesHeldUpUntil[{scheduler, worker}];
    until = std::max(until, m_now + duration);
    breakMeanwhile(scheduler, worker, duration);
}

void PoolSimulation::breakMeanwhile(std::optional<std::uint32_t> scheduler, std::uint32_t worker, Duration duration)
{
    for (Duration delay = BreakInterval; delay < duration; delay += BreakInterval) {
        at(m_now - m_start + delay, [this, scheduler, worker] {
            std::vector<std::uint64_t> numbers;
            for (const auto &[number, exchange] : m_exchanges) {
                if (exchange.worker == worker && scheduler.value_or(exchange.scheduler) == exchange.scheduler && !exchange.schedulerGone) {
                    numbers.push_back(number);
                }
            }
            for (const auto number : numbers) {
                if (chance(BreakShare)) {
                    breakExchange(number, true, true);
                }
            }
        });
    }
}

void PoolSimulation::missReports(std::uint32_t scheduler, std::uint32_t worker, Duration duration)
{
    if (duration < SilenceLimit) {
        return;
    }
    at(m_now - m_start + SilenceLimit,
       [this, scheduler, worker] { stepScheduler(scheduler, WorkerUnreachable{AgentName("W" + std::to_string(worker))}); });
    at(m_now - m_start + duration, [this, scheduler, worker] { reportCapacity(worker, scheduler); });
}

void PoolSimulation::freezeGuard(std::uint32_t worker, Duration duration)
{
    auto &node = *m_guards[worker];
    if (!node.up || node.frozen) {
        return;
    }
    freeze(node, duration);
    breakMeanwhile(std::nullopt, worker, duration);
    for (std::uint32_t scheduler = 0; scheduler < m_schedulers.size(); ++scheduler) {
        missReports(scheduler, worker, duration);
    }
}

void PoolSimulation::freezeScheduler(std::uint32_t scheduler, Duration duration)
{
    auto &node = *m_schedulers[scheduler];
    if (!node.up || node.frozen) {
        return;
    }
    freeze(node, duration);
    const auto delay = std::uniform_int_distribution<std::int64_t>(0, duration.count())(m_random);
    at(m_now - m_start + Duration(delay), [this, scheduler] {
        for (const auto connection : openCallers()) {
            if (m_callers.at(connection).scheduler == scheduler && chance(LostCallerShare)) {
                disconnectCaller(connection);
            }
        }
    });
}

void PoolSimulation::loseCaller(ConnectionId connection)
{
    const auto caller = m_callers.at(connection);
    m_callers.erase(connection);
    if (!m_settings.callersResubmit) {
        return;
    }
    m_resubmittedJobs.insert(caller.spec->id);
    at(m_now - m_start + ResubmitDelay, [this, caller] { submit((caller.scheduler + 1) % m_settings.schedulers, caller); });
}

void PoolSimulation::disconnectCaller(ConnectionId connection)
{
    const auto found = m_callers.find(connection);
    if (found != m_callers.end()) {
        const auto scheduler = found->second.scheduler;
        loseCaller(connection);
        // A frozen scheduler may answer before it notices.
        m_lostCallers.insert(connection);
        whenAwake(*m_schedulers[scheduler], [this, scheduler, connection] {
            m_lostCallers.erase(connection);
            stepScheduler(scheduler, CallerDisconnected{connection});
        });
    }
}

void PoolSimulation::reconnectCaller(ConnectionId connection)
{
    const auto caller = m_callers.at(connection);
    m_callers.erase(connection);
    m_resubmittedJobs.insert(caller.spec->id);
    m_lostCallers.insert(connection);
    whenAwake(*m_schedulers[caller.scheduler], [this, scheduler = caller.scheduler, connection] {
        m_lostCallers.erase(connection);
        stepScheduler(scheduler, CallerDisconnected{connection});
    });
    at(m_now - m_start + randomDelay(), [this, caller] { submit(caller.scheduler, caller); });
}

Duration PoolSimulation::time() const
{
    return m_now - m_start;
}

std::mt19937_64 &PoolSimulation::random()
{
    return m_random;
}

const std::vector<std::string> &PoolSimulation::violations() const
{
    return m_violations;
}

const std::vector<PoolJobRecord> &PoolSimulation::jobRecords() const
{
    return m_jobRecords;
}

double PoolSimulation::ranCoreSeconds(const QueueJobId &job) const
{
    const auto found = m_ranCoreSeconds.find(job);
    return found == m_ranCoreSeconds.end() ? 0 : found->second;
}

const PoolJobCounts &PoolSimulation::jobCounts(const QueueName &queue)
{
    return m_jobCounts[queue];
}

std::uint32_t PoolSimulation::openCallerCount() const
{
    return static_cast<std::uint32_t>(m_callers.size());
}

const std::map<QueueTaskId, std::uint32_t> &PoolSimulation::crashCounts() const
{
    return m_crashCounts;
}

const SchedulerUsage &PoolSimulation::usage(std::uint32_t scheduler) const
{
    return m_schedulers[scheduler]->usage;
}

const std::vector<Duration> &PoolSimulation::guardWaits() const
{
    return m_guardWaits;
}

std::uint32_t PoolSimulation::runCount(std::uint32_t worker) const
{
    return static_cast<std::uint32_t>(m_guards[worker]->runner.running().size());
}

std::vector<ConnectionId> PoolSimulation::openCallers() const
{
    std::vector<ConnectionId> open;
    for (const auto &[connection, caller] : m_callers) {
        open.push_back(connection);
    }
    return open;
}

} // namespace Sycamoremoor
