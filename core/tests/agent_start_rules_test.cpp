// Tests of the start rules of docs/ONCE.md, with each rule enabled and disabled.
#include "agent_driver.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

namespace Sycamoremoor
{

namespace
{

using std::chrono::minutes;
using std::chrono::seconds;

/** A start that must be refused, the rule that refuses it, and the expected report. */
struct RuleCase {
    const char *name;
    bool LedgerRules::*rule;
    std::function<StartTasks(AgentDriver &)> prepare; ///< prepares the agent and returns the start to refuse
    TaskState state;
    RunState ran;
    ErrorKind error;
};

StartTasks otherIncarnation(AgentDriver &driver)
{
    auto message = driver.start({9});
    message.agentIncarnation = Incarnation(6);
    return message;
}

StartTasks lowerToken(AgentDriver &driver)
{
    auto message = driver.start({9});
    message.claim = driver.claim(4, "E2");
    return message;
}

StartTasks lowerTokenThanRoster(AgentDriver &driver)
{
    auto message = driver.start({9});
    AgentHeartbeatReply reply;
    reply.roster = AgentDriver::roster(EntryName("E2"), Epoch(6));
    driver.feed(HeartbeatReplyReceived{reply});
    return message;
}

StartTasks oldStamp(AgentDriver &driver)
{
    auto message = driver.start({9});
    message.tasks[0].deadline = minutes(5);
    driver.advance(seconds(31));
    driver.feed(UpstreamHealth{Incarnation(1), false, {}});
    return message;
}

StartTasks futureStamp(AgentDriver &driver)
{
    auto message = driver.start({9});
    message.stamp = AgentStamp(driver.stampNow().value() + 1);
    return message;
}

StartTasks knownTask(AgentDriver &driver)
{
    driver.feed(StartTasksReceived{driver.start({9})});
    driver.feed(UpstreamTaskEnded{driver.task(9), true, false, "r"});
    return driver.start({9});
}

StartTasks queriedTask(AgentDriver &driver)
{
    driver.feed(QueryTasksReceived{{driver.claim(), driver.settings.name, driver.settings.incarnation, {driver.task(9)}}});
    return driver.start({9});
}

StartTasks refusedTask(AgentDriver &driver)
{
    driver.feed(StartTasksReceived{driver.start({1, 2, 3, 9})});
    driver.feed(UpstreamTaskEnded{driver.task(1), true, false, "r"});
    driver.feed(UpstreamTaskEnded{driver.task(2), true, false, "r"});
    return driver.start({9});
}

StartTasks noFreeSlot(AgentDriver &driver)
{
    driver.feed(StartTasksReceived{driver.start({1, 2, 3})});
    return driver.start({9});
}

StartTasks tooLarge(AgentDriver &driver)
{
    auto message = driver.start({9});
    message.tasks[0].spec.size.memory = Megabytes(driver.settings.capacity.memory.value() + 1);
    return message;
}

StartTasks draining(AgentDriver &driver)
{
    driver.feed(DrainRequested{});
    return driver.start({9});
}

StartTasks deadlinePassed(AgentDriver &driver)
{
    auto message = driver.start({9});
    message.tasks[0].deadline = Duration(0);
    return message;
}

StartTasks deadlinePassedInTransit(AgentDriver &driver)
{
    auto message = driver.start({9});
    driver.advance(seconds(24));
    driver.feed(UpstreamHealth{Incarnation(1), false, {}});
    return message;
}

const std::vector<RuleCase> ruleCases{
    {"OtherIncarnation", &LedgerRules::checkIncarnation, otherIncarnation, TaskState::Lost, RunState::Unknown, ErrorKind::WrongIncarnation},
    {"LowerToken", &LedgerRules::checkToken, lowerToken, TaskState::NeverStarted, RunState::Unknown, ErrorKind::OwnerFenced},
    {"LowerTokenThanRoster",
     &LedgerRules::fenceByLedgerReport,
     lowerTokenThanRoster,
     TaskState::NeverStarted,
     RunState::Unknown,
     ErrorKind::OwnerFenced},
    {"OldStamp", &LedgerRules::checkStamp, oldStamp, TaskState::NeverStarted, RunState::NotRun, ErrorKind::StaleMessage},
    {"FutureStamp", &LedgerRules::checkStamp, futureStamp, TaskState::NeverStarted, RunState::NotRun, ErrorKind::StaleMessage},
    {"KnownTask", &LedgerRules::checkLedger, knownTask, TaskState::Succeeded, RunState::Ran, ErrorKind::None},
    {"QueriedTask", &LedgerRules::tombstoneQueried, queriedTask, TaskState::NeverStarted, RunState::NotRun, ErrorKind::Tombstoned},
    {"RefusedTask", &LedgerRules::tombstoneRefused, refusedTask, TaskState::NeverStarted, RunState::NotRun, ErrorKind::NoCapacity},
    {"NoFreeSlot", &LedgerRules::checkCapacity, noFreeSlot, TaskState::NeverStarted, RunState::NotRun, ErrorKind::NoCapacity},
    {"TooLarge", &LedgerRules::checkCapacity, tooLarge, TaskState::NeverStarted, RunState::NotRun, ErrorKind::NoCapacity},
    {"Draining", &LedgerRules::checkLeaving, draining, TaskState::NeverStarted, RunState::NotRun, ErrorKind::Draining},
    {"DeadlinePassed",
     &LedgerRules::checkDeadline,
     deadlinePassed,
     TaskState::NeverStarted,
     RunState::NotRun,
     ErrorKind::DeadlineUnreachable},
    {"DeadlinePassedInTransit",
     &LedgerRules::checkDeadline,
     deadlinePassedInTransit,
     TaskState::NeverStarted,
     RunState::NotRun,
     ErrorKind::DeadlineUnreachable},
};

std::string nameOf(const testing::TestParamInfo<RuleCase> &info)
{
    return info.param.name;
}

} // namespace

class AgentStartRuleTest : public testing::TestWithParam<RuleCase>
{
};

TEST_P(AgentStartRuleTest, RefusesWithTheReason)
{
    const auto &rule = GetParam();
    AgentDriver driver;
    driver.makeReady();
    const auto message = rule.prepare(driver);
    const int startsBefore = driver.startsSeen;
    driver.feed(StartTasksReceived{message});
    EXPECT_EQ(driver.startsSeen, startsBefore);
    const auto report = driver.report(9);
    ASSERT_TRUE(report.has_value());
    EXPECT_EQ(report->state, rule.state);
    EXPECT_EQ(report->ran, rule.ran);
    EXPECT_EQ(report->error, rule.error);
}

TEST_P(AgentStartRuleTest, IsNotRefusedWithoutTheRule)
{
    const auto &rule = GetParam();
    LedgerRules rules;
    rules.*rule.rule = false;
    AgentDriver driver(rules);
    driver.makeReady();
    const auto message = rule.prepare(driver);
    driver.feed(StartTasksReceived{message});
    const auto report = driver.report(9);
    const bool sameAnswer = report && report->state == rule.state && report->ran == rule.ran && report->error == rule.error;
    EXPECT_FALSE(sameAnswer);
}

INSTANTIATE_TEST_SUITE_P(Rules, AgentStartRuleTest, testing::ValuesIn(ruleCases), nameOf);

TEST(AgentStartTest, ADuplicateStartReportsTheStateAndStartsNothing)
{
    AgentDriver driver;
    driver.makeReady();
    const auto message = driver.start({1});
    driver.feed(StartTasksReceived{message});
    EXPECT_EQ(driver.startsSeen, 1);
    driver.feed(StartTasksReceived{message});
    EXPECT_EQ(driver.startsSeen, 1);
    ASSERT_TRUE(driver.report(1).has_value());
    EXPECT_EQ(driver.report(1)->state, TaskState::Running);
    EXPECT_EQ(driver.report(1)->sequence, ReportSequence());
}

TEST(AgentStartTest, RunsOneTaskASlotAndQueuesTheNext)
{
    AgentDriver driver;
    driver.makeReady();
    driver.feed(StartTasksReceived{driver.start({1, 2, 3})});
    EXPECT_EQ(driver.startsSeen, 2);
    driver.feed(UpstreamTaskEnded{driver.task(1), true, false, "r1"});
    EXPECT_EQ(driver.startsSeen, 3);
    EXPECT_EQ(driver.report(1)->result, "r1");
    EXPECT_EQ(driver.report(1)->sequence, ReportSequence(1));
}

TEST(AgentStartTest, NeverStartsAQueuedTaskAfterItsDeadline)
{
    AgentDriver driver;
    driver.makeReady();
    auto message = driver.start({1, 2, 3});
    message.tasks[2].deadline = Duration(1'500'000);
    driver.feed(StartTasksReceived{message});
    driver.advance(seconds(2));
    ASSERT_TRUE(driver.report(3).has_value());
    EXPECT_EQ(driver.report(3)->error, ErrorKind::DeadlineUnreachable);
    driver.feed(UpstreamTaskEnded{driver.task(1), true, false, "r1"});
    EXPECT_EQ(driver.startsSeen, 2);
}

} // namespace Sycamoremoor
