// Messages under way between the processes of the world, and what befalls them.
#pragma once

#include "world_type.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace Sycamoremoor
{

/** Delivers messages in the order of their times; drops, copies, delays and cuts when told to. */
class WorldNetwork
{
public:
    explicit WorldNetwork(std::uint64_t seed);

    /** Puts a message under way. */
    void send(MonotonicTime now, WorldMessage message);

    /** Calls @p action for the process @p owner at a time; held back while it is paused. */
    void schedule(MonotonicTime at, WorldPeer owner, std::function<void()> action);

    /** Returns when the next message of a process that is not paused arrives. */
    [[nodiscard]] std::optional<MonotonicTime> nextArrival() const;

    /** Takes the next message out. */
    WorldMessage takeNext();

    void drop(MonotonicTime now, std::uint32_t which, bool tell);
    void duplicate(std::uint32_t which, Duration later);
    void delay(std::uint32_t which, Duration by);
    void setWeather(std::uint32_t choice);
    void setPaused(WorldPeer peer, bool paused);
    [[nodiscard]] bool isPaused(WorldPeer peer) const;

    /** Cuts the processes whose bit is set off from the others. */
    void cut(std::uint32_t sides);

    /** Ends every fault. */
    void heal();

    WorldRandom &random();

private:
    using Key = std::pair<MonotonicTime, std::uint64_t>;
    using Messages = std::map<Key, WorldMessage>;

    [[nodiscard]] bool isCut(const WorldMessage &message) const;
    [[nodiscard]] bool sideOf(WorldPeer peer) const;
    Messages::const_iterator firstDeliverable() const;
    Messages::iterator pick(std::uint32_t which);
    void put(MonotonicTime at, WorldMessage message);
    void lose(MonotonicTime now, const WorldMessage &message, bool tell);

    Messages m_messages;
    std::uint64_t m_sequence = 0;
    WorldRandom m_random;
    std::set<WorldPeer> m_paused;
    std::uint32_t m_sides = 0;
    std::uint32_t m_dropPercent = 0;
    std::uint32_t m_duplicatePercent = 0;
    std::uint32_t m_delayPercent = 0;
    Duration m_maxDelay{};
};

} // namespace Sycamoremoor
