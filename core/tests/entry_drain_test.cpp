// Planned stops: nothing is cut off, what is remembered goes to the new owner.
#include "entry_fleet.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Which entry stops, with how many entries there are. */
struct DrainCase {
    const char *name;
    std::size_t entries;
    const char *stopping;
};

constexpr std::array DrainCases{
    DrainCase{"Owner", 3, "entry-1"},
    DrainCase{"Other", 3, "entry-2"},
    DrainCase{"Alone", 1, "entry-1"},
};

} // namespace

class EntryDrainTest : public testing::TestWithParam<DrainCase>
{
};

TEST_P(EntryDrainTest, FinishesWhatIsOpenAndLeavesTheRoster)
{
    const auto &row = GetParam();
    EntryFleet fleet(row.entries, 3);
    fleet.run(seconds(6));
    const auto ended = fleet.newJob(2);
    fleet.submit(row.stopping, ended);
    fleet.run(milliseconds(10));
    for (auto &agent : fleet.agents) {
        agent.holds = true;
    }
    const auto running = fleet.newJob(3);
    const auto caller = fleet.submit(row.stopping, running);
    fleet.run(milliseconds(10));
    fleet.input(row.stopping, DrainRequested{});
    fleet.run(seconds(2));
    EXPECT_FALSE(fleet.machine(row.stopping).isReady());
    EXPECT_FALSE(fleet.isStopped(row.stopping));
    EXPECT_EQ(fleet.answerTo(caller), nullptr);
    fleet.input(row.stopping, DrainRequested{});
    for (std::size_t index = 0; index < fleet.agents.size(); ++index) {
        fleet.release(index, EntryName("entry-1"));
    }
    fleet.run(seconds(6));
    ASSERT_NE(fleet.answerTo(caller), nullptr);
    EXPECT_EQ(fleet.answerTo(caller)->error, ErrorKind::None);
    ASSERT_EQ(fleet.stops.size(), 1U);
    EXPECT_EQ(fleet.stops.front().cutOff, 0U);
    EXPECT_EQ(fleet.platform.roster->members.size(), row.entries - 1);
    if (row.entries > 1) {
        const auto again = fleet.submit("entry-3", ended);
        const auto fresh = fleet.submit("entry-3", fleet.newJob(1));
        fleet.run(milliseconds(10));
        ASSERT_NE(fleet.answerTo(again), nullptr) << "the new owner was told what ended";
        EXPECT_EQ(fleet.answerTo(again)->error, ErrorKind::None);
        ASSERT_NE(fleet.answerTo(fresh), nullptr);
        EXPECT_EQ(fleet.answerTo(fresh)->error, ErrorKind::None);
    }
    EXPECT_EQ(fleet.mostStarts(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Stops, EntryDrainTest, testing::ValuesIn(DrainCases), [](const auto &row) { return std::string(row.param.name); });

TEST(EntryDrain, SubmissionsDuringAPlannedStopAreAllAnswered)
{
    EntryFleet fleet(3, 3);
    fleet.run(seconds(6));
    std::vector<ConnectionId> callers;
    for (int round = 0; round < 200; ++round) {
        if (round == 50) {
            fleet.input("entry-1", DrainRequested{});
        }
        const auto *entry = round % 2 == 0 ? "entry-2" : "entry-3";
        callers.push_back(fleet.submit(entry, fleet.newJob(4)));
        fleet.run(milliseconds(20));
    }
    fleet.run(seconds(15));
    for (const auto &caller : callers) {
        ASSERT_NE(fleet.answerTo(caller), nullptr);
        EXPECT_EQ(fleet.answerTo(caller)->error, ErrorKind::None) << errorRow(fleet.answerTo(caller)->error).code;
    }
    EXPECT_EQ(fleet.mostStarts(), 1U);
    ASSERT_EQ(fleet.stops.size(), 1U);
    EXPECT_EQ(fleet.stops.front().cutOff, 0U);
}

TEST(EntryDrain, SendsCallersElsewhereOnceTheBalancerHadTime)
{
    EntryFleet fleet(3, 3);
    fleet.run(seconds(6));
    for (auto &agent : fleet.agents) {
        agent.holds = true;
    }
    const auto open = fleet.submit("entry-1", fleet.newJob(2));
    fleet.run(milliseconds(10));
    fleet.input("entry-1", DrainRequested{});
    fleet.run(seconds(2));
    const auto early = fleet.submit("entry-1", fleet.newJob(2));
    fleet.run(seconds(2));
    const auto late = fleet.submit("entry-1", fleet.newJob(2));
    fleet.run(milliseconds(10));
    ASSERT_NE(fleet.answerTo(late), nullptr);
    EXPECT_EQ(fleet.answerTo(late)->error, ErrorKind::OwnerUnavailable);
    EXPECT_EQ(fleet.answerTo(late)->ran, RunState::Unknown);
    EXPECT_EQ(fleet.answerTo(early), nullptr);
    for (std::size_t agent = 0; agent < fleet.agents.size(); ++agent) {
        fleet.release(agent, EntryName("entry-1")); // the new owner asks for the reports that it misses
    }
    fleet.run(seconds(10));
    for (const auto caller : {open, early}) {
        ASSERT_NE(fleet.answerTo(caller), nullptr);
        EXPECT_EQ(fleet.answerTo(caller)->error, ErrorKind::None);
    }
    ASSERT_EQ(fleet.stops.size(), 1U);
    EXPECT_EQ(fleet.stops.front().cutOff, 0U);
    EXPECT_EQ(fleet.mostStarts(), 1U);
}

TEST(EntryDrain, TheBoundCutsTruthfully)
{
    EntryFleet fleet(1, 1);
    fleet.agents.front().holds = true;
    fleet.run(seconds(6));
    auto job = std::make_shared<JobSpec>(*fleet.newJob(1));
    job->deadline = seconds(120);
    const auto caller = fleet.submit("entry-1", job);
    fleet.run(milliseconds(10));
    fleet.input("entry-1", DrainRequested{});
    fleet.run(seconds(31));
    ASSERT_NE(fleet.answerTo(caller), nullptr);
    EXPECT_EQ(fleet.answerTo(caller)->error, ErrorKind::Draining);
    EXPECT_NE(fleet.answerTo(caller)->ran, RunState::NotRun);
    ASSERT_EQ(fleet.stops.size(), 1U);
    EXPECT_EQ(fleet.stops.front().cutOff, 1U);
}

} // namespace Sycamoremoor
