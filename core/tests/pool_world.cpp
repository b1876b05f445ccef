// A pool of workers in simulated time: schedulers, guards, and runners that carry out orders late or not at all.
#include "pool_world.h"

#include <sycamoremoor/core/task_size_func.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Sycamoremoor
{

using std::chrono::milliseconds;

namespace
{

constexpr Duration OrderLimit = milliseconds(30);
constexpr Duration LatestOrder = milliseconds(4'000);
constexpr Duration AnnounceInterval = milliseconds(300);
constexpr Duration RestartDelay = milliseconds(400);
constexpr std::uint64_t TokenStep = 1'000;

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

} // namespace

/** A scheduler process. */
struct PoolWorld::SchedulerNode {
    std::uint64_t life = 0;
    bool up = false;
    std::unique_ptr<SchedulerMachine> machine;
    std::uint64_t timer = 0;
};

/** A guard process and the runner beside it. */
struct PoolWorld::GuardNode {
    std::uint64_t life = 0;
    bool up = false;
    std::unique_ptr<GuardMachine> machine;
    CapacityReport room; ///< as last told
    std::uint64_t timer = 0;
    std::map<std::uint32_t, BatchNumber> seen; ///< highest batch by scheduler
    std::map<RunId, TaskSize> sizes;           ///< of every run that was ordered
    PoolRunner runner;
    bool runnerUp = true;
    std::uint64_t sequence = 0;
    std::uint64_t runnerTimer = 0;
    std::set<RenewalNumber> listening; ///< renewals whose answer waits for an end
    bool listenSoon = false;
};

/** The exchange of a batch. */
struct PoolWorld::Exchange {
    std::uint32_t scheduler = 0;
    std::uint64_t schedulerLife = 0;
    std::uint32_t worker = 0;
    std::uint64_t guardLife = 0;
    BatchNumber batch;
    MonotonicTime lastReport; ///< reports stay in order
};

/** A caller that waits. */
struct PoolWorld::Caller {
    std::uint32_t scheduler = 0;
    QueueName queue;
    QueueJobId work;
    std::uint32_t tasks = 0;
    MonotonicTime sentAt;
    Duration objective{};
};

PoolWorld::PoolWorld(PoolSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_loadRandom(m_settings.seed + 1)
{
    for (std::uint32_t index = 0; index < m_settings.workers; ++index) {
        m_guards.push_back(std::make_unique<GuardNode>());
        m_guards[index]->runner.restart(m_now);
        startGuard(index);
        announce(index);
    }
    for (std::uint32_t index = 0; index < m_settings.schedulers; ++index) {
        m_schedulers.push_back(std::make_unique<SchedulerNode>());
        startScheduler(index);
    }
}

PoolWorld::~PoolWorld() = default;

Duration PoolWorld::delay()
{
    return Duration(std::uniform_int_distribution<std::int64_t>(300, 2'000)(m_random));
}

bool PoolWorld::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

StepContext PoolWorld::context()
{
    return {m_now, WallTime(m_now.time_since_epoch()), m_random()};
}

void PoolWorld::at(Duration time, std::function<void()> action)
{
    m_events.push({m_start + time, ++m_lastEvent, std::move(action)});
}

void PoolWorld::runUntil(Duration time)
{
    while (!m_events.empty() && m_events.top().at <= m_start + time) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, event.at);
        event.action();
    }
    m_now = m_start + time;
}

void PoolWorld::startScheduler(std::uint32_t index)
{
    auto &node = *m_schedulers[index];
    ++node.life;
    node.up = true;
    SchedulerSettings settings;
    settings.name = EntryName("S" + std::to_string(index));
    node.machine = std::make_unique<SchedulerMachine>(settings);
    auto queues = std::make_shared<QueueSet>();
    queues->version = Revision(1);
    feedScheduler(index, QueuesRead{queues});
    for (std::uint32_t worker = 0; worker < m_guards.size(); ++worker) {
        m_guards[worker]->seen.erase(index);
        tellRoom(worker, index);
    }
}

void PoolWorld::startGuard(std::uint32_t index)
{
    auto &node = *m_guards[index];
    ++node.life;
    node.up = true;
    GuardSettings settings;
    settings.incarnation = Incarnation(node.life * m_settings.workers + index + 1);
    settings.firstToken = FencingToken(static_cast<std::int64_t>(node.life * TokenStep));
    node.machine = std::make_unique<GuardMachine>(settings);
    node.room = {};
    node.seen.clear();
    node.listening.clear();
    feedGuard(index, Tick{});
}

void PoolWorld::announce(std::uint32_t worker)
{
    auto &node = *m_guards[worker];
    at(m_now - m_start + AnnounceInterval, [this, worker] { announce(worker); });
    if (!node.up || !node.runnerUp) {
        return;
    }
    UpstreamAnnounced announced;
    announced.incarnation = {"R" + std::to_string(worker), node.runner.bornMs()};
    announced.service = ServiceName("service");
    announced.capacity = m_settings.capacity;
    announced.clock = node.runner.clock(m_now);
    announced.sequence = ++node.sequence;
    feedGuard(worker, announced);
}

void PoolWorld::feedScheduler(std::uint32_t index, SchedulerInput input)
{
    auto &node = *m_schedulers[index];
    if (!node.up) {
        return;
    }
    SchedulerOutputs outputs;
    node.machine->step(context(), std::move(input), outputs);
    for (const auto &output : outputs) {
        carryOut(index, output);
    }
}

void PoolWorld::feedGuard(std::uint32_t index, GuardInput input)
{
    auto &node = *m_guards[index];
    if (!node.up) {
        return;
    }
    GuardOutputs outputs;
    node.machine->step(context(), std::move(input), outputs);
    for (const auto &output : outputs) {
        carryOutGuard(index, output);
    }
}

void PoolWorld::carryOut(std::uint32_t scheduler, const SchedulerOutput &output)
{
    auto &node = *m_schedulers[scheduler];
    if (const auto *batch = std::get_if<SendBatch>(&output)) {
        deliverBatch(scheduler, *batch);
    } else if (const auto *cancel = std::get_if<CancelBatch>(&output)) {
        const auto found = std::ranges::find_if(m_exchanges, [&](const auto &item) {
            return item.second.scheduler == scheduler && item.second.schedulerLife == node.life && item.second.batch == cancel->batch;
        });
        if (found != m_exchanges.end()) {
            breakExchange(found->first, false, true);
        }
    } else if (const auto *answered = std::get_if<AnswerQueueJob>(&output)) {
        answer(*answered);
    } else if (const auto *timer = std::get_if<SetTimer>(&output)) {
        const auto number = ++node.timer;
        at(std::max(timer->at, m_now) - m_start, [this, scheduler, number, life = node.life] {
            if (m_schedulers[scheduler]->timer == number && m_schedulers[scheduler]->life == life) {
                feedScheduler(scheduler, Tick{});
            }
        });
    }
}

void PoolWorld::deliverBatch(std::uint32_t scheduler, const SendBatch &output)
{
    const auto worker = static_cast<std::uint32_t>(std::stoul(output.agent.value().substr(1)));
    const auto number = ++m_lastExchange;
    m_exchanges[number] = {scheduler, m_schedulers[scheduler]->life, worker, m_guards[worker]->life, output.batch.batch, m_now};
    at(m_now - m_start + delay(), [this, number, worker, scheduler, batch = output.batch] {
        if (!m_exchanges.contains(number)) {
            return;
        }
        auto &guard = *m_guards[worker];
        if (!guard.up) {
            breakExchange(number, true, false);
            return;
        }
        m_exchanges[number].guardLife = guard.life;
        guard.seen[scheduler] = std::max(guard.seen[scheduler], batch.batch);
        for (const auto &order : batch.orders) {
            guard.sizes[order.run] = order.size;
        }
        feedGuard(worker, BatchReceived{ConnectionId(number), batch});
    });
}

void PoolWorld::breakExchange(std::uint64_t number, bool tellScheduler, bool tellGuard)
{
    const auto exchange = m_exchanges.at(number);
    m_exchanges.erase(number);
    if (tellScheduler) {
        at(m_now - m_start + delay(), [this, exchange] {
            if (m_schedulers[exchange.scheduler]->life == exchange.schedulerLife) {
                feedScheduler(exchange.scheduler, BatchInterrupted{exchange.batch, Delivery::Unknown});
            }
        });
    }
    if (tellGuard) {
        at(m_now - m_start + delay(), [this, exchange, number] {
            if (m_guards[exchange.worker]->life == exchange.guardLife) {
                feedGuard(exchange.worker, BatchAbandoned{ConnectionId(number)});
            }
        });
    }
}

void PoolWorld::giveOrder(std::uint32_t worker, const std::function<void(OrderStep)> &carryOut)
{
    const auto life = m_guards[worker]->life;
    const auto born = m_guards[worker]->runner.bornMs();
    const auto sameLives = [this, worker, life, born] {
        return m_guards[worker]->life == life && m_guards[worker]->runnerUp && m_guards[worker]->runner.bornMs() == born;
    };
    if (chance(m_settings.lostOrders)) {
        if (chance(0.5)) {
            // Late orders of an earlier life of the guard are carried out, too.
            const auto late = std::uniform_int_distribution<std::int64_t>(0, LatestOrder.count())(m_random);
            at(m_now - m_start + Duration(late), [this, worker, born, carryOut] {
                if (m_guards[worker]->runnerUp && m_guards[worker]->runner.bornMs() == born) {
                    carryOut(OrderStep::CarryOut);
                }
            });
        }
        at(m_now - m_start + OrderLimit, [this, worker, life, carryOut] {
            if (m_guards[worker]->life == life) {
                carryOut(OrderStep::GiveUp);
            }
        });
        return;
    }
    // The draw is made only where answers get lost, so that other worlds stay as they are.
    const bool answerLost = m_settings.lostAnswers > 0 && chance(m_settings.lostAnswers);
    at(m_now - m_start + Duration(200), [carryOut, sameLives, this, worker, life, answerLost] {
        if (sameLives()) {
            carryOut(OrderStep::CarryOut);
        }
        at(m_now - m_start + (answerLost ? OrderLimit : Duration(200)), [carryOut, this, worker, life, answerLost] {
            if (m_guards[worker]->life == life) {
                carryOut(answerLost ? OrderStep::GiveUp : OrderStep::Answer);
            }
        });
    });
}

void PoolWorld::carryOutGuard(std::uint32_t worker, const GuardOutput &output)
{
    auto &node = *m_guards[worker];
    if (const auto *start = std::get_if<StartRun>(&output)) {
        // The order's effect and its answer are two moments; an answer exists only if the effect came before it.
        auto answer = std::make_shared<std::optional<StartAnswer>>();
        giveOrder(worker, [this, worker, order = *start, answer](OrderStep orderStep) {
            if (orderStep != OrderStep::CarryOut) {
                const auto told = orderStep == OrderStep::Answer ? answer->value_or(StartAnswer::NoAnswer) : StartAnswer::NoAnswer;
                *answer = StartAnswer::NoAnswer;
                feedGuard(worker, RunStartAnswered{order.run, told});
                return;
            }
            auto &guard = *m_guards[worker];
            const RunnerStart runnerStart{order.run, order.payload, worker};
            RunnerRun run;
            run.endsAt = m_now + milliseconds(50);
            if (m_settings.shapeRun) {
                run.endsAt = m_now;
                m_settings.shapeRun(runnerStart, run);
            }
            const bool before = guard.runner.isRunning(order.run);
            const auto result = guard.runner.start(m_now, runnerStart, order.leaseUntil, order.token, run);
            if (result == StartAnswer::Started && !before) {
                runStarted(worker, runnerStart);
            }
            if (!answer->has_value()) {
                *answer = result;
            }
            runnerTimer(worker);
        });
    } else if (const auto *stop = std::get_if<StopRun>(&output)) {
        auto done = std::make_shared<bool>(false);
        giveOrder(worker, [this, worker, order = *stop, done](OrderStep orderStep) {
            if (orderStep != OrderStep::CarryOut) {
                feedGuard(worker, RunStopAnswered{order.run, *done && orderStep == OrderStep::Answer});
                return;
            }
            auto &guard = *m_guards[worker];
            const bool before = guard.runner.isRunning(order.run);
            guard.runner.stop(m_now, order.run, order.token);
            *done = true;
            if (before && !guard.runner.isRunning(order.run)) {
                runOver(worker, order.run);
                listSoon(worker);
            }
        });
    } else if (const auto *renewal = std::get_if<RenewLease>(&output)) {
        const auto life = node.life;
        if (chance(m_settings.lostOrders) || !node.runnerUp) {
            at(m_now - m_start + renewal->wait + OrderLimit, [this, worker, life, number = renewal->number] {
                if (m_guards[worker]->life == life) {
                    feedGuard(worker, RenewalUnanswered{number});
                }
            });
            return;
        }
        node.runner.renew(m_now, renewal->leaseUntil, renewal->token, renewal->acknowledged);
        runnerTimer(worker);
        node.listening.insert(renewal->number);
        if (!node.runner.ended().empty()) {
            listSoon(worker);
        } else {
            at(m_now - m_start + renewal->wait, [this, worker, life, number = renewal->number] {
                auto &guard = *m_guards[worker];
                if (guard.life == life && guard.listening.contains(number)) {
                    listSoon(worker);
                }
            });
        }
    } else if (const auto *report = std::get_if<ReportRun>(&output)) {
        const auto found = m_exchanges.find(report->connection.value());
        if (found == m_exchanges.end()) {
            return;
        }
        auto &exchange = found->second;
        exchange.lastReport = std::max(exchange.lastReport, m_now + delay());
        at(exchange.lastReport - m_start, [this, exchange, content = report->report] {
            if (m_schedulers[exchange.scheduler]->life == exchange.schedulerLife) {
                feedScheduler(exchange.scheduler, RunReported{exchange.batch, content});
            }
        });
    } else if (const auto *end = std::get_if<EndBatch>(&output)) {
        m_exchanges.erase(end->connection.value());
    } else if (const auto *changed = std::get_if<CapacityChanged>(&output)) {
        node.room = changed->report;
        for (std::uint32_t scheduler = 0; scheduler < m_schedulers.size(); ++scheduler) {
            tellRoom(worker, scheduler);
        }
    } else if (const auto *timer = std::get_if<SetTimer>(&output)) {
        const auto number = ++node.timer;
        at(std::max(timer->at, m_now) - m_start, [this, worker, number, life = node.life] {
            if (m_guards[worker]->timer == number && m_guards[worker]->life == life) {
                feedGuard(worker, Tick{});
            }
        });
    }
}

void PoolWorld::tellRoom(std::uint32_t worker, std::uint32_t scheduler)
{
    auto &guard = *m_guards[worker];
    if (!guard.up || scheduler >= m_schedulers.size()) {
        return;
    }
    auto room = guard.room;
    if (const auto seen = guard.seen.find(scheduler); seen != guard.seen.end()) {
        room.lastCountedBatch = seen->second;
    }
    const auto life = m_schedulers[scheduler]->life;
    // Constant, so that reports of one guard stay in order.
    at(m_now - m_start + Duration(1'200), [this, worker, scheduler, life, room] {
        if (m_schedulers[scheduler]->life == life) {
            feedScheduler(scheduler, CapacityReported{AgentName("W" + std::to_string(worker)), ZoneName("zone"), room});
        }
    });
}

void PoolWorld::listSoon(std::uint32_t worker)
{
    auto &node = *m_guards[worker];
    if (node.listening.empty() || std::exchange(node.listenSoon, true)) {
        return;
    }
    at(m_now - m_start + Duration(200), [this, worker, life = node.life] {
        auto &guard = *m_guards[worker];
        guard.listenSoon = false;
        if (guard.life != life || !guard.runnerUp) {
            return;
        }
        UpstreamListed listed;
        listed.incarnation = {"R" + std::to_string(worker), guard.runner.bornMs()};
        listed.clock = guard.runner.clock(m_now);
        listed.running = guard.runner.running();
        listed.ended = guard.runner.ended();
        for (const auto number : std::exchange(guard.listening, {})) {
            listed.renewal = number;
            feedGuard(worker, listed);
        }
    });
}

void PoolWorld::runnerTimer(std::uint32_t worker)
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
                    m_doneTasks[run.task.job].insert(run.task);
                }
            }
            runOver(worker, run);
        }
        listSoon(worker);
        runnerTimer(worker);
    });
}

