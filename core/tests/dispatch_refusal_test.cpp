// Tasks refused by an agent, which promised never to start them, are placed on another worker.
#include "dispatch_fixture.h"

#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <set>

namespace Sycamoremoor
{

namespace
{

constexpr TaskSize Usual{MilliCores(1'000), Megabytes(256), Accelerators(0)};
constexpr Duration BackOff = std::chrono::milliseconds(100); ///< longer than the backoff of the first retries

struct RefusalCase {
    const char *name;
    std::size_t workers;
    std::size_t refusals;
    bool placedAgain; ///< placed after the last refusal; otherwise the task waits for another worker
};

constexpr std::array RefusalCases{
    RefusalCase{"OnlyWorker", 1, 1, false},
    RefusalCase{"OneOfTwo", 2, 1, true},
    RefusalCase{"BothOfTwo", 2, 2, false},
    RefusalCase{"ThreeOfEleven", 11, 3, true},
};

} // namespace

class DispatchRefusalTest : public testing::TestWithParam<RefusalCase>
{
};

TEST_P(DispatchRefusalTest, IsNotSentToTheSameWorkerAgain)
{
    const auto &row = GetParam();
    DispatchFixture fixture;
    fixture.addWorkers(row.workers);
    const auto job = fixture.submit(1, Usual);
    const TaskId task{job->key, TaskIndex(0)};
    std::set<AgentName> refusers;
    bool queued = true;
    for (std::size_t refusal = 0; refusal < row.refusals; ++refusal) {
        const auto placements = fixture.dispatcher.place(fixture.now, refusal);
        ASSERT_EQ(placements.size(), 1U) << refusal;
        EXPECT_TRUE(refusers.insert(placements.front().agent).second) << refusal;
        queued = fixture.end(task, PlacementEnd::Kind::Refused);
        fixture.now += BackOff;
    }
    EXPECT_TRUE(queued);
    const auto placements = fixture.dispatcher.place(fixture.now, 1);
    ASSERT_EQ(placements.size(), row.placedAgain ? 1U : 0U);
    EXPECT_TRUE(placements.empty() || !refusers.contains(placements.front().agent));
}

INSTANTIATE_TEST_SUITE_P(Workers, DispatchRefusalTest, testing::ValuesIn(RefusalCases), [](const auto &row) { return row.param.name; });

TEST(DispatchRefusal, SendsAnAdoptedTaskElsewhere)
{
    DispatchFixture fixture;
    fixture.addWorkers(2);
    const auto job = std::make_shared<const JobSpec>(fixture.makeJob(1, Usual));
    const auto refuser = fixture.worker(0).agent;
    fixture.dispatcher.adopt(fixture.now, job, TaskIndex(0), refuser, fixture.now + fixture.deadline);
    EXPECT_TRUE(fixture.end({job->key, TaskIndex(0)}, PlacementEnd::Kind::Refused));
    fixture.now += BackOff;
    const auto placements = fixture.dispatcher.place(fixture.now, 1);
    ASSERT_EQ(placements.size(), 1U);
    EXPECT_NE(placements.front().agent, refuser);
}

TEST(DispatchRefusal, EndsWithTheIncarnationOfTheWorker)
{
    DispatchFixture fixture;
    fixture.addWorkers(2);
    const auto job = fixture.submit(1, Usual);
    const TaskId task{job->key, TaskIndex(0)};
    const auto first = fixture.dispatcher.place(fixture.now, 1);
    ASSERT_EQ(first.size(), 1U);
    ASSERT_TRUE(fixture.end(task, PlacementEnd::Kind::Refused));
    for (std::size_t index = 0; index < 2; ++index) {
        auto worker = fixture.worker(index);
        const auto refused = worker.agent == first.front().agent;
        worker.incarnation = Incarnation(refused ? 2 : 1);
        worker.accepting = refused;
        fixture.dispatcher.updateWorker(fixture.now, worker);
    }
    fixture.now += BackOff;
    const auto second = fixture.dispatcher.place(fixture.now, 1);
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second.front().agent, first.front().agent);
}

} // namespace Sycamoremoor
