// Heartbeats that leave out what does not change, and that come less often in a large fleet.
#include "agent_driver.h"

#include <sycamoremoor/core/entry_machine.h>

#include <gtest/gtest.h>

#include <array>
#include <string>

namespace Sycamoremoor {

namespace {

using std::chrono::seconds;

AgentHeartbeat heartbeatOf(std::size_t agent, std::uint64_t life, bool brief)
{
    AgentHeartbeat heartbeat;
    heartbeat.agent = AgentName("agent-" + std::to_string(agent));
    heartbeat.incarnation = Incarnation(life);
    heartbeat.brief = brief;
    if (!brief) {
        heartbeat.zone = ZoneName("nitra-b");
        heartbeat.service = ServiceName("reclaim-desk");
    }
    return heartbeat;
}

/** An entry that answers heartbeats before it knows any roster. */
struct LoneEntry {
    EntryMachine machine{EntrySettings{.name = EntryName("E1"), .incarnation = Incarnation(1)}};

    template<typename Output>
    Output step(EntryInput input)
    {
        EntryOutputs outputs;
        machine.step(StepContext{MonotonicTime(seconds(10)), WallTime(seconds(1'780'000'000)), 1}, std::move(input), outputs);
        for (const auto &output : outputs) {
            if (const auto *found = std::get_if<Output>(&output)) {
                return *found;
            }
        }
        return Output();
    }

    AgentHeartbeatReply beat(const AgentHeartbeat &heartbeat)
    {
        return step<AnswerAgentHeartbeat>(AgentHeartbeatReceived{ConnectionId(1), heartbeat}).reply;
    }
};

struct BriefCase {
    const char *name;
    std::uint64_t describedLife; ///< zero: the agent never described itself
    bool mustDescribe;
};

constexpr std::array BriefCases{
    BriefCase{"NeverDescribed", 0, true},
    BriefCase{"EarlierLifeDescribed", 1, true},
    BriefCase{"Described", 2, false},
};

struct IntervalCase {
    std::size_t agents;
    Duration interval;
};

// At most 32 heartbeats a second, and at most 4 s between two.
constexpr std::array IntervalCases{
    IntervalCase{1, seconds(0)},
    IntervalCase{32, seconds(0)},
    IntervalCase{33, seconds(2)},
    IntervalCase{96, seconds(3)},
    IntervalCase{128, seconds(4)},
    IntervalCase{500, seconds(4)},
};

} // namespace

class BriefHeartbeatTest : public testing::TestWithParam<BriefCase>
{
};

TEST_P(BriefHeartbeatTest, IsTakenOnlyFromAKnownLife)
{
    const auto &row = GetParam();
    LoneEntry entry;
    if (row.describedLife != 0) {
        entry.beat(heartbeatOf(1, row.describedLife, false));
    }
    EXPECT_EQ(entry.beat(heartbeatOf(1, 2, true)).describe, row.mustDescribe);
    if (!row.mustDescribe) {
        const auto status = entry.step<AnswerProcessStatus>(ProcessStatusRequested{ConnectionId(2)}).status;
        ASSERT_EQ(status.workers.size(), 1U);
        EXPECT_EQ(status.workers.front().zone, ZoneName("nitra-b"));
    }
}

INSTANTIATE_TEST_SUITE_P(Lives, BriefHeartbeatTest, testing::ValuesIn(BriefCases), [](const auto &row) { return row.param.name; });

class HeartbeatIntervalTest : public testing::TestWithParam<IntervalCase>
{
};

TEST_P(HeartbeatIntervalTest, GrowsWithTheFleet)
{
    const auto &[agents, interval] = GetParam();
    LoneEntry entry;
    AgentHeartbeatReply reply;
    for (std::size_t agent = 0; agent < agents; ++agent) {
        reply = entry.beat(heartbeatOf(agent, 1, false));
    }
    EXPECT_EQ(reply.interval, interval);
}

INSTANTIATE_TEST_SUITE_P(Fleets, HeartbeatIntervalTest, testing::ValuesIn(IntervalCases));

TEST(AgentBriefHeartbeatTest, FollowsAnAnswerAndEndsWhenAsked)
{
    AgentDriver driver;
    driver.makeReady();
    AgentHeartbeatReply reply;
    reply.entry = EntryName("E1");
    reply.incarnation = driver.right().incarnation;
    driver.feed(HeartbeatReplyReceived{reply});
    driver.pass(seconds(2));
    ASSERT_FALSE(driver.all<SendHeartbeat>().empty());
    EXPECT_TRUE(driver.all<SendHeartbeat>().back().heartbeat.brief);
    EXPECT_EQ(driver.all<SendHeartbeat>().back().heartbeat.zone, ZoneName());
    reply.describe = true;
    driver.feed(HeartbeatReplyReceived{reply});
    driver.pass(seconds(1));
    ASSERT_FALSE(driver.all<SendHeartbeat>().empty());
    EXPECT_FALSE(driver.all<SendHeartbeat>().front().heartbeat.brief);
}

TEST(AgentHeartbeatIntervalTest, IsAsTheHomeAsks)
{
    AgentDriver driver;
    driver.makeReady();
    AgentHeartbeatReply reply;
    reply.entry = EntryName("E1");
    reply.incarnation = driver.right().incarnation;
    reply.interval = seconds(4);
    driver.feed(HeartbeatReplyReceived{reply});
    driver.pass(seconds(1));
    driver.feed(HeartbeatReplyReceived{reply});
    for (int second = 0; second < 3; ++second) {
        driver.feed(UpstreamHealth{Incarnation(1), false, {}}); // a lapse of health would be told at once
        driver.pass(seconds(1));
        EXPECT_EQ(driver.all<SendHeartbeat>().size(), 0U) << second;
    }
}

} // namespace Sycamoremoor
