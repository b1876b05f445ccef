// Names of what takes part in the property simulation, and the faults that it can be told to cause.
#pragma once

#include <sycamoremoor/core/entry_input_type.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>

namespace Sycamoremoor
{

/** What a process of the simulation is. */
enum class SimulationRole {
    Outside, ///< callers, and the simulation's own timers
    Entry,
    Agent,
    Runner,
    Platform,
};

/** One process of the simulation. */
struct SimulationPeer {
    SimulationRole role = SimulationRole::Outside;
    std::size_t index = 0;

    friend auto operator<=>(const SimulationPeer &, const SimulationPeer &) = default;
};

/** A message under way, or a timer of the simulation. */
struct SimulationMessage {
    SimulationPeer from;
    SimulationPeer to;
    std::function<void()> deliver;
    std::function<void(Delivery)> fail; ///< tells the sender; may be empty
    bool isTimer = false;               ///< no network: never dropped, duplicated or delayed
    bool isSingle = false;              ///< never duplicated
};

/** Everything that a test can do to the simulation. */
enum class SimulationEventKind {
    Run,                   ///< let time pass: a milliseconds
    Submit,                ///< a new job at entry a, with b choosing its tasks
    Resubmit,              ///< job b again at entry a
    Conflict,              ///< the key of job b with another body at entry a
    Cancel,                ///< job b at entry a
    Drop,                  ///< message a under way; b chooses whether the sender learns of it
    Duplicate,             ///< message a under way, the copy b milliseconds later
    Delay,                 ///< message a under way by b milliseconds
    FaultRates,            ///< from now on a chooses shares of dropped, duplicated, delayed messages
    Restart,               ///< process a at once
    Kill,                  ///< process a until the next Restart of it
    Pause,                 ///< process a until Resume
    Resume,                ///< process a
    Partition,             ///< processes on two sides that a chooses do not hear each other
    HealPartition,         ///< the cut is over
    Platform,              ///< down, slow, losing answers or well, by a
    LeaveUpstream,         ///< runner a asks for no new work
    Drain,                 ///< entry or agent a stops as planned
    BreakAgentConnections, ///< connections to agent a break, it lives on
    End,
};

/** One thing that a test does. */
struct SimulationEvent {
    SimulationEventKind kind = SimulationEventKind::Run;
    std::uint32_t a = 0;
    std::uint32_t b = 0;
};

std::ostream &operator<<(std::ostream &stream, const SimulationEvent &event);

/** A small generator of pseudo-random numbers, the same everywhere. */
class SimulationRandom
{
public:
    explicit SimulationRandom(std::uint64_t seed)
        : m_state(seed)
    {
    }

    std::uint64_t next()
    {
        m_state += 0x9E3779B97F4A7C15ULL;
        auto mixed = m_state;
        mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
        return mixed ^ (mixed >> 31U);
    }

    /** Returns a number below @p bound. */
    std::uint64_t below(std::uint64_t bound)
    {
        return next() % bound;
    }

    bool percent(std::uint32_t share)
    {
        return below(100) < share;
    }

private:
    std::uint64_t m_state;
};

} // namespace Sycamoremoor
