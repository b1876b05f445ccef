// Duplicates, conflicts, cancels, deadlines, lost agents: one whole and truthful answer each.
#include "entry_fleet.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/** What goes wrong with a job of three tasks, and what the caller must be told. */
struct FailureCase {
    const char *name;
    std::function<void(EntryFleet &)> before; ///< the submission
    std::function<void(EntryFleet &, const JobSpecPointer &)> after;
    Duration wait;
    ErrorKind error;
    RunState ran;
};

void holdAll(EntryFleet &fleet)
{
    for (auto &agent : fleet.agents) {
        agent.holds = true;
    }
}

void nothing(EntryFleet & /*fleet*/, const JobSpecPointer & /*job*/) { }

const std::array failureCases{
    FailureCase{"TaskFails",
                [](EntryFleet &fleet) { fleet.agents[0].outcome = TaskState::Failed; },
                nothing,
                milliseconds(10),
                ErrorKind::TaskFailed,
                RunState::Ran},
    FailureCase{"CancelledWhileRunning",
                holdAll,
                [](EntryFleet &fleet, const JobSpecPointer &job) {
                    fleet.input("entry-1", CancelRequested{ConnectionId(1), job->key});
                },
                milliseconds(10),
                ErrorKind::Cancelled,
                RunState::Ran},
    FailureCase{"CancelledWhileQueued",
                [](EntryFleet &fleet) {
                    for (auto &agent : fleet.agents) {
                        agent.alive = false;
                    }
                    fleet.run(seconds(5));
                },
                [](EntryFleet &fleet, const JobSpecPointer &job) {
                    fleet.input("entry-1", CancelRequested{ConnectionId(1), job->key});
                },
                milliseconds(10),
                ErrorKind::Cancelled,
                RunState::NotRun},
    FailureCase{"AgentDiesWithTasks",
                holdAll,
                [](EntryFleet &fleet, const JobSpecPointer & /*job*/) {
                    for (auto &agent : fleet.agents) {
                        agent.alive = false;
                    }
                },
                seconds(25),
                ErrorKind::AgentLost,
                RunState::Unknown},
    FailureCase{"AgentRestartsWithTasks",
                holdAll,
                [](EntryFleet &fleet, const JobSpecPointer & /*job*/) {
                    for (std::size_t index = 0; index < fleet.agents.size(); ++index) {
                        fleet.restartAgent(index);
                    }
                },
                seconds(5),
                ErrorKind::AgentLost,
                RunState::Unknown},
    FailureCase{"DeadlinePassesWhileRunning", holdAll, nothing, seconds(32), ErrorKind::DeadlineUnreachable, RunState::Ran},
};

} // namespace

class EntryFailureTest : public testing::TestWithParam<FailureCase>
{
};

TEST_P(EntryFailureTest, IsToldTruthfullyAndOnce)
{
    const auto &row = GetParam();
    EntryFleet fleet(1, 3);
    fleet.run(seconds(5));
    row.before(fleet);
    const auto job = fleet.newJob(3);
    const auto caller = fleet.submit("entry-1", job);
    fleet.run(milliseconds(10));
    row.after(fleet, job);
    fleet.run(row.wait);
    const auto answer = fleet.answerTo(caller);
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(answer->error, row.error);
    EXPECT_EQ(answer->ran, row.ran);
    EXPECT_TRUE(answer->results.empty());
    ASSERT_EQ(answer->account.size(), 3U);
    for (const auto &line : answer->account) {
        const auto started = std::ranges::any_of(fleet.agents, [&](const FakeAgent &agent) {
            return std::ranges::find(agent.starts, TaskId{job->key, line.index}) != agent.starts.end();
        });
        EXPECT_FALSE(started && line.ran == RunState::NotRun) << "task " << line.index.value();
        EXPECT_FALSE(!started && line.ran == RunState::Ran) << "task " << line.index.value();
    }
    EXPECT_LE(fleet.mostStarts(), 1U);
    const auto again = fleet.submit("entry-1", job);
    fleet.run(milliseconds(10));
    EXPECT_EQ(fleet.answerTo(again), answer) << "a resubmission gets the same answer";
    EXPECT_EQ(std::ranges::count(fleet.answers, caller, &CallerAnswer::connection), 1);
}

