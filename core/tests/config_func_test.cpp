// Tests for the validation and comparison of whole configuration sets.
#include <sycamoremoor/core/config_func.h>

#include <gtest/gtest.h>

namespace Sycamoremoor
{

namespace
{

ConfigSet validSet()
{
    ConfigSet set;
    set.services[ServiceName("reclaim-desk")].name = ServiceName("reclaim-desk");
    set.teams[TeamName("intake")].name = TeamName("intake");
    return set;
}

struct FaultyChange {
    const char *name;
    void (*change)(ConfigSet &set);
    ConfigFault fault;
};

class ConfigFaultTest : public testing::TestWithParam<FaultyChange>
{
};

ServiceRecord &service(ConfigSet &set)
{
    return set.services.begin()->second;
}

} // namespace

TEST(ConfigTest, DefaultsAreValidAndEqualSetsDoNotDiffer)
{
    EXPECT_EQ(validateConfig(validSet()), std::vector<ConfigFault>());
    EXPECT_EQ(diffConfig(validSet(), validSet()), std::vector<ConfigDifference>());
}

TEST_P(ConfigFaultTest, IsReported)
{
    auto set = validSet();
    GetParam().change(set);
    EXPECT_EQ(validateConfig(set), std::vector<ConfigFault>{GetParam().fault});
}

INSTANTIATE_TEST_SUITE_P(
    Changes,
    ConfigFaultTest,
    testing::Values(FaultyChange{"NoSlots",
                                 [](ConfigSet &set) { service(set).slotsPerUpstream = Slots(0); },
                                 {"service reclaim-desk", "slots_per_upstream", "0 is not from 1 to 1024 tasks"}},
                    FaultyChange{"DeadlineAboveMost",
                                 [](ConfigSet &set) { service(set).defaultDeadline = std::chrono::minutes(6); },
                                 {"service reclaim-desk", "default_deadline_ms", "is above max_deadline_ms"}},
                    FaultyChange{
                        "NoService", [](ConfigSet &set) { set.services.clear(); }, {"set", "service", "there must be at least one"}},
                    FaultyChange{"NoTeam", [](ConfigSet &set) { set.teams.clear(); }, {"set", "team", "there must be at least one"}},
                    FaultyChange{"OddName",
                                 [](ConfigSet &set) { set.teams[TeamName("a b")].name = TeamName("a b"); },
                                 {"team a b", "name", "must have 1 to 64 letters, digits, '-', '_' or '.'"}},
                    FaultyChange{"EjectsAll",
                                 [](ConfigSet &set) { set.policy.maxEjectedPercent = 100; },
                                 {"policy", "max_ejected_percent", "100 is not from 0 to 90 percent"}}),
    [](const auto &instance) { return instance.param.name; });

TEST(ConfigTest, DifferencesNameRecordFieldAndValues)
{
    auto before = validSet();
    auto after = validSet();
    service(after).slotsPerUpstream = Slots(9);
    after.teams.clear();
    after.teams[TeamName("dock")] = {.name = TeamName("dock"), .weight = 3};
    const std::vector<ConfigDifference> expected{{"service reclaim-desk", "slots_per_upstream", "8", "9"},
                                                 {"team intake", "", "present", ""},
                                                 {"team dock", "", "", "present"},
                                                 {"team dock", "weight", "1", "3"}};
    EXPECT_EQ(diffConfig(before, after), expected);
}

} // namespace Sycamoremoor
