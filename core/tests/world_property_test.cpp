// Properties of whole fleets under random faults: every promise of docs/ONCE.md, checked after each event.
#include "world.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <string_view>

namespace Sycamoremoor
{

namespace
{

constexpr std::array<std::string_view, static_cast<std::size_t>(WorldEventKind::End)> EventNames{
    "Run",  "Submit", "Resubmit", "Conflict", "Cancel", "Drop",     "Duplicate",     "Delay", "Weather",    "Restart",
    "Kill", "Pause",  "Resume",   "Cut",      "Mend",   "Platform", "LeaveUpstream", "Drain", "BreakAgent",
};

} // namespace

std::ostream &operator<<(std::ostream &stream, const WorldEvent &event)
{
    return stream << "{WorldEventKind::" << EventNames.at(static_cast<std::size_t>(event.kind)) << ", " << event.a << ", " << event.b
                  << "}";
}

namespace
{

/** A random event; time passes and jobs come more often than faults. */
rc::Gen<WorldEvent> anyEvent()
{
    const auto kind = rc::gen::weightedElement<WorldEventKind>({
        {14, WorldEventKind::Run},          {10, WorldEventKind::Submit}, {4, WorldEventKind::Resubmit},   {1, WorldEventKind::Conflict},
        {2, WorldEventKind::Cancel},        {4, WorldEventKind::Drop},    {4, WorldEventKind::Duplicate},  {4, WorldEventKind::Delay},
        {1, WorldEventKind::Weather},       {3, WorldEventKind::Restart}, {1, WorldEventKind::Kill},       {3, WorldEventKind::Pause},
        {3, WorldEventKind::Resume},        {1, WorldEventKind::Cut},     {2, WorldEventKind::Mend},       {1, WorldEventKind::Platform},
        {1, WorldEventKind::LeaveUpstream}, {1, WorldEventKind::Drain},   {1, WorldEventKind::BreakAgent},
    });
    return rc::gen::build<WorldEvent>(rc::gen::set(&WorldEvent::kind, kind),
                                      rc::gen::set(&WorldEvent::a, rc::gen::inRange<std::uint32_t>(0, 4'000)),
                                      rc::gen::set(&WorldEvent::b, rc::gen::inRange<std::uint32_t>(0, 40'000)));
}

} // namespace

RC_GTEST_PROP(WorldProperty, EveryPromiseHolds, (std::uint64_t seed))
{
    WorldOptions options;
    options.seed = seed;
    World world(options);
    const auto events = *rc::gen::container<std::vector<WorldEvent>>(anyEvent());
    for (const auto &event : events) {
        world.apply(event);
        RC_ASSERT(world.checker().broken() == std::vector<std::string>());
    }
    world.finish();
    RC_ASSERT(world.checker().broken() == std::vector<std::string>());
}

} // namespace Sycamoremoor