void PoolWorld::runStarted(std::uint32_t worker, const RunnerStart &start)
{
    auto &guard = *m_guards[worker];
    const auto &task = start.run.task;
    if (const auto [running, isNew] = m_runningTasks.try_emplace(task, worker); !isNew) {
        m_broken.push_back("task " + queueTaskIdToString(task) + " runs on two workers at once");
    }
    if (m_refusedWork.contains(task.job)) {
        m_broken.push_back("job " + task.job.value() + " was refused and a task of it starts");
    }
    ++m_startsOfWork[task.job];
    TaskSize taken = ZeroTaskSize;
    for (const auto &run : guard.runner.running()) {
        taken += guard.sizes[run];
    }
    if (!fits(taken, m_settings.capacity)) {
        m_broken.push_back("worker " + std::to_string(worker) + " is over its capacity");
    }
}

void PoolWorld::runOver(std::uint32_t worker, const RunId &run)
{
    if (const auto running = m_runningTasks.find(run.task); running != m_runningTasks.end() && running->second == worker) {
        m_runningTasks.erase(running);
    }
}

ConnectionId PoolWorld::submit(std::uint32_t scheduler, const PoolLoad &load, const std::string &id)
{
    std::normal_distribution<double> logarithm(0, load.spread);
    const auto runTime = load.spread > 0 ? scaled(load.runTime, std::exp(logarithm(m_loadRandom))) : load.runTime;
    const auto factor = load.spread > 0 ? std::exp(logarithm(m_loadRandom)) : 1;
    const auto tasks = static_cast<std::uint32_t>(std::max(1.0, std::round(load.tasks * factor)));
    auto work = std::make_shared<QueueJobSpec>();
    work->id = QueueJobId(id);
    work->payload = std::to_string(runTime.count());
    QueueJobStep step;
    step.count = tasks;
    step.size = {load.cores, Megabytes(64), Accelerators(0)};
    const auto error = load.estimateError * std::uniform_real_distribution<double>(-1, 1)(m_loadRandom);
    step.declaredRunTime = scaled(runTime, 1 + error);
    work->steps.push_back(step);
    const ConnectionId connection(++m_lastCaller);
    auto &tally = m_tallies[load.queue.name];
    ++tally.sent;
    if (!m_schedulers[scheduler]->up) {
        ++tally.lost;
        return connection;
    }
    Caller caller;
    caller.scheduler = scheduler;
    caller.queue = load.queue.name;
    caller.work = work->id;
    caller.tasks = tasks;
    caller.sentAt = m_now;
    caller.objective = scaled(runTime, load.queue.stretch) + load.queue.latencyAllowance;
    m_callers[connection] = caller;
    feedScheduler(scheduler, QueueJobSubmitted{connection, load.queue, work, {}});
    return connection;
}

