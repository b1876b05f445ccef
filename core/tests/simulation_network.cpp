// Messages in transit between simulated processes, and faults of the network.
#include "simulation_network.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace Sycamoremoor
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration MinLatency = std::chrono::microseconds(300);
constexpr std::uint64_t LatencySpread = 3'000;       ///< microseconds
constexpr Duration FailureNotice = milliseconds(20); ///< until a sender is notified of a broken connection
constexpr std::array MaxDelays{milliseconds(50), milliseconds(2'000), milliseconds(8'000), milliseconds(45'000)};

std::size_t bitOf(SimulationPeer peer)
{
    constexpr std::size_t BitsPerRole = 6;
    return static_cast<std::size_t>(peer.role) * BitsPerRole + peer.index;
}

} // namespace

SimulationNetwork::SimulationNetwork(std::uint64_t seed)
    : m_random(seed)
{
}

SimulationRandom &SimulationNetwork::random()
{
    return m_random;
}

void SimulationNetwork::put(MonotonicTime at, SimulationMessage message)
{
    m_messages.emplace(Key{at, ++m_sequence}, std::move(message));
}

void SimulationNetwork::send(MonotonicTime now, SimulationMessage message)
{
    if (isPartitioned(message) || m_random.percent(m_dropPercent)) {
        lose(now, message, m_random.percent(50));
        return;
    }
    auto latency = MinLatency + Duration(m_random.below(LatencySpread));
    if (m_random.percent(m_delayPercent)) {
        latency += Duration(m_random.below(static_cast<std::uint64_t>(m_maxDelay.count()) + 1));
    }
    if (!message.isSingle && m_random.percent(m_duplicatePercent)) {
        put(now + latency + Duration(m_random.below(static_cast<std::uint64_t>(m_maxDelay.count()) + LatencySpread)), message);
    }
    put(now + latency, std::move(message));
}

void SimulationNetwork::schedule(MonotonicTime at, SimulationPeer owner, std::function<void()> action)
{
    SimulationMessage timer;
    timer.to = owner;
    timer.deliver = std::move(action);
    timer.isTimer = true;
    put(at, std::move(timer));
}

void SimulationNetwork::lose(MonotonicTime now, const SimulationMessage &message, bool notifySender)
{
    if (notifySender && message.fail) {
        schedule(now + FailureNotice, message.from, [fail = message.fail] { fail(Delivery::Unknown); });
    }
}

SimulationNetwork::Messages::const_iterator SimulationNetwork::firstDeliverable() const
{
    return std::ranges::find_if(m_messages, [this](const auto &entry) { return !isPaused(entry.second.to); });
}

std::optional<MonotonicTime> SimulationNetwork::nextArrival() const
{
    const auto first = firstDeliverable();
    return first == m_messages.end() ? std::nullopt : std::optional(first->first.first);
}

SimulationMessage SimulationNetwork::takeNext()
{
    const auto first = firstDeliverable();
    auto message = first->second;
    m_messages.erase(first);
    return message;
}

SimulationNetwork::Messages::iterator SimulationNetwork::pick(std::uint32_t which)
{
    const auto isMessage = [](const auto &entry) {
        return !entry.second.isTimer;
    };
    const auto count = std::ranges::count_if(m_messages, isMessage);
    if (count == 0) {
        return m_messages.end();
    }
    auto remaining = static_cast<std::int64_t>(which) % count;
    return std::ranges::find_if(m_messages, [&](const auto &entry) { return isMessage(entry) && remaining-- == 0; });
}

void SimulationNetwork::drop(MonotonicTime now, std::uint32_t which, bool notifySender)
{
    if (const auto picked = pick(which); picked != m_messages.end()) {
        lose(now, picked->second, notifySender);
        m_messages.erase(picked);
    }
}

void SimulationNetwork::duplicate(std::uint32_t which, Duration later)
{
    if (const auto picked = pick(which); picked != m_messages.end() && !picked->second.isSingle) {
        put(picked->first.first + later, picked->second);
    }
}

void SimulationNetwork::delay(std::uint32_t which, Duration by)
{
    if (const auto picked = pick(which); picked != m_messages.end()) {
        auto message = std::move(picked->second);
        const auto at = picked->first.first + by;
        m_messages.erase(picked);
        put(at, std::move(message));
    }
}

void SimulationNetwork::setFaultRates(std::uint32_t choice)
{
    constexpr std::array<std::uint32_t, 4> Shares{0, 2, 10, 30};
    m_dropPercent = Shares.at(choice % 4);
    m_duplicatePercent = Shares.at(choice / 4 % 4);
    m_delayPercent = Shares.at(choice / 16 % 4);
    m_maxDelay = MaxDelays.at(choice / 64 % 4);
}

void SimulationNetwork::setPaused(SimulationPeer peer, bool paused)
{
    if (paused) {
        m_paused.insert(peer);
    } else {
        m_paused.erase(peer);
    }
}

bool SimulationNetwork::isPaused(SimulationPeer peer) const
{
    return m_paused.contains(peer);
}

void SimulationNetwork::partition(std::uint32_t sides)
{
    m_sides = sides;
}

bool SimulationNetwork::sideOf(SimulationPeer peer) const
{
    return ((m_sides >> (bitOf(peer) % 32)) & 1U) != 0;
}

bool SimulationNetwork::isPartitioned(const SimulationMessage &message) const
{
    // A runner is on the VM of its agent: no partition separates the two.
    const bool local = message.from.role == SimulationRole::Runner || message.to.role == SimulationRole::Runner;
    return m_sides != 0 && !local && sideOf(message.from) != sideOf(message.to);
}

void SimulationNetwork::heal()
{
    m_sides = 0;
    m_paused.clear();
    setFaultRates(0);
}

} // namespace Sycamoremoor
