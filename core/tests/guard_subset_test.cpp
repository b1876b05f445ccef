// Which guards schedulers follow: balanced, near their zone, and stable when guards come and go.
#include <sycamoremoor/core/guard_subset.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

namespace Sycamoremoor
{

namespace
{

constexpr std::size_t Schedulers = 55;
constexpr std::size_t Guards = 240;
constexpr std::size_t Zones = 6;
constexpr std::size_t Size = 40;

ZoneName zoneOf(std::size_t index)
{
    return ZoneName("zone-" + std::to_string(index % Zones));
}

GuardSubset subsetOf(std::size_t scheduler, std::size_t size = Size)
{
    return {EntryName("front-" + std::to_string(scheduler)), zoneOf(scheduler), size};
}

GuardSubset::Guards makeGuards(std::size_t count)
{
    GuardSubset::Guards guards;
    for (std::size_t index = 0; index < count; ++index) {
        const AgentName agent("side-" + std::to_string(index));
        guards[agent] = {agent, {"10.0.0.1", 7100}, zoneOf(index)};
    }
    return guards;
}

std::size_t differences(const std::set<AgentName> &left, const std::set<AgentName> &right)
{
    std::vector<AgentName> different;
    std::ranges::set_symmetric_difference(left, right, std::back_inserter(different));
    return different.size();
}

} // namespace

TEST(GuardSubsetTest, AllGuardsAreFollowedIfThereAreFew)
{
    EXPECT_EQ(subsetOf(0).choose(makeGuards(Size), {}).size(), Size);
    EXPECT_EQ(subsetOf(0).choose(makeGuards(3), {}).size(), 3U);
    EXPECT_TRUE(subsetOf(0).choose({}, {}).empty());
}

TEST(GuardSubsetTest, EachGuardIsFollowedByNearlyTheSameNumberOfSchedulers)
{
    const auto guards = makeGuards(Guards);
    std::map<AgentName, std::size_t> followers;
    for (std::size_t scheduler = 0; scheduler < Schedulers; ++scheduler) {
        const auto chosen = subsetOf(scheduler).choose(guards, {});
        EXPECT_EQ(chosen.size(), Size);
        for (const auto &agent : chosen) {
            ++followers[agent];
        }
    }
    constexpr auto Mean = static_cast<double>(Schedulers * Size) / Guards;
    EXPECT_EQ(followers.size(), Guards) << "a guard that nobody follows gets no work";
    for (const auto &[agent, count] : followers) {
        EXPECT_GE(static_cast<double>(count), Mean / 4) << agent.value();
        EXPECT_LE(static_cast<double>(count), Mean * 2.5) << agent.value();
    }
}

TEST(GuardSubsetTest, GuardsOfTheOwnZoneArePreferredAndOthersAreThere)
{
    const auto guards = makeGuards(Guards);
    for (std::size_t scheduler = 0; scheduler < Schedulers; ++scheduler) {
        const auto chosen = subsetOf(scheduler).choose(guards, {});
        const auto own = std::ranges::count_if(chosen, [&](const AgentName &agent) { return guards.at(agent).zone == zoneOf(scheduler); });
        EXPECT_GE(own, static_cast<std::ptrdiff_t>(Size / 5)) << scheduler;
        EXPECT_LE(own, static_cast<std::ptrdiff_t>(Size * 2 / 3)) << scheduler;
    }
}

TEST(GuardSubsetTest, AGuardThatComesOrGoesChangesOneChoiceByOneGuard)
{
    const auto guards = makeGuards(Guards);
    for (std::size_t scheduler = 0; scheduler < Schedulers; ++scheduler) {
        const auto subset = subsetOf(scheduler);
        const auto before = subset.choose(guards, {});
        auto less = guards;
        less.erase(AgentName("side-7"));
        EXPECT_LE(differences(before, subset.choose(less, {})), 2U);
        EXPECT_LE(differences(before, subset.choose(makeGuards(Guards + 1), {})), 2U);
    }
}

TEST(GuardSubsetTest, AWiderChoiceContainsTheOneBefore)
{
    const auto guards = makeGuards(Guards);
    auto subset = subsetOf(1);
    const auto before = subset.choose(guards, {});
    subset.widen();
    const auto wider = subset.choose(guards, {});
    EXPECT_EQ(wider.size(), Size * 2);
    EXPECT_TRUE(std::ranges::includes(wider, before));
}

TEST(GuardSubsetTest, OthersAreFollowedInsteadOfSilentGuards)
{
    const auto guards = makeGuards(Guards);
    const auto subset = subsetOf(1);
    const auto before = subset.choose(guards, {});
    const std::set<AgentName> silent(before.begin(), std::next(before.begin(), Size / 2));
    const auto chosen = subset.choose(guards, silent);
    EXPECT_EQ(chosen.size(), Size + Size / 2);
    EXPECT_TRUE(std::ranges::includes(chosen, before)) << "a silent guard is listened to until it is heard again";
}

} // namespace Sycamoremoor
