// Messages under way between the processes of the world, and what befalls them.
#include "world_network.h"

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
constexpr Duration FailureNotice = milliseconds(20); ///< until a sender learns of a broken connection
constexpr std::array MaxDelays{milliseconds(50), milliseconds(2'000), milliseconds(8'000), milliseconds(45'000)};

std::size_t bitOf(WorldPeer peer)
{
    constexpr std::size_t BitsPerRole = 6;
    return static_cast<std::size_t>(peer.role) * BitsPerRole + peer.index;
}

} // namespace

WorldNetwork::WorldNetwork(std::uint64_t seed)
    : m_random(seed)
{
}

WorldRandom &WorldNetwork::random()
{
    return m_random;
}

void WorldNetwork::put(MonotonicTime at, WorldMessage message)
{
    m_messages.emplace(Key{at, ++m_sequence}, std::move(message));
}

void WorldNetwork::send(MonotonicTime now, WorldMessage message)
{
    if (isCut(message) || m_random.percent(m_dropPercent)) {
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

void WorldNetwork::schedule(MonotonicTime at, WorldPeer owner, std::function<void()> action)
{
    WorldMessage timer;
    timer.to = owner;
    timer.deliver = std::move(action);
    timer.isTimer = true;
    put(at, std::move(timer));
}

void WorldNetwork::lose(MonotonicTime now, const WorldMessage &message, bool tell)
{
    if (tell && message.fail) {
        schedule(now + FailureNotice, message.from, [fail = message.fail] { fail(Delivery::Unknown); });
    }
}

WorldNetwork::Messages::const_iterator WorldNetwork::firstDeliverable() const
{
    return std::ranges::find_if(m_messages, [this](const auto &entry) { return !isPaused(entry.second.to); });
}

std::optional<MonotonicTime> WorldNetwork::nextArrival() const
{
    const auto first = firstDeliverable();
    return first == m_messages.end() ? std::nullopt : std::optional(first->first.first);
}

WorldMessage WorldNetwork::takeNext()
{
    const auto first = firstDeliverable();
    auto message = first->second;
    m_messages.erase(first);
    return message;
}

WorldNetwork::Messages::iterator WorldNetwork::pick(std::uint32_t which)
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

void WorldNetwork::drop(MonotonicTime now, std::uint32_t which, bool tell)
{
    if (const auto picked = pick(which); picked != m_messages.end()) {
        lose(now, picked->second, tell);
        m_messages.erase(picked);
    }
}

void WorldNetwork::duplicate(std::uint32_t which, Duration later)
{
    if (const auto picked = pick(which); picked != m_messages.end() && !picked->second.isSingle) {
        put(picked->first.first + later, picked->second);
    }
}

void WorldNetwork::delay(std::uint32_t which, Duration by)
{
    if (const auto picked = pick(which); picked != m_messages.end()) {
        auto message = std::move(picked->second);
        const auto at = picked->first.first + by;
        m_messages.erase(picked);
        put(at, std::move(message));
    }
}

void WorldNetwork::setWeather(std::uint32_t choice)
{
    constexpr std::array<std::uint32_t, 4> Shares{0, 2, 10, 30};
    m_dropPercent = Shares.at(choice % 4);
    m_duplicatePercent = Shares.at(choice / 4 % 4);
    m_delayPercent = Shares.at(choice / 16 % 4);
    m_maxDelay = MaxDelays.at(choice / 64 % 4);
}

void WorldNetwork::setPaused(WorldPeer peer, bool paused)
{
    if (paused) {
        m_paused.insert(peer);
    } else {
        m_paused.erase(peer);
    }
}

bool WorldNetwork::isPaused(WorldPeer peer) const
{
    return m_paused.contains(peer);
}

void WorldNetwork::cut(std::uint32_t sides)
{
    m_sides = sides;
}

bool WorldNetwork::sideOf(WorldPeer peer) const
{
    return ((m_sides >> (bitOf(peer) % 32)) & 1U) != 0;
}

bool WorldNetwork::isCut(const WorldMessage &message) const
{
    // A runner stands on its agent's machine.
    const bool local = message.from.role == WorldRole::Runner || message.to.role == WorldRole::Runner;
    return m_sides != 0 && !local && sideOf(message.from) != sideOf(message.to);
}

void WorldNetwork::heal()
{
    m_sides = 0;
    m_paused.clear();
    setWeather(0);
}

} // namespace Sycamoremoor
