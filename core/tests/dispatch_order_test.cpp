// Order of placement by job, task, team, zone and size.
#include "dispatch_fixture.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace Sycamoremoor
{

namespace
{

constexpr TaskSize Small{MilliCores(1'000), Megabytes(256), Accelerators(0)};
constexpr TaskSize WholeWorker{MilliCores(30'000), Megabytes(256), Accelerators(0)};

/** Adds one worker and fills it, so that later submissions are queued. Returns the job that fills it. */
JobSpecPointer fillOnlyWorker(DispatchFixture &fixture)
{
    fixture.addWorkers(1);
    auto job = fixture.submit(8, Small);
    EXPECT_EQ(fixture.dispatcher.place(fixture.now, 1).size(), 8U);
    return job;
}

/** Ends task @p index of @p job and returns the tasks placed after that. */
std::vector<Placement> endAndPlace(DispatchFixture &fixture, const JobSpecPointer &job, std::uint32_t index)
{
    fixture.end({job->key, TaskIndex(index)}, PlacementEnd::Kind::Succeeded);
    return fixture.dispatcher.place(fixture.now, 1);
}

} // namespace

TEST(DispatchOrder, SmallJobsGoBeforeLargeOnes)
{
    DispatchFixture fixture;
    const auto first = fillOnlyWorker(fixture);
    fixture.submit(100, Small);
    const auto small = fixture.submit(1, Small);
    const auto placed = endAndPlace(fixture, first, 0);
    ASSERT_EQ(placed.size(), 1U);
    EXPECT_EQ(placed.front().task.submission, small->key);
}

TEST(DispatchOrder, LargeJobsDoNotStarveBehindAStreamOfSmallOnes)
{
    DispatchFixture fixture;
    const auto first = fillOnlyWorker(fixture);
    const auto large = fixture.submit(40, Small);
    std::vector<TaskId> running;
    for (std::uint32_t index = 0; index < 8; ++index) {
        running.push_back({first->key, TaskIndex(index)});
    }
    std::set<TaskIndex> started;
    const auto until = fixture.now + fixture.deadline;
    while (fixture.now < until && started.size() < large->tasks.size()) {
        fixture.submit(8, Small);
        for (const auto &task : running) {
            fixture.end(task, PlacementEnd::Kind::Succeeded);
        }
        running.clear();
        for (const auto &placement : fixture.dispatcher.place(fixture.now, 1)) {
            running.push_back(placement.task);
            if (placement.task.submission == large->key) {
                started.insert(placement.task.index);
            }
        }
        fixture.now += std::chrono::milliseconds(100);
    }
    EXPECT_EQ(started.size(), large->tasks.size());
}

TEST(DispatchOrder, TheLongestTaskOfAJobGoesFirst)
{
    DispatchFixture fixture;
    const auto first = fillOnlyWorker(fixture);
    auto job = fixture.makeJob(3, Small);
    job.tasks[1].declaredRunTime = std::chrono::seconds(2);
    fixture.enqueue(job);
    const auto placed = endAndPlace(fixture, first, 0);
    ASSERT_EQ(placed.size(), 1U);
    EXPECT_EQ(placed.front().task.index, TaskIndex(1));
}

TEST(DispatchOrder, TasksOfAJobSpreadOverWorkers)
{
    DispatchFixture fixture;
    fixture.addWorkers(8);
    fixture.submit(16, Small);
    std::map<AgentName, int> perWorker;
    for (const auto &placement : fixture.dispatcher.place(fixture.now, 1)) {
        ++perWorker[placement.agent];
    }
    for (const auto &[agent, tasks] : perWorker) {
        EXPECT_LE(tasks, 4) << agent.value();
    }
}

TEST(DispatchOrder, TheOwnZoneGoesFirstWhileItIsIdle)
{
    DispatchFixture fixture;
    fixture.addWorkers(2);
    fixture.submit(1, Small);
    const auto placed = fixture.dispatcher.place(fixture.now, 1);
    ASSERT_EQ(placed.size(), 1U);
    EXPECT_EQ(placed.front().agent, fixture.worker(0).agent);
}

TEST(DispatchOrder, TeamsShareSlotsByWeight)
{
    DispatchFixture fixture;
    fixture.config->teams[TeamName("couriers")].weight = 3;
    fixture.dispatcher.configure(fixture.config, 1);
    fixture.addWorkers(1);
    fixture.submit(20, Small, "intake");
    const auto couriers = fixture.submit(20, Small, "couriers");
    int ofCouriers = 0;
    for (const auto &placement : fixture.dispatcher.place(fixture.now, 1)) {
        ofCouriers += placement.task.submission == couriers->key ? 1 : 0;
    }
    EXPECT_EQ(ofCouriers, 6);
}

TEST(DispatchOrder, TaskThatFitsNoWorkerDoesNotBlockOthers)
{
    DispatchFixture fixture;
    const auto first = fillOnlyWorker(fixture);
    fixture.submit(1, WholeWorker);
    fixture.submit(2, Small);
    EXPECT_EQ(endAndPlace(fixture, first, 0).size(), 1U);
}

TEST(DispatchOrder, ALargeTaskDoesNotStarveBehindAStreamOfSmallOnes)
{
    DispatchFixture fixture;
    fixture.addWorkers(2);
    std::vector<TaskId> running;
    for (int round = 0; round < 4; ++round) {
        fixture.submit(4, Small);
    }
    for (const auto &placement : fixture.dispatcher.place(fixture.now, 1)) {
        running.push_back(placement.task);
    }
    const auto whole = fixture.submit(1, WholeWorker);
    const auto until = fixture.now + fixture.deadline;
    bool started = false;
    while (fixture.now < until && !started) {
        fixture.submit(2, Small);
        fixture.now += std::chrono::milliseconds(50);
        for (int ends = 0; ends < 2 && !running.empty(); ++ends) {
            fixture.end(running.front(), PlacementEnd::Kind::Succeeded);
            running.erase(running.begin());
        }
        for (const auto &placement : fixture.dispatcher.place(fixture.now, 1)) {
            started = started || placement.task.submission == whole->key;
            running.push_back(placement.task);
        }
    }
    EXPECT_TRUE(started);
}

TEST(DispatchOrder, AWorkerIsFoundAmongManyThatLackOneResourceEach)
{
    DispatchFixture fixture;
    constexpr std::size_t Lacking = 1'000;
    for (std::size_t index = 0; index < Lacking; ++index) {
        auto state = fixture.worker(index);
        state.capacity.cores = MilliCores(index % 4 < 2 ? 100 : 30'000);
        state.capacity.memory = Megabytes(index % 4 < 2 ? 130'000 : 100);
        fixture.dispatcher.updateWorker(fixture.now, state);
    }
    fixture.dispatcher.updateWorker(fixture.now, fixture.worker(Lacking));
    const auto job = fixture.submit(9, Small);
    ASSERT_EQ(fixture.dispatcher.place(fixture.now, 1).size(), 8U);
    fixture.end({job->key, TaskIndex(0)}, PlacementEnd::Kind::Succeeded);
    EXPECT_EQ(fixture.dispatcher.place(fixture.now, 1).size(), 1U);
}

struct UsageCase {
    const char *name;
    std::int64_t coresInUse; ///< millicores in use while 4 tasks of 1,000 millicores each run
    std::size_t placed;      ///< further tasks that are placed
};

class DispatchUsageTest : public testing::TestWithParam<UsageCase>
{
};

TEST_P(DispatchUsageTest, ReportedUsageScalesDeclaredSizes)
{
    DispatchFixture fixture;
    fixture.addWorkers(1);
    fixture.submit(4, Small);
    ASSERT_EQ(fixture.dispatcher.place(fixture.now, 1).size(), 4U);
    auto state = fixture.worker(0);
    state.usage.cores = MilliCores(GetParam().coresInUse);
    for (int report = 0; report < 30; ++report) {
        fixture.dispatcher.updateWorker(fixture.now, state);
    }
    fixture.submit(4, Small);
    EXPECT_EQ(fixture.dispatcher.place(fixture.now, 1).size(), GetParam().placed);
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         DispatchUsageTest,
                         testing::Values(UsageCase{"AsDeclared", 4'000, 4}, UsageCase{"Less", 1'000, 4}, UsageCase{"FiveTimes", 20'000, 2}),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace Sycamoremoor
