// Messages in transit between simulated processes, and faults of the network.
#pragma once

#include "simulation_type.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace Sycamoremoor
{

/** Holds messages in the order of their arrival times; drops, duplicates, delays and partitions them as requested. */
class SimulationNetwork
{
public:
    explicit SimulationNetwork(std::uint64_t seed);

    /** Sends a message, subject to the partition and the fault rates. */
    void send(MonotonicTime now, SimulationMessage message);

    /** Calls @p action for the process @p owner at time @p at, or once it is no longer paused. */
    void schedule(MonotonicTime at, SimulationPeer owner, std::function<void()> action);

    /** Returns when the next message to a process that is not paused arrives. */
    [[nodiscard]] std::optional<MonotonicTime> nextArrival() const;

    /** Removes and returns the message that arrives next. */
    SimulationMessage takeNext();

    void drop(MonotonicTime now, std::uint32_t which, bool notifySender);
    void duplicate(std::uint32_t which, Duration later);
    void delay(std::uint32_t which, Duration by);
    void setFaultRates(std::uint32_t choice);
    void setPaused(SimulationPeer peer, bool paused);
    [[nodiscard]] bool isPaused(SimulationPeer peer) const;

    /** Separates the processes whose bit in @p sides is set from the others; 0 ends the partition. */
    void partition(std::uint32_t sides);

    /** Ends every fault of the network. */
    void heal();

    SimulationRandom &random();

private:
    using Key = std::pair<MonotonicTime, std::uint64_t>;
    using Messages = std::map<Key, SimulationMessage>;

    [[nodiscard]] bool isPartitioned(const SimulationMessage &message) const;
    [[nodiscard]] bool sideOf(SimulationPeer peer) const;
    Messages::const_iterator firstDeliverable() const;
    Messages::iterator pick(std::uint32_t which);
    void put(MonotonicTime at, SimulationMessage message);
    void lose(MonotonicTime now, const SimulationMessage &message, bool notifySender);

    Messages m_messages;
    std::uint64_t m_sequence = 0;
    SimulationRandom m_random;
    std::set<SimulationPeer> m_paused;
    std::uint32_t m_sides = 0;
    std::uint32_t m_dropPercent = 0;
    std::uint32_t m_duplicatePercent = 0;
    std::uint32_t m_delayPercent = 0;
    Duration m_maxDelay{};
};

} // namespace Sycamoremoor
