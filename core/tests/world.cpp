// The property world: lives of processes, time, and faults.
#include "world.h"

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
constexpr Duration MaxClockSkew = milliseconds(900); ///< of one process; two differ by less than the stated bound
constexpr Duration MaxRun = seconds(3);
constexpr Duration MaxDelay = seconds(45);
constexpr Duration FinishTime = seconds(400);
constexpr std::array Zones{"trnava-a", "nitra-b", "senec-c", "pezinok-d"};

Endpoint endpointAt(std::uint16_t base, std::size_t index)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(base + index)};
}

} // namespace

World::World(WorldOptions options)
    : m_options(std::move(options))
    , m_network(m_options.seed)
    , m_entries(EntryCount)
    , m_agents(AgentCount)
{
    m_platform.comparesBeforeWrite = m_options.comparesBeforeWrite;
    for (std::size_t index = 0; index < EntryCount; ++index) {
        startEntry(index);
    }
    m_runners.reserve(AgentCount); // agents keep references to their runners
    for (std::size_t index = 0; index < AgentCount; ++index) {
        m_runners.emplace_back("runner " + std::to_string(index), m_checker);
        startAgent(index);
    }
    run(seconds(4));
}

World::~World() = default;

void World::startEntry(std::size_t index)
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
    ++process.life;
    m_network.setPaused({WorldRole::Entry, index}, false);
    feedEntry(index, Tick{});
}

void World::startAgent(std::size_t index)
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
    ++process.life;
    m_network.setPaused({WorldRole::Agent, index}, false);
    feedAgent(index, Tick{});
}

void World::run(Duration time)
{
    const auto until = m_now + time;
    for (auto next = m_network.nextArrival(); next && *next <= until; next = m_network.nextArrival()) {
        m_now = std::max(m_now, *next);
        m_network.takeNext().deliver();
    }
    m_now = until;
}

std::uint64_t World::lifeOf(WorldPeer peer) const
{
    switch (peer.role) {
    case WorldRole::Entry:
        return m_entries[peer.index].life;
    case WorldRole::Agent:
        return m_agents[peer.index].life;
    case WorldRole::Runner:
        return m_runners[peer.index].life();
    default:
        return 0;
    }
}

bool World::isUp(WorldPeer peer) const
{
    switch (peer.role) {
    case WorldRole::Entry:
        return m_entries[peer.index].machine != nullptr;
    case WorldRole::Agent:
        return m_agents[peer.index].machine != nullptr;
    case WorldRole::Runner:
        return m_runners[peer.index].up;
    default:
        return true;
    }
}

bool World::isLife(WorldPeer peer, std::uint64_t life) const
{
    return isUp(peer) && lifeOf(peer) == life;
}

void World::request(WorldPeer from, WorldPeer to, std::function<void()> deliver, std::function<void(Delivery)> fail)
{
    WorldMessage message;
    message.from = from;
    message.to = to;
    message.fail = [this, from, life = lifeOf(from), fail = std::move(fail)](Delivery delivery) {
        if (fail && isLife(from, life)) {
            fail(delivery);
        }
    };
    message.isSingle = from.role == WorldRole::Runner || to.role == WorldRole::Runner;
    // A copy that finds nobody does not undo the arrival of another: a client says "not sent" only if no byte left.
    message.deliver = [this, to, deliver = std::move(deliver), failed = message.fail, arrived = std::make_shared<bool>(false)] {
        if (isUp(to)) {
            *arrived = true;
            deliver();
        } else if (m_network.random().percent(70)) {
            failed(*arrived ? Delivery::Unknown : Delivery::NotSent); // nobody listens there
        }
    };
    m_network.send(m_now, std::move(message));
}

ConnectionId World::openExchange(Exchange exchange, Duration timeout)
{
    const ConnectionId connection(m_nextConnection++);
    exchange.clientLife = lifeOf(exchange.client);
    exchange.serverLife = lifeOf(exchange.server);
    m_network.schedule(m_now + timeout, exchange.client, [this, connection] {
        const auto found = m_exchanges.find(connection);
        if (found == m_exchanges.end()) {
            return;
        }
        const auto ended = std::move(found->second);
        m_exchanges.erase(found);
        if (isLife(ended.client, ended.clientLife)) {
            ended.fail(Delivery::Unknown);
        }
    });
    m_exchanges.emplace(connection, std::move(exchange));
    return connection;
}

void World::setTimer(WorldPeer peer, MonotonicTime at)
{
    const bool isEntry = peer.role == WorldRole::Entry;
    const auto offset = isEntry ? m_entries[peer.index].clockOffset : m_agents[peer.index].clockOffset;
    auto &number = isEntry ? m_entries[peer.index].timerNumber : m_agents[peer.index].timerNumber;
    ++number;
    if (at > m_now + offset + std::chrono::hours(24)) {
        return;
    }
    m_network.schedule(at - offset, peer, [this, peer, life = lifeOf(peer), expected = number] { wake(peer, life, expected); });
}

void World::wake(WorldPeer peer, std::uint64_t life, std::uint64_t timerNumber)
{
    if (!isLife(peer, life)) {
        return;
    }
    if (peer.role == WorldRole::Entry && m_entries[peer.index].timerNumber == timerNumber) {
        feedEntry(peer.index, Tick{});
    } else if (peer.role == WorldRole::Agent && m_agents[peer.index].timerNumber == timerNumber) {
        feedAgent(peer.index, Tick{});
    }
}

void World::failExchangesOf(WorldPeer server)
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
            if (isLife(exchange.client, exchange.clientLife)) {
                exchange.fail(Delivery::Unknown);
            }
        });
    }
}

