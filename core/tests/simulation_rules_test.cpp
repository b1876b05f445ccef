// Tests that the checks of the simulation can fail: with a rule switched off, it finds a broken promise.
#include "simulation.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace Sycamoremoor
{

namespace
{

constexpr std::uint64_t MaxFleets = 1'000;
constexpr std::uint64_t CheckedFleets = 400;
constexpr int EventsPerFleet = 60;

/** A rule, and how to switch it off. */
struct RuleCase {
    const char *name;
    void (*switchOff)(SimulationOptions &options);
};

const std::vector<RuleCase> ruleCases{
    {"IncarnationAndStamp",
     [](SimulationOptions &options) {
         options.ledgerRules.checkIncarnation = false;
         options.ledgerRules.checkStamp = false;
     }},
    {"KeepBeyondStartMaxAge",
     [](SimulationOptions &options) {
         options.ledgerRules.retainBeyondStartMaxAge = false;
     }},
    {"Ledger",
     [](SimulationOptions &options) {
         options.ledgerRules.checkLedger = false;
     }},
    {"TombstoneRefused",
     [](SimulationOptions &options) {
         options.ledgerRules.tombstoneRefused = false;
     }},
    {"TombstoneQueried",
     [](SimulationOptions &options) {
         options.ledgerRules.tombstoneQueried = false;
     }},
    {"LostIsNeverNotRun",
     [](SimulationOptions &options) {
         options.ledgerRules.unknownAfterBrokenStart = false;
     }},
    {"CompareBeforeWrite",
     [](SimulationOptions &options) {
         options.comparesBeforeWrite = false;
     }},
};

/** Returns a random event; faults are more frequent than in WorldProperty. */
SimulationEvent anyEvent(SimulationRandom &random)
{
    const auto kind = random.percent(25) ? SimulationEventKind::Run
        : random.percent(20)             ? SimulationEventKind::Submit
                             : static_cast<SimulationEventKind>(random.below(static_cast<std::uint64_t>(SimulationEventKind::End)));
    return {kind, static_cast<std::uint32_t>(random.below(4'000)), static_cast<std::uint32_t>(random.below(40'000))};
}

/** Runs one fleet. @return its violations */
std::vector<std::string> runFleet(const RuleCase *rule, std::uint64_t seed)
{
    SimulationOptions options;
    options.seed = seed;
    if (rule != nullptr) {
        rule->switchOff(options);
    }
    Simulation simulation(options);
    SimulationRandom random(seed);
    for (int event = 0; event < EventsPerFleet && simulation.checker().violations().empty(); ++event) {
        simulation.apply(anyEvent(random));
    }
    if (simulation.checker().violations().empty()) {
        simulation.finish();
    }
    return simulation.checker().violations();
}

std::string caseName(const testing::TestParamInfo<RuleCase> &info)
{
    return info.param.name;
}

} // namespace

class WorldRuleTest : public testing::TestWithParam<RuleCase>
{
};

TEST_P(WorldRuleTest, BreaksAPromiseWhenItIsOff)
{
    for (std::uint64_t seed = 1; seed <= MaxFleets; ++seed) {
        if (const auto violations = runFleet(&GetParam(), seed); !violations.empty() && !violations.front().starts_with("never answered")) {
            RecordProperty("seed", static_cast<int>(seed));
            return;
        }
    }
    FAIL() << "no fleet broke a promise";
}

INSTANTIATE_TEST_SUITE_P(Rules, WorldRuleTest, testing::ValuesIn(ruleCases), caseName);

TEST(WorldRuleTest, AllRulesOn)
{
    for (std::uint64_t seed = 1; seed <= CheckedFleets; ++seed) {
        EXPECT_EQ(runFleet(nullptr, seed), std::vector<std::string>()) << seed;
    }
}

} // namespace Sycamoremoor