INSTANTIATE_TEST_SUITE_P(Failures, EntryFailureTest, testing::ValuesIn(failureCases), [](const auto &row) {
    return std::string(row.param.name);
});

TEST(EntryAnswers, ResubmissionsJoinTheRunningJob)
{
    EntryFleet fleet(3, 3);
    holdAll(fleet);
    fleet.run(seconds(5));
    const auto job = fleet.newJob(3);
    std::vector<ConnectionId> callers;
    for (const auto *entry : {"entry-1", "entry-2", "entry-3", "entry-1"}) {
        callers.push_back(fleet.submit(entry, job));
    }
    auto other = std::make_shared<JobSpec>(*job);
    other->digest = 2;
    const auto conflicting = fleet.submit("entry-2", other);
    fleet.run(milliseconds(10));
    ASSERT_NE(fleet.answerTo(conflicting), nullptr);
    EXPECT_EQ(fleet.answerTo(conflicting)->error, ErrorKind::KeyConflict);
    for (std::size_t index = 0; index < fleet.agents.size(); ++index) {
        fleet.release(index);
    }
    fleet.run(milliseconds(10));
    for (const auto &caller : callers) {
        ASSERT_NE(fleet.answerTo(caller), nullptr);
        EXPECT_EQ(fleet.answerTo(caller)->results.size(), 3U);
    }
    EXPECT_EQ(fleet.startsOf(job->key), 3U);
    EXPECT_EQ(fleet.mostStarts(), 1U);
    AccountQuery query;
    query.key = job->key;
    fleet.input("entry-1", AccountRequested{ConnectionId(1), query});
    fleet.run(milliseconds(1));
    ASSERT_EQ(fleet.accountAnswers.size(), 1U);
    ASSERT_EQ(fleet.accountAnswers.front().reply.submissions.size(), 1U);
    EXPECT_EQ(fleet.accountAnswers.front().reply.submissions.front().timesSubmitted, 4U);
}

TEST(EntryAnswers, StartLostOnASilentConnectionIsAskedAboutAndSentAgain)
{
    EntryFleet fleet(1, 3);
    fleet.run(seconds(5));
    for (auto &agent : fleet.agents) {
        agent.dropsStarts = true;
    }
    const auto job = fleet.newJob(1);
    const auto caller = fleet.submit("entry-1", job);
    fleet.run(milliseconds(10));
    for (auto &agent : fleet.agents) {
        agent.dropsStarts = false;
    }
    fleet.run(seconds(5));
    ASSERT_NE(fleet.answerTo(caller), nullptr);
    EXPECT_EQ(fleet.answerTo(caller)->error, ErrorKind::None);
    EXPECT_GE(fleet.answerTo(caller)->account.front().attempts, 2U);
    EXPECT_EQ(fleet.queryMessages, 1U);
    EXPECT_EQ(fleet.startsOf(job->key), 1U);
}

TEST(EntryAnswers, AFailedMessageIsNoEvidenceThatATaskDidNotStart)
{
    EntryFleet fleet(1, 2);
    holdAll(fleet);
    fleet.run(seconds(5));
    const auto job = fleet.newJob(1);
    const auto caller = fleet.submit("entry-1", job);
    fleet.run(milliseconds(10));
    const auto holder = std::ranges::find_if(fleet.agents, [](const FakeAgent &agent) { return !agent.starts.empty(); });
    ASSERT_NE(holder, fleet.agents.end());
    const std::vector tasks{TaskId{job->key, TaskIndex(0)}};
    fleet.input("entry-1", AgentSendFailed{holder->name, holder->incarnation, Delivery::Unknown, tasks});
    fleet.run(milliseconds(10));
    EXPECT_EQ(fleet.queryMessages, 1U);
    fleet.input("entry-1", AgentSendFailed{holder->name, holder->incarnation, Delivery::NotSent, tasks}); // of the query
    fleet.run(seconds(3));
    EXPECT_EQ(fleet.startsOf(job->key), 1U);
    for (std::size_t index = 0; index < fleet.agents.size(); ++index) {
        fleet.release(index);
    }
    fleet.run(milliseconds(10));
    ASSERT_NE(fleet.answerTo(caller), nullptr);
    EXPECT_EQ(fleet.answerTo(caller)->error, ErrorKind::None);
}

