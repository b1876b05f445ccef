// Property simulation: start and end of processes, time, and faults.
#include "simulation.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace Sycamoremoor
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t EntryCount = 3;
constexpr std::size_t AgentCount = 4;
constexpr std::uint16_t EntryPort = 1000;
constexpr std::uint16_t AgentPort = 2000;
constexpr std::uint16_t RunnerPort = 3000;
constexpr Duration MaxClockSkew = milliseconds(900); ///< per process; the clocks of two differ by less than the stated bound
constexpr Duration MaxRun = seconds(3);
constexpr Duration MaxDelay = seconds(45);
constexpr Duration FinishTime = seconds(400);
constexpr std::array Zones{"trnava-a", "nitra-b", "senec-c", "pezinok-d"};

Endpoint endpointAt(std::uint16_t base, std::size_t index)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(base + index)};
}

} // namespace

Simulation::Simulation(SimulationOptions options)
    : m_options(std::move(options))
    , m_network(m_options.seed)
    , m_entries(EntryCount)
    , m_agents(AgentCount)
{
    m_platform.comparesBeforeWrite = m_options.comparesBeforeWrite;
    for (std::size_t index = 0; index < EntryCount; ++index) {
        startEntry(index);
    }
    m_runners.reserve(AgentCount); // must not reallocate: agents hold references to their runners
    for (std::size_t index = 0; index < AgentCount; ++index) {
        m_runners.emplace_back("runner " + std::to_string(index), m_checker);
        startAgent(index);
    }
    run(seconds(4));
}

Simulation::~Simulation() = default;

