// Tests of brief heartbeats, of omitted configuration, and of the heartbeat interval in large fleets.
#include "agent_driver.h"

#include <sycamoremoor/core/entry_machine.h>

#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Sycamoremoor
{

namespace
{

using std::chrono::seconds;

AgentHeartbeat heartbeatOf(std::size_t agent, std::uint64_t incarnation, bool brief)
{
    AgentHeartbeat heartbeat;
    heartbeat.agent = AgentName("agent-" + std::to_string(agent));
    heartbeat.incarnation = Incarnation(incarnation);
    heartbeat.brief = brief;
    if (!brief) {
        heartbeat.zone = ZoneName("nitra-b");
        heartbeat.service = ServiceName("reclaim-desk");
    }
    return heartbeat;
}

/** An entry without a roster that answers heartbeats. */
struct LoneEntry {
    EntryMachine machine{EntrySettings{.name = EntryName("E1"), .incarnation = Incarnation(1)}};

    /** Processes one input. Returns the first output of type Output, or a default one if there is none. */
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

    AgentHeartbeatReply sendHeartbeat(const AgentHeartbeat &heartbeat)
    {
        return step<AnswerAgentHeartbeat>(AgentHeartbeatReceived{ConnectionId(1), heartbeat}).reply;
    }
};

struct BriefCase {
    const char *name;
    std::uint64_t describedIncarnation; ///< incarnation that has sent its description; zero if none has
    bool mustDescribe;
};

constexpr std::array BriefCases{
    BriefCase{"NeverDescribed", 0, true},
    BriefCase{"EarlierIncarnationDescribed", 1, true},
    BriefCase{"Described", 2, false},
};

struct IntervalCase {
    std::size_t agents;
    Duration interval;
};

// The interval limits an entry to 32 heartbeats a second and is at most 4 s; zero: the agent's setting.
constexpr std::array IntervalCases{
    IntervalCase{1, seconds(0)},
    IntervalCase{32, seconds(0)},
    IntervalCase{33, seconds(2)},
    IntervalCase{96, seconds(3)},
    IntervalCase{128, seconds(4)},
    IntervalCase{500, seconds(4)},
};

/** Returns a configuration with two services; a different number gives a service different content. */
std::shared_ptr<const ConfigSet> configOf(std::uint64_t revision, std::uint32_t reclaim, std::uint32_t censo)
{
    auto config = std::make_shared<ConfigSet>();
    config->revision = Revision(revision);
    for (const auto &[name, content] : {std::pair("reclaim-desk", reclaim), std::pair("censo-gado", censo)}) {
        ServiceRecord service;
        service.name = ServiceName(name);
        service.maxQueueTasks = content;
        config->services.emplace(service.name, service);
    }
    return config;
}

/** Revisions that the entry reads after revision 1, and its expected reply to an agent of reclaim-desk. */
struct ExcerptCase {
    const char *name;
    std::vector<std::shared_ptr<const ConfigSet>> learned;
    std::uint64_t agentRevision;
    bool sent;
    std::uint64_t unchangedAs;
};

const std::vector<ExcerptCase> excerptCases{
    {"Current", {}, 1, false, 0},
    {"None", {}, 0, true, 0},
    {"OwnServiceChanged", {configOf(2, 9, 1)}, 1, true, 0},
    {"OtherServiceChanged", {configOf(2, 1, 9)}, 1, false, 2},
    {"ChangedThenOther", {configOf(2, 9, 1), configOf(3, 9, 9)}, 2, false, 3},
    {"RevisionNotSeenBetween", {configOf(3, 1, 1)}, 2, true, 0},
};

} // namespace

class ConfigExcerptTest : public testing::TestWithParam<ExcerptCase>
{
};

TEST_P(ConfigExcerptTest, IsSentOnlyWhenItChanged)
{
    const auto &row = GetParam();
    LoneEntry entry;
    entry.step<SetTimer>(ConfigRead{configOf(1, 1, 1)});
    entry.sendHeartbeat(heartbeatOf(1, 1, false)); // the entry builds the service's excerpt for the first agent
    for (const auto &config : row.learned) {
        entry.step<SetTimer>(ConfigRead{config});
    }
    auto heartbeat = heartbeatOf(1, 1, true);
    heartbeat.configRevision = Revision(row.agentRevision);
    const auto reply = entry.sendHeartbeat(heartbeat);
    EXPECT_EQ(reply.config != nullptr, row.sent);
    EXPECT_EQ(reply.configUnchanged, Revision(row.unchangedAs));
    if (reply.config != nullptr) {
        EXPECT_EQ(reply.config->services.size(), 1U);
        EXPECT_TRUE(reply.config->services.contains(ServiceName("reclaim-desk")));
    }
}

INSTANTIATE_TEST_SUITE_P(Revisions, ConfigExcerptTest, testing::ValuesIn(excerptCases), [](const auto &row) { return row.param.name; });

TEST(AgentConfigTest, AcceptsANewerRevisionOfTheSameContent)
{
    AgentDriver driver;
    driver.makeReady();
    AgentHeartbeatReply reply;
    reply.entry = EntryName("E1");
    reply.incarnation = driver.claim().incarnation;
    reply.config = configOf(4, 1, 1);
    driver.feed(HeartbeatReplyReceived{reply});
    reply.config = nullptr;
    reply.configUnchanged = Revision(6);
    driver.feed(HeartbeatReplyReceived{reply});
    reply.configUnchanged = Revision(5); // received late, older than the revision in force
    driver.feed(HeartbeatReplyReceived{reply});
    driver.advance(seconds(2));
    ASSERT_FALSE(driver.all<SendHeartbeat>().empty());
    EXPECT_EQ(driver.all<SendHeartbeat>().back().heartbeat.configRevision, Revision(6));
}

class BriefHeartbeatTest : public testing::TestWithParam<BriefCase>
{
};

TEST_P(BriefHeartbeatTest, IsAcceptedOnlyFromADescribedIncarnation)
{
    const auto &row = GetParam();
    LoneEntry entry;
    if (row.describedIncarnation != 0) {
        entry.sendHeartbeat(heartbeatOf(1, row.describedIncarnation, false));
    }
    EXPECT_EQ(entry.sendHeartbeat(heartbeatOf(1, 2, true)).needsDescription, row.mustDescribe);
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
        reply = entry.sendHeartbeat(heartbeatOf(agent, 1, false));
    }
    EXPECT_EQ(reply.interval, interval);
}

