// Owners that die, pause or are cut off, and the platform's outages.
#include "entry_fleet.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

void holdAll(EntryFleet &fleet, bool holds)
{
    for (auto &agent : fleet.agents) {
        agent.holds = holds;
    }
}

/** How the owner is lost while a job is in a stage. */
struct TakeoverCase {
    const char *name;
    std::function<void(EntryFleet &)> before;
    std::function<void(EntryFleet &)> lose;
    bool complete; ///< whether the job must still end complete
};

const std::array takeoverCases{
    TakeoverCase{
        "KilledWhileRunning", [](EntryFleet &fleet) { holdAll(fleet, true); }, [](EntryFleet &fleet) { fleet.kill("entry-1"); }, true},
    TakeoverCase{"KilledAfterTheEnd", [](EntryFleet &) {}, [](EntryFleet &fleet) { fleet.kill("entry-1"); }, true},
    TakeoverCase{"KilledWhileHalfStarted",
                 [](EntryFleet &fleet) {
                     holdAll(fleet, true);
                     for (std::size_t index = 1; index < fleet.agents.size(); ++index) {
                         fleet.agents[index].dropsStarts = true;
                     }
                 },
                 [](EntryFleet &fleet) {
                     fleet.kill("entry-1");
                     for (auto &agent : fleet.agents) {
                         agent.dropsStarts = false;
                     }
                 },
                 true},
    TakeoverCase{"KilledWithAnAgent",
                 [](EntryFleet &fleet) { holdAll(fleet, true); },
                 [](EntryFleet &fleet) {
                     fleet.kill("entry-1");
                     fleet.agents.front().alive = false;
                 },
                 false},
    TakeoverCase{"RestartedAtOnce",
                 [](EntryFleet &fleet) { holdAll(fleet, true); },
                 [](EntryFleet &fleet) {
                     fleet.kill("entry-1");
                     fleet.start("entry-1");
                 },
                 true},
    TakeoverCase{"Paused", [](EntryFleet &fleet) { holdAll(fleet, true); }, [](EntryFleet &fleet) { fleet.pause("entry-1"); }, true},
    TakeoverCase{"CutOff",
                 [](EntryFleet &fleet) { holdAll(fleet, true); },
                 [](EntryFleet &fleet) {
                     for (const auto *other : {"entry-2", "entry-3", "platform", "agent-1", "agent-2", "agent-3"}) {
                         fleet.cut("entry-1", other);
                     }
                 },
                 true},
};

} // namespace

class EntryTakeoverTest : public testing::TestWithParam<TakeoverCase>
{
};

