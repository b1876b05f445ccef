// Tests of the agent beyond the start rules: heartbeats, reports, stops, upstream failures, draining.
#include "agent_driver.h"

#include <gtest/gtest.h>

namespace Sycamoremoor
{

using std::chrono::minutes;
using std::chrono::seconds;

namespace
{

HeartbeatReplyReceived acknowledge(std::uint64_t sequence)
{
    AgentHeartbeatReply reply;
    reply.entry = EntryName("E1");
    reply.incarnation = Incarnation(11);
    reply.acknowledged = ReportSequence(sequence);
    return {reply};
}

/** Returns the sequence numbers of all reports in heartbeats, in order. */
std::vector<std::uint64_t> repeatedReports(const AgentDriver &driver)
{
    std::vector<std::uint64_t> sequences;
    for (const auto &sent : driver.all<SendHeartbeat>()) {
        for (const auto &report : sent.heartbeat.unacknowledged) {
            sequences.push_back(report.sequence.value());
        }
    }
    return sequences;
}

} // namespace

TEST(AgentHeartbeatTest, TriesSeedsInTurnUntilOneAnswers)
{
    AgentDriver driver;
    driver.feed(Tick{});
    ASSERT_EQ(driver.all<SendHeartbeat>().size(), 1U);
    EXPECT_EQ(driver.all<SendHeartbeat>()[0].entry.port, 1001);
    driver.feed(HeartbeatFailed{{"127.0.0.1", 1001}});
    driver.advance(seconds(1));
    ASSERT_FALSE(driver.all<SendHeartbeat>().empty());
    EXPECT_EQ(driver.all<SendHeartbeat>()[0].entry.port, 1002);
}

TEST(AgentHeartbeatTest, GoesToTheAssignedEntryEachIntervalAndElsewhereAfterATimeout)
{
    AgentDriver driver;
    driver.makeReady();
    driver.advance(seconds(2));
    const auto sent = driver.all<SendHeartbeat>();
    EXPECT_EQ(sent.size(), 2U);
    EXPECT_EQ(sent.back().entry.port, 1001);
    EXPECT_EQ(sent.back().heartbeat.rosterEpoch, Epoch(5));
    driver.advance(seconds(3));
    EXPECT_EQ(driver.all<SendHeartbeat>().back().entry.port, 1002);
}

TEST(AgentHeartbeatTest, TriesOtherEntriesUntilOneIsAssigned)
{
    AgentDriver driver;
    driver.makeReady();
    AgentHeartbeatReply reply;
    reply.entry = EntryName("E1");
    reply.incarnation = Incarnation(11);
    const auto nextTarget = [&driver] {
        driver.feed(UpstreamHealth{Incarnation(1), false, {}});
        driver.advance(std::chrono::milliseconds(1'000));
        const auto sent = driver.all<SendHeartbeat>();
        return sent.empty() ? 0 : sent.back().entry.port;
    };
    reply.assigned = false;
    driver.feed(HeartbeatReplyReceived{reply});
    EXPECT_EQ(nextTarget(), 1002);
    reply.entry = EntryName("E2");
    reply.incarnation = Incarnation(12);
    driver.feed(HeartbeatReplyReceived{reply});
    EXPECT_EQ(nextTarget(), 1001);
    reply.entry = EntryName("E1");
    reply.incarnation = Incarnation(11);
    reply.assigned = true;
    driver.feed(HeartbeatReplyReceived{reply});
    EXPECT_EQ(nextTarget(), 1001);
}

TEST(AgentHeartbeatTest, ReportsAtOnceThatTheUpstreamIsLeaving)
{
    AgentDriver driver;
    driver.makeReady();
    driver.feed(UpstreamHealth{Incarnation(1), true, {}});
    ASSERT_EQ(driver.all<SendHeartbeat>().size(), 1U);
    EXPECT_TRUE(driver.all<SendHeartbeat>()[0].heartbeat.leaving);
    EXPECT_FALSE(driver.machine->isReady());
}

TEST(AgentHeartbeatTest, CountsTheTasksHeldForItsReceiver)
{
    AgentDriver driver;
    driver.makeReady();
    driver.feed(StartTasksReceived{driver.start({1, 2, 3})});
    driver.advance(seconds(1));
    EXPECT_EQ(driver.all<SendHeartbeat>().back().heartbeat.heldForOwner, 3U);
    driver.feed(UpstreamTaskEnded{driver.task(1), true, false, "r"});
    driver.advance(seconds(1));
    EXPECT_EQ(driver.all<SendHeartbeat>().back().heartbeat.heldForOwner, 2U);
}

TEST(AgentReportTest, IsRepeatedInHeartbeatsUntilAcknowledged)
{
    AgentDriver driver;
    driver.makeReady();
    driver.feed(StartTasksReceived{driver.start({1, 2})});
    driver.feed(UpstreamTaskEnded{driver.task(1), true, false, "r1"});
    driver.feed(UpstreamTaskEnded{driver.task(2), true, false, "r2"});
    driver.advance(seconds(2));
    EXPECT_EQ(repeatedReports(driver), (std::vector<std::uint64_t>{1, 2}));
    driver.feed(acknowledge(1));
    driver.advance(seconds(1));
    EXPECT_EQ(repeatedReports(driver), std::vector<std::uint64_t>{2});
    driver.feed(acknowledge(2));
    driver.advance(seconds(2));
    EXPECT_TRUE(repeatedReports(driver).empty());
}

TEST(AgentStopTest, StopsARunningTaskAndNeverStartsAQueuedOrUnknownOne)
{
    AgentDriver driver;
    driver.makeReady();
    driver.feed(StartTasksReceived{driver.start({1, 2, 3})});
    StopTasks stop{driver.claim(),
                   driver.settings.name,
                   driver.settings.incarnation,
                   ErrorKind::Cancelled,
                   {driver.task(1), driver.task(3), driver.task(4)}};
    driver.feed(StopTasksReceived{stop});
    ASSERT_EQ(driver.all<StopOnUpstream>().size(), 1U);
    EXPECT_EQ(driver.report(3)->ran, RunState::NotRun);
    EXPECT_EQ(driver.report(4)->ran, RunState::NotRun);
    driver.feed(UpstreamTaskEnded{driver.task(1), false, true, ""});
    EXPECT_EQ(driver.report(1)->state, TaskState::Stopped);
    EXPECT_EQ(driver.report(1)->ran, RunState::Ran);
    EXPECT_EQ(driver.report(1)->error, ErrorKind::Cancelled);
}

TEST(AgentUpstreamTest, ABrokenExchangeIsResolvedByAQuery)
{
    AgentDriver driver;
    driver.makeReady();
    driver.feed(StartTasksReceived{driver.start({1})});
    driver.feed(UpstreamStartFailed{driver.task(1), Delivery::Unknown});
    EXPECT_EQ(driver.all<QueryUpstream>().size(), 1U);
    EXPECT_FALSE(driver.report(1).has_value());
    driver.feed(UpstreamTaskState{driver.task(1), true, false, true, "r1", Incarnation(1)});
    EXPECT_EQ(driver.report(1)->result, "r1");
}

TEST(AgentUpstreamTest, AStartThatWasNotSentIsNeverStarted)
{
    AgentDriver driver;
    driver.makeReady();
    driver.feed(StartTasksReceived{driver.start({1, 2, 3})});
    driver.feed(UpstreamStartFailed{driver.task(1), Delivery::NotSent});
    EXPECT_EQ(driver.report(1)->ran, RunState::NotRun);
    EXPECT_EQ(driver.report(3)->ran, RunState::NotRun);
    EXPECT_FALSE(driver.machine->isReady());
}

TEST(AgentUpstreamTest, ATaskUnknownToANewIncarnationIsLost)
{
    AgentDriver driver;
    driver.makeReady();
    driver.feed(StartTasksReceived{driver.start({1, 2})});
    driver.feed(UpstreamTaskState{driver.task(2), true, true, false, "", Incarnation(1)});
    driver.feed(UpstreamHealth{Incarnation(2), false, {}});
    EXPECT_EQ(driver.all<QueryUpstream>().size(), 2U);
    for (int answer = 0; answer < 3; ++answer) {
        driver.feed(UpstreamTaskState{driver.task(1), false, false, false, "", Incarnation(2)});
    }
    EXPECT_EQ(driver.report(1)->state, TaskState::Lost);
    EXPECT_EQ(driver.report(1)->ran, RunState::Unknown);
    for (int answer = 0; answer < 3; ++answer) {
        driver.feed(UpstreamTaskState{driver.task(2), false, false, false, "", Incarnation(2)});
    }
    EXPECT_EQ(driver.report(2)->ran, RunState::Ran);
}

TEST(AgentUpstreamTest, TasksOfADeadUpstreamAreLost)
{
    AgentDriver driver;
    driver.makeReady();
    driver.feed(StartTasksReceived{driver.start({1})});
    driver.feed(UpstreamStartFailed{driver.task(1), Delivery::Unknown});
    driver.feed(UpstreamUnreachable{Delivery::NotSent});
    driver.advance(seconds(3));
    EXPECT_EQ(driver.report(1)->state, TaskState::Lost);
    EXPECT_EQ(driver.report(1)->ran, RunState::Unknown);
}

TEST(AgentDrainTest, FinishesReportsAndStops)
{
    AgentDriver driver;
    driver.makeReady();
    driver.feed(StartTasksReceived{driver.start({1})});
    driver.feed(DrainRequested{});
    driver.feed(acknowledge(0));
    EXPECT_TRUE(driver.all<Stopped>().empty());
    driver.feed(UpstreamTaskEnded{driver.task(1), true, false, "r1"});
    EXPECT_TRUE(driver.all<Stopped>().empty());
    driver.feed(acknowledge(1));
    ASSERT_EQ(driver.all<Stopped>().size(), 1U);
    EXPECT_EQ(driver.all<Stopped>()[0].cutOff, 0U);
}

TEST(AgentDrainTest, ReportsTasksCutOffByTheTimeout)
{
    AgentDriver driver;
    driver.makeReady();
    driver.feed(StartTasksReceived{driver.start({1})});
    driver.feed(DrainRequested{});
    driver.feed(acknowledge(0));
    for (int second = 0; second < 61 && driver.all<Stopped>().empty(); ++second) {
        driver.feed(UpstreamHealth{Incarnation(1), false, {}});
        driver.advance(seconds(1));
    }
    ASSERT_EQ(driver.all<Stopped>().size(), 1U);
    EXPECT_EQ(driver.all<Stopped>()[0].cutOff, 1U);
}

} // namespace Sycamoremoor