TEST(EntryAnswers, SlowTasksAreNotAskedAbout)
{
    EntryFleet fleet(1, 3);
    holdAll(fleet);
    fleet.run(seconds(5));
    fleet.submit("entry-1", fleet.newJob(20));
    fleet.run(seconds(20));
    EXPECT_EQ(fleet.queryMessages, 0U);
}

/** Keys by their age at submission, and what is said to them. */
struct KeyCase {
    const char *name;
    Duration age;
    ErrorKind error;
};

class EntryKeyTest : public testing::TestWithParam<KeyCase>
{
};

TEST_P(EntryKeyTest, IsCheckedForItsAge)
{
    const auto &row = GetParam();
    EntryFleet fleet(1, 1);
    fleet.run(seconds(5));
    auto job = std::make_shared<JobSpec>(*fleet.newJob(1));
    job->key = SubmissionKey::create(fleet.wall - row.age, 7, 7);
    const auto caller = fleet.submit("entry-1", job);
    fleet.run(milliseconds(10));
    ASSERT_NE(fleet.answerTo(caller), nullptr);
    EXPECT_EQ(fleet.answerTo(caller)->error, row.error);
}

INSTANTIATE_TEST_SUITE_P(Ages,
                         EntryKeyTest,
                         testing::Values(KeyCase{"Fresh", seconds(0), ErrorKind::None},
                                         KeyCase{"Old", seconds(599), ErrorKind::None},
                                         KeyCase{"Expired", seconds(601), ErrorKind::KeyExpired},
                                         KeyCase{"SlightlyAhead", seconds(-1), ErrorKind::None},
                                         KeyCase{"Ahead", seconds(-3), ErrorKind::KeyFromFuture}),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(EntryAnswers, AnswersAreReleasedInBytesAndKeysStayKnown)
{
    EntryFleet fleet(1, 3);
    auto config = std::make_shared<ConfigSet>(*fleet.platform.config);
    config->policy.answerBytes = ByteCount(1);
    fleet.platform.config = config;
    fleet.run(seconds(5));
    const auto job = fleet.newJob(1);
    fleet.submit("entry-1", job);
    fleet.run(milliseconds(10));
    const auto again = fleet.submit("entry-1", job);
    fleet.run(milliseconds(10));
    ASSERT_NE(fleet.answerTo(again), nullptr);
    EXPECT_EQ(fleet.answerTo(again)->error, ErrorKind::AnswerReleased);
    EXPECT_EQ(fleet.answerTo(again)->ran, RunState::Ran);
    EXPECT_EQ(fleet.startsOf(job->key), 1U);
}

TEST(EntryAnswers, NewerConfigurationComesIntoForceAndOlderNever)
{
    EntryFleet fleet(2, 1);
    fleet.run(seconds(5));
    const auto first = fleet.platform.config;
    auto second = std::make_shared<ConfigSet>(*first);
    second->revision = Revision(2);
    fleet.platform.config = second;
    fleet.run(seconds(3));
    fleet.platform.config = first; // a stale read
    fleet.run(seconds(3));
    EXPECT_EQ(fleet.agents.front().configRevision, Revision(2));
    fleet.input("entry-2", ProcessStatusRequested{ConnectionId(1)});
    fleet.run(milliseconds(1));
    ASSERT_EQ(fleet.processAnswers.size(), 1U);
    EXPECT_EQ(fleet.processAnswers.front().status.configRevision, Revision(2));
}

} // namespace Sycamoremoor