void PoolWorld::addLoad(const PoolLoad &load, Duration from, Duration until)
{
    std::exponential_distribution<double> gap(load.perSecond);
    for (auto time = from; time < until; time += Duration(static_cast<std::int64_t>(gap(m_loadRandom) * 1e6))) {
        const auto scheduler = std::uniform_int_distribution<std::uint32_t>(0, m_settings.schedulers - 1)(m_loadRandom);
        at(time, [this, scheduler, load] { submit(scheduler, load, load.queue.name.value() + "-" + std::to_string(m_lastCaller + 1)); });
    }
}

void PoolWorld::answer(const AnswerQueueJob &answer)
{
    const auto found = m_callers.find(answer.connection);
    if (found == m_callers.end()) {
        m_broken.emplace_back("a caller is answered twice, or after it hung up");
        return;
    }
    const auto caller = found->second;
    m_callers.erase(found);
    auto &tally = m_tallies[caller.queue];
    switch (answer.result) {
    case QueueJobResult::Complete:
        ++(m_now - caller.sentAt <= caller.objective ? tally.onTime : tally.late);
        if (m_doneTasks[caller.work].size() != caller.tasks) {
            m_broken.push_back("job " + caller.work.value() + " is complete, but not each of its tasks");
        }
        break;
    case QueueJobResult::Failed:
        ++tally.failed;
        break;
    case QueueJobResult::Refused:
        ++tally.refused;
        m_refusedWork.insert(caller.work);
        if (m_startsOfWork[caller.work] > 0) {
            m_broken.push_back("job " + caller.work.value() + " is refused after a task of it started");
        }
        if (answer.retryAfter <= Duration::zero()) {
            m_broken.push_back("job " + caller.work.value() + " is refused without a time to come back");
        }
        break;
    default:
        ++tally.lost;
        break;
    }
}

