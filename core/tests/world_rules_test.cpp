// Shows that the world's checks can fail: with a rule switched off it finds a broken promise.
#include "world.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace Sycamoremoor
{

namespace
{

constexpr std::uint64_t MaxFleets = 1'000;
constexpr std::uint64_t CheckedFleets = 400;
constexpr int EventsAFleet = 60;

/** A rule, and how to switch it off. */
struct RuleCase {
    const char *name;
    void (*switchOff)(WorldOptions &options);
};

const std::vector<RuleCase> ruleCases{
    {"IncarnationAndStamp",
     [](WorldOptions &options) {
         options.ledgerRules.checkIncarnation = false;
         options.ledgerRules.checkStamp = false;
     }},
    {"KeepBeyondStartMaxAge",
     [](WorldOptions &options) {
         options.ledgerRules.retainBeyondStartMaxAge = false;
     }},
    {"Ledger",
     [](WorldOptions &options) {
         options.ledgerRules.checkLedger = false;
     }},
    {"TombstoneRefused",
     [](WorldOptions &options) {
         options.ledgerRules.tombstoneRefused = false;
     }},
    {"TombstoneQueried",
     [](WorldOptions &options) {
         options.ledgerRules.tombstoneQueried = false;
     }},
    {"LostIsNeverNotRun",
     [](WorldOptions &options) {
         options.ledgerRules.unknownAfterBrokenStart = false;
     }},
    {"CompareBeforeWrite",
     [](WorldOptions &options) {
         options.comparesBeforeWrite = false;
     }},
};

/** A random event; faults are more frequent than in the property. */
WorldEvent anyEvent(WorldRandom &random)
{
    const auto kind = random.percent(25) ? WorldEventKind::Run
        : random.percent(20)             ? WorldEventKind::Submit
                                         : static_cast<WorldEventKind>(random.below(static_cast<std::uint64_t>(WorldEventKind::End)));
    return {kind, static_cast<std::uint32_t>(random.below(4'000)), static_cast<std::uint32_t>(random.below(40'000))};
}

/** Runs one fleet. @return what it broke */
std::vector<std::string> runFleet(const RuleCase *rule, std::uint64_t seed)
{
    WorldOptions options;
    options.seed = seed;
    if (rule != nullptr) {
        rule->switchOff(options);
    }
    World world(options);
    WorldRandom random(seed);
    for (int event = 0; event < EventsAFleet && world.checker().broken().empty(); ++event) {
        world.apply(anyEvent(random));
    }
    if (world.checker().broken().empty()) {
        world.finish();
    }
    return world.checker().broken();
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
        if (const auto broken = runFleet(&GetParam(), seed); !broken.empty() && !broken.front().starts_with("never answered")) {
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
