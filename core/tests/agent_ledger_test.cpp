// Tests of the agent's ledger: reports to a new owner, retention, and answers about dropped records.
#include "agent_driver.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>

namespace Sycamoremoor
{

using std::chrono::minutes;
using std::chrono::seconds;

namespace
{

HeartbeatReplyReceived newOwnerReply()
{
    AgentHeartbeatReply reply;
    reply.entry = EntryName("E1");
    reply.incarnation = Incarnation(11);
    reply.roster = AgentDriver::roster(EntryName("E2"), Epoch(6));
    return {reply};
}

HeartbeatReplyReceived acknowledgeAll()
{
    AgentHeartbeatReply reply;
    reply.entry = EntryName("E1");
    reply.incarnation = Incarnation(11);
    reply.acknowledged = ReportSequence(1'000'000);
    return {reply};
}

QueryTasksReceived queryOf(const AgentDriver &driver, std::uint32_t index)
{
    return {{driver.claim(), driver.settings.name, driver.settings.incarnation, {driver.task(index)}}};
}

/** Starts and ends tasks [0, count) with results of @p bytes each. */
void runTasks(AgentDriver &driver, std::uint32_t count, std::size_t bytes)
{
    for (std::uint32_t index = 0; index < count; ++index) {
        driver.feed(StartTasksReceived{driver.start({index})});
        driver.feed(UpstreamTaskEnded{driver.task(index), true, false, std::string(bytes, 'r')});
    }
}

/** Starts a ledger report to a new owner; returns all its parts and acknowledges each. */
std::vector<LedgerReport> collectParts(AgentDriver &driver)
{
    std::vector<LedgerReport> parts;
    driver.feed(newOwnerReply());
    while (!driver.all<SendLedgerReport>().empty()) {
        parts.push_back(driver.all<SendLedgerReport>().back().report);
        driver.feed(LedgerReplyReceived{{parts.back().slot, parts.back().token, parts.back().part}});
    }
    return parts;
}

} // namespace

TEST(AgentLedgerTest, ANewOwnerReceivesTheLedgerAndLaterReports)
{
    AgentDriver driver;
    driver.makeReady();
    driver.feed(StartTasksReceived{driver.start({1, 2})});
    driver.feed(UpstreamTaskEnded{driver.task(1), true, false, "r1"});
    AgentHeartbeatReply reply;
    reply.entry = EntryName("E1");
    reply.incarnation = Incarnation(11);
    reply.roster = AgentDriver::roster(EntryName("E2"), Epoch(6));
    driver.feed(HeartbeatReplyReceived{reply});
    ASSERT_EQ(driver.all<SendLedgerReport>().size(), 1U);
    const auto sent = driver.all<SendLedgerReport>()[0];
    EXPECT_EQ(sent.entry.port, 1002);
    EXPECT_EQ(sent.report.token, Epoch(6));
    ASSERT_EQ(sent.report.entries.size(), 2U);
    EXPECT_EQ(sent.report.entries[0].result, "r1");
    EXPECT_EQ(sent.report.entries[1].state, TaskState::Running);
    driver.advance(seconds(3));
    EXPECT_FALSE(driver.all<SendLedgerReport>().empty()) << "repeated until acknowledged";
    driver.feed(LedgerReplyReceived{{OwnerSlotIndex(0), Epoch(6), 0}});
    driver.advance(seconds(3));
    EXPECT_TRUE(driver.all<SendLedgerReport>().empty());
    driver.feed(UpstreamTaskEnded{driver.task(2), true, false, "r2"});
    EXPECT_EQ(driver.all<ReportToOwner>().size(), 2U) << "to both owners";
}

TEST(AgentLedgerTest, ATaskWhoseRecordMayHaveBeenDroppedIsUnknown)
{
    AgentDriver driver;
    driver.makeReady();
    driver.feed(StartTasksReceived{driver.start({1})});
    driver.feed(UpstreamTaskEnded{driver.task(1), true, false, "r1"});
    driver.advance(minutes(12));
    driver.feed(QueryTasksReceived{{driver.claim(), driver.settings.name, driver.settings.incarnation, {driver.task(1)}}});
    EXPECT_EQ(driver.report(1)->state, TaskState::Lost);
    EXPECT_EQ(driver.report(1)->ran, RunState::Unknown);
}

/** Number of tasks, bytes of each result, and expected number of parts. */
struct PartsCase {
    std::uint32_t tasks;
    std::size_t bytes;
    std::size_t parts;
};

class AgentLedgerPartsTest : public testing::TestWithParam<PartsCase>
{
};

TEST_P(AgentLedgerPartsTest, HoldEveryTaskOnce)
{
    const auto &[tasks, bytes, partCount] = GetParam();
    AgentDriver driver;
    driver.makeReady();
    runTasks(driver, tasks, bytes);
    const auto parts = collectParts(driver);
    ASSERT_EQ(parts.size(), partCount);
    std::vector<TaskIndex> seen;
    for (const auto &part : parts) {
        EXPECT_EQ(part.parts, partCount);
        for (const auto &entry : part.entries) {
            seen.push_back(entry.task.index);
            EXPECT_EQ(entry.result.size(), bytes);
        }
    }
    EXPECT_EQ(seen.size(), tasks);
    EXPECT_TRUE(std::ranges::is_sorted(seen));
}

INSTANTIATE_TEST_SUITE_P(
    Sizes,
    AgentLedgerPartsTest,
    testing::Values(PartsCase{0, 0, 1}, PartsCase{1, 10, 1}, PartsCase{256, 1, 1}, PartsCase{600, 1, 3}, PartsCase{30, 100'000, 6}));

TEST(AgentLedgerTest, ResultsOverTheLimitAreReleasedOldestFirstAndMarked)
{
    AgentDriver driver({}, [](AgentSettings &settings) { settings.resultBytes = ByteCount(2'500); });
    driver.makeReady();
    runTasks(driver, 3, 1'000);
    driver.feed(queryOf(driver, 0));
    EXPECT_EQ(driver.report(0)->state, TaskState::Succeeded);
    EXPECT_TRUE(driver.report(0)->resultReleased);
    driver.feed(queryOf(driver, 1));
    EXPECT_FALSE(driver.report(1)->resultReleased);
    EXPECT_EQ(driver.report(1)->result.size(), 1'000U);
}

TEST(AgentLedgerTest, AResultThatArrivedIsReleasedAfterItsRetention)
{
    AgentDriver driver;
    driver.makeReady();
    runTasks(driver, 1, 1'000);
    driver.feed(acknowledgeAll());
    driver.advance(seconds(59));
    driver.feed(queryOf(driver, 0));
    EXPECT_FALSE(driver.report(0)->resultReleased);
    driver.advance(seconds(2));
    driver.feed(queryOf(driver, 0));
    EXPECT_TRUE(driver.report(0)->resultReleased);
    EXPECT_EQ(driver.report(0)->state, TaskState::Succeeded);
}

TEST(AgentLedgerTest, TooManyRecordsAreDroppedButNotBeforeLateStartsAreRefused)
{
    AgentDriver driver({}, [](AgentSettings &settings) { settings.ledgerRecords = 2; });
    driver.makeReady();
    runTasks(driver, 4, 1);
    driver.advance(seconds(59));
    driver.feed(queryOf(driver, 0));
    EXPECT_EQ(driver.report(0)->state, TaskState::Succeeded);
    driver.advance(seconds(2));
    driver.feed(queryOf(driver, 0));
    EXPECT_EQ(driver.report(0)->state, TaskState::Lost);
    EXPECT_EQ(driver.report(0)->ran, RunState::Unknown);
    driver.feed(queryOf(driver, 3));
    EXPECT_EQ(driver.report(3)->state, TaskState::Succeeded);
    EXPECT_GE(collectParts(driver).at(0).startedAt, driver.key.created()) << "the ledger does not reach back to the key";
}

TEST(AgentLedgerTest, AFencedOwnerNeverReceivesNotRun)
{
    AgentDriver driver;
    driver.makeReady();
    driver.feed(newOwnerReply());
    driver.feed(queryOf(driver, 1));
    EXPECT_EQ(driver.report(1)->ran, RunState::Unknown);
    EXPECT_EQ(driver.report(1)->error, ErrorKind::OwnerFenced);
    auto start = driver.start({1});
    start.claim = driver.claim(6, "E2");
    driver.feed(StartTasksReceived{start});
    EXPECT_EQ(driver.startsSeen, 1) << "the query of a fenced owner sets no tombstone";
}

} // namespace Sycamoremoor