TEST_P(EntryTakeoverTest, ResubmissionEndsWithoutASecondStart)
{
    const auto &row = GetParam();
    EntryFleet fleet(3, 3);
    fleet.run(seconds(6));
    ASSERT_EQ(fleet.ownerName(), "entry-1");
    row.before(fleet);
    auto job = std::make_shared<JobSpec>(*fleet.newJob(9));
    job->deadline = seconds(60);
    const auto first = fleet.submit("entry-2", job);
    fleet.run(milliseconds(50));
    row.lose(fleet);
    const auto second = fleet.submit("entry-3", job);
    fleet.run(seconds(12));
    holdAll(fleet, false);
    for (std::size_t index = 0; index < fleet.agents.size(); ++index) {
        if (fleet.agents[index].alive) {
            fleet.release(index);
        }
    }
    fleet.run(seconds(30));
    EXPECT_LE(fleet.mostStarts(), 1U);
    for (const auto caller : {first, second}) {
        const auto answer = fleet.answerTo(caller);
        ASSERT_NE(answer, nullptr);
        EXPECT_EQ(answer->error == ErrorKind::None, row.complete) << errorRow(answer->error).code;
        EXPECT_EQ(answer->results.size(), row.complete ? 9U : 0U);
        for (const auto &line : answer->account) {
            const auto started = std::ranges::any_of(fleet.agents, [&](const FakeAgent &agent) {
                return std::ranges::find(agent.starts, TaskId{job->key, line.index}) != agent.starts.end();
            });
            EXPECT_FALSE(started && line.ran == RunState::NotRun);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Losses, EntryTakeoverTest, testing::ValuesIn(takeoverCases), [](const auto &row) {
    return std::string(row.param.name);
});

TEST(EntryTakeover, NewKeysGoOnWithinTheStatedTime)
{
    EntryFleet fleet(3, 3);
    fleet.run(seconds(6));
    fleet.kill("entry-1");
    const auto job = fleet.newJob(3);
    const auto caller = fleet.submit("entry-2", job);
    EXPECT_TRUE(fleet.runUntil([&] { return fleet.answerTo(caller) != nullptr; }, seconds(13)));
    EXPECT_EQ(fleet.answerTo(caller)->error, ErrorKind::None);
    EXPECT_EQ(fleet.startsOf(job->key), 3U);
}

TEST(EntryTakeover, ANewOwnerWaitsOutTheLeaseOfARemovedOne)
{
    EntryFleet fleet(3, 3);
    fleet.run(seconds(6));
    fleet.kill("entry-1");
    ASSERT_TRUE(fleet.runUntil([&] { return fleet.ownerName() != "entry-1"; }, seconds(10)));
    const auto job = fleet.newJob(3);
    fleet.submit("entry-3", job);
    fleet.run(fleet.settings.servingLease - milliseconds(1));
    EXPECT_EQ(fleet.startsOf(job->key), 0U);
    fleet.run(seconds(3));
    EXPECT_EQ(fleet.startsOf(job->key), 3U);
}

TEST(EntryTakeover, ResumedOwnerForwardsItsCallersToTheNewOne)
{
    EntryFleet fleet(3, 3);
    holdAll(fleet, true);
    fleet.run(seconds(6));
    auto job = std::make_shared<JobSpec>(*fleet.newJob(3));
    job->deadline = seconds(60);
    const auto caller = fleet.submit("entry-1", job);
    fleet.run(milliseconds(10));
    fleet.pause("entry-1");
    fleet.run(seconds(15));
    EXPECT_NE(fleet.ownerName(), "entry-1");
    fleet.resume("entry-1");
    fleet.run(seconds(5));
    for (std::size_t index = 0; index < fleet.agents.size(); ++index) {
        fleet.release(index);
    }
    fleet.run(seconds(5));
    ASSERT_NE(fleet.answerTo(caller), nullptr);
    EXPECT_EQ(fleet.answerTo(caller)->error, ErrorKind::None);
    EXPECT_EQ(fleet.mostStarts(), 1U);
    EXPECT_EQ(fleet.platform.roster->members.size(), 3U) << "it joined again";
}

TEST(EntryTakeover, PausedOwnerStartsNothingAfterItsLease)
{
    EntryFleet fleet(3, 3);
    fleet.run(seconds(6));
    fleet.pause("entry-1");
    const auto job = fleet.newJob(3);
    fleet.submit("entry-1", job);
    fleet.run(seconds(5));
    fleet.cut("entry-1", "platform");
    fleet.cut("entry-1", "entry-2");
    fleet.cut("entry-1", "entry-3");
    fleet.resume("entry-1");
    fleet.run(seconds(5));
    EXPECT_EQ(fleet.startsOf(job->key), 0U);
}

/** How many entries are left while the platform is down, and whether jobs go on. */
struct OutageCase {
    const char *name;
    std::vector<std::string> killed;
    bool goesOn;
};

class EntryOutageTest : public testing::TestWithParam<OutageCase>
{
};

TEST_P(EntryOutageTest, OwnersActWithMoreThanHalfOfTheRoster)
{
    const auto &row = GetParam();
    EntryFleet fleet(3, 3);
    fleet.run(seconds(6));
    fleet.platform.down = true;
    for (const auto &name : row.killed) {
        fleet.kill(name);
    }
    fleet.run(std::chrono::minutes(2));
    const auto job = fleet.newJob(3);
    const auto caller = fleet.submit("entry-1", job);
    fleet.run(seconds(5));
    EXPECT_EQ(fleet.answerTo(caller) != nullptr, row.goesOn);
    EXPECT_EQ(fleet.startsOf(job->key), row.goesOn ? 3U : 0U);
    fleet.platform.down = false;
    fleet.run(seconds(5));
    ASSERT_NE(fleet.answerTo(caller), nullptr);
    EXPECT_EQ(fleet.answerTo(caller)->error, ErrorKind::None);
    EXPECT_EQ(fleet.mostStarts(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Outages,
                         EntryOutageTest,
                         testing::Values(OutageCase{"AllThere", {}, true},
                                         OutageCase{"OneGone", {"entry-3"}, true},
                                         OutageCase{"TwoGone", {"entry-2", "entry-3"}, false}),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(EntryTakeover, AMemberThatOnePeerStillHearsStays)
{
    EntryFleet fleet(3, 3);
    fleet.run(seconds(6));
    fleet.cut("entry-1", "entry-2");
    fleet.run(seconds(30));
    EXPECT_EQ(fleet.platform.roster->members.size(), 3U);
    EXPECT_EQ(fleet.ownerName(), "entry-1");
}

TEST(EntryTakeover, CallersOnBothSidesOfACutAreAnswered)
{
    EntryFleet fleet(3, 3);
    fleet.run(seconds(6));
    for (const auto *other : {"entry-2", "entry-3", "platform"}) {
        fleet.cut("entry-1", other);
    }
    const auto job = std::make_shared<JobSpec>(*fleet.newJob(3));
    job->deadline = seconds(200);
    const auto inside = fleet.submit("entry-1", job);
    const auto outside = fleet.submit("entry-2", job);
    fleet.run(seconds(120));
    for (const auto *other : {"entry-2", "entry-3", "platform"}) {
        fleet.cut("entry-1", other, false);
    }
    fleet.run(seconds(20));
    for (const auto caller : {inside, outside}) {
        ASSERT_NE(fleet.answerTo(caller), nullptr);
        EXPECT_EQ(fleet.answerTo(caller)->results.size(), 3U);
    }
    EXPECT_EQ(fleet.mostStarts(), 1U);
    EXPECT_EQ(fleet.platform.roster->members.size(), 3U);
}

TEST(EntryTakeover, LostWriteAnswersAreSettledByReading)
{
    EntryFleet fleet(3, 3);
    fleet.platform.losesWriteAnswers = true;
    fleet.run(seconds(20));
    ASSERT_NE(fleet.platform.roster, nullptr);
    EXPECT_EQ(fleet.platform.roster->members.size(), 3U);
    EXPECT_EQ(fleet.platform.roster->epoch, Epoch(3)) << "one write for each member";
    const auto caller = fleet.submit("entry-2", fleet.newJob(3));
    fleet.run(milliseconds(10));
    ASSERT_NE(fleet.answerTo(caller), nullptr);
    EXPECT_EQ(fleet.answerTo(caller)->error, ErrorKind::None);
}

// Found by a random fleet: the late report replaced the later one, and the proof never completed.
TEST(EntryTakeover, ALateLedgerOfAnEarlierLifeUndoesNothing)
{
    EntryFleet fleet(3, 4);
    fleet.run(std::chrono::seconds(5));
    const auto earlier = fleet.agents.front().incarnation;
    fleet.restartAgent(0);
    fleet.run(std::chrono::seconds(5));
    const auto job = fleet.newJob(2);
    const auto epoch = fleet.platform.roster->epoch;
    fleet.kill(fleet.ownerName());
    ASSERT_TRUE(fleet.runUntil([&] { return fleet.platform.roster->epoch > epoch; }, std::chrono::seconds(10)));
    const auto heir = fleet.ownerName();
    const auto caller = fleet.submit(heir, job);
    fleet.run(std::chrono::seconds(3)); // the agents have reported, the lease is not over
    ASSERT_EQ(fleet.answerTo(caller), nullptr);
    LedgerReport late;
    late.agent = fleet.agents.front().name;
    late.incarnation = earlier;
    late.token = fleet.platform.roster->slots.front().token;
    fleet.input(heir, LedgerReportReceived{ConnectionId(1), late});
    fleet.run(std::chrono::seconds(10));
    ASSERT_NE(fleet.answerTo(caller), nullptr);
    EXPECT_NE(fleet.answerTo(caller)->error, ErrorKind::OwnerUnavailable);
    EXPECT_EQ(fleet.mostStarts(), 1U);
}

} // namespace Sycamoremoor