void PoolWorld::killScheduler(std::uint32_t scheduler)
{
    auto &node = *m_schedulers[scheduler];
    node.up = false;
    ++node.life;
    std::vector<std::uint64_t> broken;
    for (const auto &[number, exchange] : m_exchanges) {
        if (exchange.scheduler == scheduler) {
            broken.push_back(number);
        }
    }
    for (const auto number : broken) {
        breakExchange(number, false, true);
    }
    std::erase_if(m_callers, [&](const auto &item) {
        const bool lost = item.second.scheduler == scheduler;
        m_tallies[item.second.queue].lost += lost ? 1 : 0;
        return lost;
    });
    at(m_now - m_start + RestartDelay, [this, scheduler] { startScheduler(scheduler); });
}

void PoolWorld::killGuard(std::uint32_t worker)
{
    auto &node = *m_guards[worker];
    node.up = false;
    ++node.life;
    node.listening.clear();
    std::vector<std::uint64_t> broken;
    for (const auto &[number, exchange] : m_exchanges) {
        if (exchange.worker == worker) {
            broken.push_back(number);
        }
    }
    for (const auto number : broken) {
        breakExchange(number, true, false);
    }
    for (std::uint32_t scheduler = 0; scheduler < m_schedulers.size(); ++scheduler) {
        at(m_now - m_start + delay(),
           [this, scheduler, worker] { feedScheduler(scheduler, WorkerUnreachable{AgentName("W" + std::to_string(worker))}); });
    }
    at(m_now - m_start + RestartDelay, [this, worker] { startGuard(worker); });
}

