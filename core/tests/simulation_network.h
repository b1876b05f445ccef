// Messages under way between the processes of the simulation, and what befalls them.
#pragma once

#include "simulation_type.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace Sycamoremoor
{

/** Delivers messages in the order of their times; drops, copies, delays and cuts when told to. */
class SimulationNetwork
{
public:
    explicit SimulationNetwork(std::uint64_t seed);

    /** Puts a message under way. */
    void send(MonotonicTime now, SimulationMessage message);

    /** Calls @p action for the process @p owner at a time; held back while it is paused. */
    void schedule(MonotonicTime at, SimulationPeer owner, std::function<void()> action);

    /** Returns when the next message of a process that is not paused arrives. */
    [[nodiscard]] std::optional<MonotonicTime> nextArrival() const;

    /** Takes the next message out. */
    SimulationMessage takeNext();

    void drop(MonotonicTime now, std::uint32_t which, bool notifySender);
    void duplicate(std::uint32_t which, Duration later);
    void delay(std::uint32_t which, Duration by);
    void setFaultRates(std::uint32_t choice);
    void setPaused(SimulationPeer peer, bool paused);
    [[nodiscard]] bool isPaused(SimulationPeer peer) const;

    /** Cuts the processes whose bit is set off from the others. */
    void partition(std::uint32_t sides);

    /** Ends every fault. */
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
