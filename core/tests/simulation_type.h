// Processes and messages of the property simulation, and the events that a test can cause in it.
#pragma once

#include <sycamoremoor/core/entry_input_type.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>

namespace Sycamoremoor
{

/** Role of a simulated process. */
enum class SimulationRole {
    Outside, ///< callers, and the simulation's own timers
    Entry,
    Agent,
    Runner,
    Platform,
};

/** A simulated process. */
struct SimulationPeer {
    SimulationRole role = SimulationRole::Outside;
    std::size_t index = 0;

    friend auto operator<=>(const SimulationPeer &, const SimulationPeer &) = default;
};

/** A message in transit, or a timer of the simulation. */
struct SimulationMessage {
    SimulationPeer from;
    SimulationPeer to;
    std::function<void()> deliver;
    std::function<void(Delivery)> fail; ///< notifies the sender of a failed delivery; may be empty
    bool isTimer = false;               ///< no network message: never dropped, duplicated or delayed
    bool isSingle = false;              ///< never duplicated
};

/** Kinds of events. An index in a or b is taken modulo the number of entries, processes, jobs or messages. */
enum class SimulationEventKind {
    Run,                   ///< advances the clock by a milliseconds
    Submit,                ///< submits a new job at entry a; b chooses its tasks
    Resubmit,              ///< submits job b again at entry a
    Conflict,              ///< submits another body under the key of job b at entry a
    Cancel,                ///< cancels job b at entry a
    Drop,                  ///< drops message a in transit; b chooses whether the sender is notified
    Duplicate,             ///< duplicates message a in transit; the copy arrives b milliseconds later
    Delay,                 ///< delays message a in transit by b milliseconds
    FaultRates,            ///< sets the rates of dropped, duplicated and delayed messages by a
    Restart,               ///< restarts process a at once
    Kill,                  ///< ends process a until its next Restart
    Pause,                 ///< pauses process a until Resume
    Resume,                ///< resumes process a
    Partition,             ///< drops messages between two groups of processes; the bits of a choose the groups
    HealPartition,         ///< ends the partition
    Platform,              ///< makes the platform healthy, down, slow, or lose answers, by a
    LeaveUpstream,         ///< runner a asks for no new tasks
    Drain,                 ///< drains entry or agent a
    BreakAgentConnections, ///< breaks the connections to agent a, which keeps running
    End,
};

/** An event that a test causes. */
struct SimulationEvent {
    SimulationEventKind kind = SimulationEventKind::Run;
    std::uint32_t a = 0;
    std::uint32_t b = 0;
};

std::ostream &operator<<(std::ostream &stream, const SimulationEvent &event);

/** Pseudo-random number generator (SplitMix64) with the same sequence on every platform. */
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
