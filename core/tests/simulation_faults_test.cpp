// Faults that the property simulation found, each with the shortest sequence of events that showed it.
#include "simulation.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace Sycamoremoor
{

namespace
{

using Kind = SimulationEventKind;

/** Events that once broke a promise. */
struct FoundCase {
    const char *name;
    std::uint64_t seed;
    std::vector<SimulationEvent> events;
};

const std::vector<FoundCase> foundCases{
    // After a takeover, the new owner answered the second body under a key with the first one's results from the ledgers.
    {"SecondBodyAfterTakeover", 0, {{Kind::Submit, 0, 0}, {Kind::Run, 5, 0}, {Kind::Conflict, 0, 0}, {Kind::Restart, 672, 0}}},
    // An answer requested by key alone was sent to a caller that had submitted another body.
    {"AnswerAskedForByKey", 12, {{Kind::Submit, 0, 0}, {Kind::Partition, 1281, 0}, {Kind::Conflict, 80, 0}, {Kind::Run, 36, 0}}},
    // An outdated roster made entries treat the current incarnation of a peer as a past one and ignore it for good.
    {"AllEntriesRestarted",
     0,
     {{Kind::Run, 1, 0}, {Kind::Restart, 992, 0}, {Kind::Submit, 0, 0}, {Kind::Restart, 936, 0}, {Kind::Restart, 0, 0}}},
    // A fault of the simulation: the duplicate of a delivered start found its agent dead, and the owner got NotSent for it.
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