INSTANTIATE_TEST_SUITE_P(Fleets, HeartbeatIntervalTest, testing::ValuesIn(IntervalCases));

TEST(AgentBriefHeartbeatTest, IsSentAfterAnAnswerUntilADescriptionIsRequested)
{
    AgentDriver driver;
    driver.makeReady();
    AgentHeartbeatReply reply;
    reply.entry = EntryName("E1");
    reply.incarnation = driver.claim().incarnation;
    driver.feed(HeartbeatReplyReceived{reply});
    driver.advance(seconds(2));
    ASSERT_FALSE(driver.all<SendHeartbeat>().empty());
    EXPECT_TRUE(driver.all<SendHeartbeat>().back().heartbeat.brief);
    EXPECT_EQ(driver.all<SendHeartbeat>().back().heartbeat.zone, ZoneName());
    reply.needsDescription = true;
    driver.feed(HeartbeatReplyReceived{reply});
    driver.advance(seconds(1));
    ASSERT_FALSE(driver.all<SendHeartbeat>().empty());
    EXPECT_FALSE(driver.all<SendHeartbeat>().front().heartbeat.brief);
}

TEST(AgentHeartbeatIntervalTest, IsSetByTheAssignedEntry)
{
    AgentDriver driver;
    driver.makeReady();
    AgentHeartbeatReply reply;
    reply.entry = EntryName("E1");
    reply.incarnation = driver.claim().incarnation;
    reply.interval = seconds(4);
    driver.feed(HeartbeatReplyReceived{reply});
    driver.advance(seconds(1));
    driver.feed(HeartbeatReplyReceived{reply});
    for (int second = 0; second < 3; ++second) {
        driver.feed(UpstreamHealth{Incarnation(1), false, {}}); // a change of health would be reported at once
        driver.advance(seconds(1));
        EXPECT_EQ(driver.all<SendHeartbeat>().size(), 0U) << second;
    }
}

} // namespace Sycamoremoor