void Simulation::startEntry(std::size_t index)
{
    auto &process = m_entries[index];
    EntrySettings settings;
    settings.name = EntryName("E" + std::to_string(index));
    settings.incarnation = Incarnation(1'000 * ++m_nextIncarnation);
    settings.endpoint = endpointAt(EntryPort, index);
    settings.zone = ZoneName(Zones.at(index));
    settings.region = RegionName("sk-west");
    for (std::size_t peer = 0; peer < EntryCount; ++peer) {
        if (peer != index) {
            settings.peerSeeds.push_back(endpointAt(EntryPort, peer));
        }
    }
    if (m_options.adjustEntry) {
        m_options.adjustEntry(settings);
    }
    process.settings = settings;
    process.machine = std::make_unique<EntryMachine>(settings);
    process.clockOffset = seconds(m_network.random().below(100'000));
    process.clockSkew = Duration(m_network.random().below(2 * MaxClockSkew.count())) - MaxClockSkew;
    ++process.incarnationNumber;
    m_network.setPaused({SimulationRole::Entry, index}, false);
    feedEntry(index, Tick{});
}

void Simulation::startAgent(std::size_t index)
{
    auto &process = m_agents[index];
    AgentSettings settings;
    settings.name = AgentName("A" + std::to_string(index));
    settings.incarnation = Incarnation(1'000 * ++m_nextIncarnation);
    settings.endpoint = endpointAt(AgentPort, index);
    settings.upstream = endpointAt(RunnerPort, index);
    settings.zone = ZoneName(Zones.at(index));
    settings.region = RegionName("sk-west");
    settings.service = ServiceName("reclaim-desk");
    settings.capacity.slots = Slots(2);
    for (std::size_t entry = 0; entry < EntryCount; ++entry) {
        settings.entrySeeds.push_back(endpointAt(EntryPort, entry));
    }
    if (m_options.adjustAgent) {
        m_options.adjustAgent(settings);
    }
    process.settings = settings;
    process.machine = std::make_unique<AgentMachine>(settings, m_options.ledgerRules);
    process.clockOffset = seconds(m_network.random().below(100'000));
    process.clockSkew = Duration(m_network.random().below(2 * MaxClockSkew.count())) - MaxClockSkew;
    ++process.incarnationNumber;
    m_network.setPaused({SimulationRole::Agent, index}, false);
    feedAgent(index, Tick{});
}

void Simulation::run(Duration time)
{
    const auto until = m_now + time;
    for (auto next = m_network.nextArrival(); next && *next <= until; next = m_network.nextArrival()) {
        m_now = std::max(m_now, *next);
        m_network.takeNext().deliver();
    }
    m_now = until;
}

std::uint64_t Simulation::incarnationNumberOf(SimulationPeer peer) const
{
    switch (peer.role) {
    case SimulationRole::Entry:
        return m_entries[peer.index].incarnationNumber;
    case SimulationRole::Agent:
        return m_agents[peer.index].incarnationNumber;
    case SimulationRole::Runner:
        return m_runners[peer.index].incarnationNumber();
    default:
        return 0;
    }
}

bool Simulation::isUp(SimulationPeer peer) const
{
    switch (peer.role) {
    case SimulationRole::Entry:
        return m_entries[peer.index].machine != nullptr;
    case SimulationRole::Agent:
        return m_agents[peer.index].machine != nullptr;
    case SimulationRole::Runner:
        return m_runners[peer.index].up;
    default:
        return true;
    }
}

bool Simulation::isCurrent(SimulationPeer peer, std::uint64_t incarnationNumber) const
{
    return isUp(peer) && incarnationNumberOf(peer) == incarnationNumber;
}

void Simulation::request(SimulationPeer from, SimulationPeer to, std::function<void()> deliver, std::function<void(Delivery)> fail)
{
    SimulationMessage message;
    message.from = from;
    message.to = to;
    message.fail = [this, from, incarnationNumber = incarnationNumberOf(from), fail = std::move(fail)](Delivery delivery) {
        if (fail && isCurrent(from, incarnationNumber)) {
            fail(delivery);
        }
    };
    message.isSingle = from.role == SimulationRole::Runner || to.role == SimulationRole::Runner;
    // Once a copy has arrived, a later one that finds no process fails as Unknown: clients report NotSent only if no byte left.
    message.deliver = [this, to, deliver = std::move(deliver), failed = message.fail, arrived = std::make_shared<bool>(false)] {
        if (isUp(to)) {
            *arrived = true;
            deliver();
        } else if (m_network.random().percent(70)) {
            failed(*arrived ? Delivery::Unknown : Delivery::NotSent); // no process listens there
        }
    };
    m_network.send(m_now, std::move(message));
}

ConnectionId Simulation::openExchange(Exchange exchange, Duration timeout)
{
    const ConnectionId connection(m_nextConnection++);
    exchange.clientIncarnationNumber = incarnationNumberOf(exchange.client);
    exchange.serverIncarnationNumber = incarnationNumberOf(exchange.server);
    m_network.schedule(m_now + timeout, exchange.client, [this, connection] {
        const auto found = m_exchanges.find(connection);
        if (found == m_exchanges.end()) {
            return;
        }
        const auto ended = std::move(found->second);
        m_exchanges.erase(found);
        if (isCurrent(ended.client, ended.clientIncarnationNumber)) {
            ended.fail(Delivery::Unknown);
        }
    });
    m_exchanges.emplace(connection, std::move(exchange));
    return connection;
}

void Simulation::setTimer(SimulationPeer peer, MonotonicTime at)
{
    const bool isEntry = peer.role == SimulationRole::Entry;
    const auto offset = isEntry ? m_entries[peer.index].clockOffset : m_agents[peer.index].clockOffset;
    auto &number = isEntry ? m_entries[peer.index].timerNumber : m_agents[peer.index].timerNumber;
    ++number;
    if (at > m_now + offset + std::chrono::hours(24)) {
        return;
    }
    m_network.schedule(at - offset, peer, [this, peer, incarnationNumber = incarnationNumberOf(peer), expected = number] {
        wake(peer, incarnationNumber, expected);
    });
}

void Simulation::wake(SimulationPeer peer, std::uint64_t incarnationNumber, std::uint64_t timerNumber)
{
    if (!isCurrent(peer, incarnationNumber)) {
        return;
    }
    if (peer.role == SimulationRole::Entry && m_entries[peer.index].timerNumber == timerNumber) {
        feedEntry(peer.index, Tick{});
    } else if (peer.role == SimulationRole::Agent && m_agents[peer.index].timerNumber == timerNumber) {
        feedAgent(peer.index, Tick{});
    }
}

void Simulation::failExchangesOf(SimulationPeer server)
{
    std::vector<ConnectionId> broken;
    for (const auto &[connection, exchange] : m_exchanges) {
        if (exchange.server == server) {
            broken.push_back(connection);
        }
    }
    std::ranges::sort(broken);
    for (const auto connection : broken) {
        const auto exchange = std::move(m_exchanges.at(connection));
        m_exchanges.erase(connection);
        m_network.schedule(m_now + milliseconds(1), exchange.client, [this, exchange] {
            if (isCurrent(exchange.client, exchange.clientIncarnationNumber)) {
                exchange.fail(Delivery::Unknown);
            }
        });
    }
}

void Simulation::breakAgentConnections(std::size_t agent)
{
    auto broken = std::exchange(m_agentExchanges, {});
    for (auto &exchange : broken) {
        if (exchange.agent != agent) {
            m_agentExchanges.push_back(std::move(exchange));
            continue;
        }
        const SimulationPeer owner{SimulationRole::Entry, exchange.entry};
        m_network.schedule(m_now + milliseconds(1), owner, [this, owner, exchange] {
            if (isCurrent(owner, exchange.entryIncarnationNumber)) {
                const AgentName name = m_agents[exchange.agent].settings.name;
                feedEntry(owner.index, AgentSendFailed{name, exchange.agentIncarnation, Delivery::Unknown, exchange.tasks});
            }
        });
    }
}

void Simulation::endProcess(SimulationPeer peer, bool notifyPeers)
{
    if (peer.role == SimulationRole::Runner) {
        m_runners[peer.index].up = false;
        return;
    }
    if (notifyPeers) {
        failExchangesOf(peer);
    }
    if (peer.role == SimulationRole::Entry) {
        m_checker.memoryLost();
        m_entries[peer.index].machine.reset();
        return;
    }
    m_agents[peer.index].machine.reset();
    if (notifyPeers) {
        breakAgentConnections(peer.index);
    }
}

void Simulation::restart(SimulationPeer peer)
{
    endProcess(peer, m_network.random().percent(60));
    m_network.setPaused(peer, false);
    if (peer.role == SimulationRole::Entry) {
        startEntry(peer.index);
    } else if (peer.role == SimulationRole::Agent) {
        startAgent(peer.index);
    } else {
        m_runners[peer.index].restart();
    }
}

SimulationPeer Simulation::processOf(std::uint32_t choice) const
{
    const auto position = choice % (EntryCount + 2 * AgentCount);
    if (position < EntryCount) {
        return {SimulationRole::Entry, position};
    }
    const auto index = (position - EntryCount) % AgentCount;
    return {position < EntryCount + AgentCount ? SimulationRole::Agent : SimulationRole::Runner, index};
}

void Simulation::drain(SimulationPeer peer)
{
    if (peer.role == SimulationRole::Entry && isUp(peer)) {
        feedEntry(peer.index, DrainRequested{});
    } else if (peer.role == SimulationRole::Agent && isUp(peer)) {
        feedAgent(peer.index, DrainRequested{});
    }
}

void Simulation::apply(const SimulationEvent &event)
{
    const auto entry = event.a % EntryCount;
    const auto call = m_calls.empty() ? 0 : event.b % m_calls.size();
    const auto process = processOf(event.a);
    switch (event.kind) {
    case SimulationEventKind::Run:
        run(std::min<Duration>(MaxRun, milliseconds(event.a)));
        break;
    case SimulationEventKind::Submit:
        addCall(entry, makeJob(event.b));
        break;
    case SimulationEventKind::Resubmit:
        if (!m_calls.empty()) {
            addCall(entry, m_calls[call].job);
        }
        break;
    case SimulationEventKind::Conflict:
        if (!m_calls.empty()) {
            addCall(entry, makeConflict(*m_calls[call].job));
        }
        break;
    case SimulationEventKind::Cancel:
        if (!m_calls.empty()) {
            cancel(entry, m_calls[call].job->key);
        }
        break;
    case SimulationEventKind::Drop:
        m_network.drop(m_now, event.a, event.b % 2 == 0);
        break;
    case SimulationEventKind::Duplicate:
        m_network.duplicate(event.a, std::min<Duration>(MaxDelay, milliseconds(event.b)));
        break;
    case SimulationEventKind::Delay:
        m_network.delay(event.a, std::min<Duration>(MaxDelay, milliseconds(event.b)));
        break;
    case SimulationEventKind::FaultRates:
        m_network.setFaultRates(event.a);
        break;
    case SimulationEventKind::Restart:
        restart(process);
        break;
    case SimulationEventKind::Kill:
        endProcess(process, event.b % 2 == 0);
        break;
    case SimulationEventKind::Pause:
        m_network.setPaused(process, true);
        m_checker.memoryLost();
        break;
    case SimulationEventKind::Resume:
        m_network.setPaused(process, false);
        break;
    case SimulationEventKind::Partition:
        m_network.partition(event.a);
        m_checker.memoryLost();
        break;
    case SimulationEventKind::HealPartition:
        m_network.partition(0);
        break;
    case SimulationEventKind::Platform:
        m_platform.setCondition(event.a);
        break;
    case SimulationEventKind::LeaveUpstream:
        m_runners[event.a % AgentCount].leaving = true;
        break;
    case SimulationEventKind::Drain:
        drain(process);
        break;
    case SimulationEventKind::BreakAgentConnections:
        breakAgentConnections(event.a % AgentCount);
        break;
    case SimulationEventKind::End:
        break;
    }
}

void Simulation::finish()
{
    m_finishing = true;
    m_network.heal();
    m_platform.setCondition(0);
    for (std::uint32_t choice = 0; choice < EntryCount + 2 * AgentCount; ++choice) {
        const auto peer = processOf(choice);
        if (!isUp(peer) || (peer.role == SimulationRole::Runner && m_runners[peer.index].leaving)) {
            restart(peer);
        }
    }
    for (Duration passed{}; passed < FinishTime && !allAnswersFinal(); passed += seconds(1)) {
        run(seconds(1));
        for (std::uint32_t choice = 0; choice < EntryCount + 2 * AgentCount; ++choice) {
            if (const auto peer = processOf(choice); !isUp(peer)) {
                restart(peer);
            }
        }
        retryCalls();
    }
    for (const auto &call : m_calls) {
        if (!call.hasFinalAnswer) {
            m_checker.fail("never answered: " + call.job->key.toString());
        }
    }
    run(seconds(60)); // messages still in transit must not start anything
}

const SimulationChecker &Simulation::checker() const
{
    return m_checker;
}

bool Simulation::allAnswersFinal() const
{
    return std::ranges::all_of(m_calls, &Call::hasFinalAnswer);
}

} // namespace Sycamoremoor