void PoolWorld::crashRunner(std::uint32_t worker)
{
    auto &node = *m_guards[worker];
    if (!node.runnerUp) {
        return; // it is down already
    }
    for (const auto &run : node.runner.running()) {
        runOver(worker, run);
    }
    node.runnerUp = false;
    const auto listening = std::exchange(node.listening, {});
    node.runner.restart(m_now);
    node.sequence = 0;
    const auto life = node.life;
    at(m_now - m_start + OrderLimit, [this, worker, life, listening] {
        for (const auto number : listening) {
            if (m_guards[worker]->life == life) {
                feedGuard(worker, RenewalUnanswered{number});
            }
        }
    });
    at(m_now - m_start + milliseconds(900), [this, worker] {
        m_guards[worker]->runner.restart(m_now);
        m_guards[worker]->runnerUp = true;
    });
}

void PoolWorld::breakExchanges(double share)
{
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, exchange] : m_exchanges) {
        numbers.push_back(number);
    }
    for (const auto number : numbers) {
        if (chance(share)) {
            breakExchange(number, true, true);
        }
    }
}

void PoolWorld::hangUp(ConnectionId connection)
{
    const auto found = m_callers.find(connection);
    if (found != m_callers.end()) {
        const auto scheduler = found->second.scheduler;
        m_callers.erase(found);
        feedScheduler(scheduler, CallerDisconnected{connection});
    }
}

Duration PoolWorld::time() const
{
    return m_now - m_start;
}

std::mt19937_64 &PoolWorld::random()
{
    return m_random;
}

const std::vector<std::string> &PoolWorld::broken() const
{
    return m_broken;
}

const PoolTally &PoolWorld::tally(const QueueName &queue)
{
    return m_tallies[queue];
}

std::uint32_t PoolWorld::unanswered() const
{
    return static_cast<std::uint32_t>(m_callers.size());
}

std::uint32_t PoolWorld::runsAt(std::uint32_t worker) const
{
    return static_cast<std::uint32_t>(m_guards[worker]->runner.running().size());
}

std::vector<ConnectionId> PoolWorld::openCallers() const
{
    std::vector<ConnectionId> open;
    for (const auto &[connection, caller] : m_callers) {
        open.push_back(connection);
    }
    return open;
}

} // namespace Sycamoremoor