void World::breakAgent(std::size_t agent)
{
    auto broken = std::exchange(m_agentExchanges, {});
    for (auto &exchange : broken) {
        if (exchange.agent != agent) {
            m_agentExchanges.push_back(std::move(exchange));
            continue;
        }
        const WorldPeer owner{WorldRole::Entry, exchange.entry};
        m_network.schedule(m_now + milliseconds(1), owner, [this, owner, exchange] {
            if (isLife(owner, exchange.entryLife)) {
                const AgentName name = m_agents[exchange.agent].settings.name;
                feedEntry(owner.index, AgentSendFailed{name, exchange.agentIncarnation, Delivery::Unknown, exchange.tasks});
            }
        });
    }
}

void World::endLife(WorldPeer peer, bool tellPeers)
{
    if (peer.role == WorldRole::Runner) {
        m_runners[peer.index].up = false;
        return;
    }
    if (tellPeers) {
        failExchangesOf(peer);
    }
    if (peer.role == WorldRole::Entry) {
        m_checker.memoryLost();
        m_entries[peer.index].machine.reset();
        return;
    }
    m_agents[peer.index].machine.reset();
    if (tellPeers) {
        breakAgent(peer.index);
    }
}

void World::restart(WorldPeer peer)
{
    endLife(peer, m_network.random().percent(60));
    m_network.setPaused(peer, false);
    if (peer.role == WorldRole::Entry) {
        startEntry(peer.index);
    } else if (peer.role == WorldRole::Agent) {
        startAgent(peer.index);
    } else {
        m_runners[peer.index].restart();
    }
}

WorldPeer World::processOf(std::uint32_t choice) const
{
    const auto position = choice % (EntryCount + 2 * AgentCount);
    if (position < EntryCount) {
        return {WorldRole::Entry, position};
    }
    const auto index = (position - EntryCount) % AgentCount;
    return {position < EntryCount + AgentCount ? WorldRole::Agent : WorldRole::Runner, index};
}

void World::drain(WorldPeer peer)
{
    if (peer.role == WorldRole::Entry && isUp(peer)) {
        feedEntry(peer.index, DrainRequested{});
    } else if (peer.role == WorldRole::Agent && isUp(peer)) {
        feedAgent(peer.index, DrainRequested{});
    }
}

void World::apply(const WorldEvent &event)
{
    const auto entry = event.a % EntryCount;
    const auto call = m_calls.empty() ? 0 : event.b % m_calls.size();
    const auto process = processOf(event.a);
    switch (event.kind) {
    case WorldEventKind::Run:
        run(std::min<Duration>(MaxRun, milliseconds(event.a)));
        break;
    case WorldEventKind::Submit:
        addCall(entry, makeJob(event.b));
        break;
    case WorldEventKind::Resubmit:
        if (!m_calls.empty()) {
            addCall(entry, m_calls[call].job);
        }
        break;
    case WorldEventKind::Conflict:
        if (!m_calls.empty()) {
            addCall(entry, makeConflict(*m_calls[call].job));
        }
        break;
    case WorldEventKind::Cancel:
        if (!m_calls.empty()) {
            cancel(entry, m_calls[call].job->key);
        }
        break;
    case WorldEventKind::Drop:
        m_network.drop(m_now, event.a, event.b % 2 == 0);
        break;
    case WorldEventKind::Duplicate:
        m_network.duplicate(event.a, std::min<Duration>(MaxDelay, milliseconds(event.b)));
        break;
    case WorldEventKind::Delay:
        m_network.delay(event.a, std::min<Duration>(MaxDelay, milliseconds(event.b)));
        break;
    case WorldEventKind::Weather:
        m_network.setWeather(event.a);
        break;
    case WorldEventKind::Restart:
        restart(process);
        break;
    case WorldEventKind::Kill:
        endLife(process, event.b % 2 == 0);
        break;
    case WorldEventKind::Pause:
        m_network.setPaused(process, true);
        m_checker.memoryLost();
        break;
    case WorldEventKind::Resume:
        m_network.setPaused(process, false);
        break;
    case WorldEventKind::Cut:
        m_network.cut(event.a);
        m_checker.memoryLost();
        break;
    case WorldEventKind::Mend:
        m_network.cut(0);
        break;
    case WorldEventKind::Platform:
        m_platform.setMood(event.a);
        break;
    case WorldEventKind::LeaveUpstream:
        m_runners[event.a % AgentCount].leaving = true;
        break;
    case WorldEventKind::Drain:
        drain(process);
        break;
    case WorldEventKind::BreakAgent:
        breakAgent(event.a % AgentCount);
        break;
    case WorldEventKind::End:
        break;
    }
}

void World::finish()
{
    m_finishing = true;
    m_network.heal();
    m_platform.setMood(0);
    for (std::uint32_t choice = 0; choice < EntryCount + 2 * AgentCount; ++choice) {
        const auto peer = processOf(choice);
        if (!isUp(peer) || (peer.role == WorldRole::Runner && m_runners[peer.index].leaving)) {
            restart(peer);
        }
    }
    for (Duration passed{}; passed < FinishTime && !isSettled(); passed += seconds(1)) {
        run(seconds(1));
        for (std::uint32_t choice = 0; choice < EntryCount + 2 * AgentCount; ++choice) {
            if (const auto peer = processOf(choice); !isUp(peer)) {
                restart(peer);
            }
        }
        retryCalls();
    }
    for (const auto &call : m_calls) {
        if (!call.settled) {
            m_checker.fail("never answered: " + call.job->key.toString());
        }
    }
    run(seconds(60)); // whatever is still under way must not start anything
}

const WorldChecker &World::checker() const
{
    return m_checker;
}

bool World::isSettled() const
{
    return std::ranges::all_of(m_calls, &Call::settled);
}

} // namespace Sycamoremoor
