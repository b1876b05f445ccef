// Property test of whole fleets under random faults: checks every promise of docs/ONCE.md after each event.
#include "simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <string_view>

namespace Sycamoremoor
{

namespace
{

constexpr std::array<std::string_view, static_cast<std::size_t>(SimulationEventKind::End)> EventNames{
    "Run",
    "Submit",
    "Resubmit",
    "Conflict",
    "Cancel",
    "Drop",
    "Duplicate",
    "Delay",
    "FaultRates",
    "Restart",
    "Kill",
    "Pause",
    "Resume",
    "Partition",
    "HealPartition",
    "Platform",
    "LeaveUpstream",
    "Drain",
    "BreakAgentConnections",
};

} // namespace

std::ostream &operator<<(std::ostream &stream, const SimulationEvent &event)
{
    return stream << "{SimulationEventKind::" << EventNames.at(static_cast<std::size_t>(event.kind)) << ", " << event.a << ", " << event.b
                  << "}";
}

namespace
{

/** Generates a random event; Run and Submit are more frequent than faults. */
rc::Gen<SimulationEvent> anyEvent()
{
    const auto kind = rc::gen::weightedElement<SimulationEventKind>({
        {14, SimulationEventKind::Run},
        {10, SimulationEventKind::Submit},
        {4, SimulationEventKind::Resubmit},
        {1, SimulationEventKind::Conflict},
        {2, SimulationEventKind::Cancel},
        {4, SimulationEventKind::Drop},
        {4, SimulationEventKind::Duplicate},
        {4, SimulationEventKind::Delay},
        {1, SimulationEventKind::FaultRates},
        {3, SimulationEventKind::Restart},
        {1, SimulationEventKind::Kill},
        {3, SimulationEventKind::Pause},
        {3, SimulationEventKind::Resume},
        {1, SimulationEventKind::Partition},
        {2, SimulationEventKind::HealPartition},
        {1, SimulationEventKind::Platform},
        {1, SimulationEventKind::LeaveUpstream},
        {1, SimulationEventKind::Drain},
        {1, SimulationEventKind::BreakAgentConnections},
    });
    return rc::gen::build<SimulationEvent>(rc::gen::set(&SimulationEvent::kind, kind),
                                           rc::gen::set(&SimulationEvent::a, rc::gen::inRange<std::uint32_t>(0, 4'000)),
                                           rc::gen::set(&SimulationEvent::b, rc::gen::inRange<std::uint32_t>(0, 40'000)));
}

} // namespace

RC_GTEST_PROP(WorldProperty, EveryPromiseHolds, (std::uint64_t seed))
{
    SimulationOptions options;
    options.seed = seed;
    Simulation simulation(options);
    const auto events = *rc::gen::container<std::vector<SimulationEvent>>(anyEvent());
    for (const auto &event : events) {
        simulation.apply(event);
        RC_ASSERT(simulation.checker().violations() == std::vector<std::string>());
    }
    simulation.finish();
    RC_ASSERT(simulation.checker().violations() == std::vector<std::string>());
}

} // namespace Sycamoremoor
