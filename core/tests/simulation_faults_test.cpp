// Faults that the property simulation found, as the shortest events that showed them; and what it finds when a rule is off.
#include "simulation.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace Sycamoremoor
{

namespace
{

using Kind = SimulationEventKind;

/** A run that once broke a promise. */
struct FoundCase {
    const char *name;
    std::uint64_t seed;
    std::vector<SimulationEvent> events;
};

const std::vector<FoundCase> foundCases{
    // The new owner answered the second body with the first one's results, out of the ledgers.
    {"SecondBodyAfterTakeover", 0, {{Kind::Submit, 0, 0}, {Kind::Run, 5, 0}, {Kind::Conflict, 0, 0}, {Kind::Restart, 672, 0}}},
    // An answer that was asked for by key alone went to the caller of the other body.
    {"AnswerAskedForByKey", 12, {{Kind::Submit, 0, 0}, {Kind::Partition, 1281, 0}, {Kind::Conflict, 80, 0}, {Kind::Run, 36, 0}}},
    // An old roster made entries take the current incarnation of a peer for a past one, and never hear it again.
    {"AllEntriesRestarted",
     0,
     {{Kind::Run, 1, 0}, {Kind::Restart, 992, 0}, {Kind::Submit, 0, 0}, {Kind::Restart, 936, 0}, {Kind::Restart, 0, 0}}},
    // The copy of a start found its agent dead, and the simulation told the owner that the start had never left.
    {"CopyOfADeliveredStart",
     393,
     {{Kind::Run, 1965, 13289},
      {Kind::Run, 3541, 10826},
      {Kind::Pause, 427, 23702},
      {Kind::Run, 1990, 32535},
      {Kind::Drain, 2194, 27336},
      {Kind::Submit, 2919, 19539},
      {Kind::Run, 2317, 36802},
      {Kind::Restart, 142, 5279},
      {Kind::Resume, 3562, 24002},
      {Kind::Submit, 1167, 6882},
      {Kind::Drop, 139, 25044},
      {Kind::Cancel, 1584, 25822},
      {Kind::Drop, 3419, 39829},
      {Kind::FaultRates, 925, 4902},
      {Kind::Submit, 481, 23065},
      {Kind::Run, 423, 292},
      {Kind::Kill, 2610, 5607},
      {Kind::Run, 1712, 1078}}},
    {"AnswerAskedForByKeyLater", 83, {{Kind::Partition, 65, 0}, {Kind::Submit, 0, 0}, {Kind::Run, 50, 0}, {Kind::Conflict, 0, 0}}},
};

std::string caseName(const testing::TestParamInfo<FoundCase> &info)
{
    return info.param.name;
}

} // namespace

class WorldFoundTest : public testing::TestWithParam<FoundCase>
{
};

TEST_P(WorldFoundTest, StaysFixed)
{
    const auto &found = GetParam();
    SimulationOptions options;
    options.seed = found.seed;
    Simulation simulation(options);
    for (const auto &event : found.events) {
        simulation.apply(event);
    }
    simulation.finish();
    EXPECT_EQ(simulation.checker().violations(), std::vector<std::string>());
}

INSTANTIATE_TEST_SUITE_P(Found, WorldFoundTest, testing::ValuesIn(foundCases), caseName);

} // namespace Sycamoremoor
