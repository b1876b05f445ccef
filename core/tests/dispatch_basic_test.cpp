// Rules of admission, queueing, placement, expiry and worker changes.
#include "dispatch_fixture.h"

#include <gtest/gtest.h>

namespace Sycamoremoor
{

struct AdmitCase {
    const char *name;
    std::size_t tasks;
    TaskSize size;
    Duration deadline;
    const char *service;
    const char *team;
    ErrorKind expected;
};

class DispatchAdmitTest : public testing::TestWithParam<AdmitCase>
{
};

TEST_P(DispatchAdmitTest, ReturnsErrorKind)
{
    const auto &row = GetParam();
    DispatchFixture fixture;
    fixture.addWorkers(2);
    auto job = fixture.makeJob(row.tasks, row.size);
    job.service = ServiceName(row.service);
    job.team = TeamName(row.team);
    EXPECT_EQ(fixture.dispatcher.admit(fixture.now, job, row.deadline).error, row.expected);
}

constexpr Duration Minute = std::chrono::minutes(1);
constexpr TaskSize Usual{MilliCores(1'000), Megabytes(256), Accelerators(0)};

INSTANTIATE_TEST_SUITE_P(
    Rules,
    DispatchAdmitTest,
    testing::Values(
        AdmitCase{"Admitted", 1, Usual, Minute, "reclaim-desk", "intake", ErrorKind::None},
        AdmitCase{"NoService", 1, Usual, Minute, "nothing", "intake", ErrorKind::UnknownService},
        AdmitCase{"NoTeam", 1, Usual, Minute, "reclaim-desk", "nobody", ErrorKind::UnknownTeam},
        AdmitCase{"Late", 1, Usual, Duration::zero(), "reclaim-desk", "intake", ErrorKind::DeadlineUnreachable},
        AdmitCase{"Cores", 1, {MilliCores(31'000), Megabytes(1)}, Minute, "reclaim-desk", "intake", ErrorKind::NeverFits},
        AdmitCase{"Memory", 1, {MilliCores(1), Megabytes(130'001)}, Minute, "reclaim-desk", "intake", ErrorKind::NeverFits},
        AdmitCase{
            "Accelerators", 1, {MilliCores(1), Megabytes(1), Accelerators(1)}, Minute, "reclaim-desk", "intake", ErrorKind::NeverFits},
        AdmitCase{"TeamQueue", 501, Usual, Minute, "reclaim-desk", "narrow", ErrorKind::QuotaExceeded},
        AdmitCase{"ServiceQueue", 1'001, Usual, Minute, "reclaim-desk", "intake", ErrorKind::QueueFull}),
    [](const auto &row) { return std::string(row.param.name); });

TEST(DispatchPlace, SpreadsUpToTheSlots)
{
    DispatchFixture fixture;
    fixture.addWorkers(2);
    fixture.submit(20, Usual);
    const auto placements = fixture.dispatcher.place(fixture.now, 1);
    EXPECT_EQ(placements.size(), 16U);
    EXPECT_EQ(fixture.dispatcher.queuedTasks(), 4U);
    EXPECT_EQ(fixture.dispatcher.placedTasks(), 16U);
    fixture.end(placements.front().task, PlacementEnd::Kind::Succeeded);
    EXPECT_EQ(fixture.dispatcher.place(fixture.now, 1).size(), 1U);
}

TEST(DispatchPlace, SkipsWorkersThatDoNotAccept)
{
    DispatchFixture fixture;
    fixture.addWorkers(2);
    auto leaving = fixture.worker(0);
    leaving.accepting = false;
    fixture.dispatcher.updateWorker(fixture.now, leaving);
    fixture.submit(9, Usual);
    for (const auto &placement : fixture.dispatcher.place(fixture.now, 1)) {
        EXPECT_NE(placement.agent, leaving.agent);
    }
    EXPECT_EQ(fixture.dispatcher.queuedTasks(), 1U);
}

TEST(DispatchPlace, KeepsTeamsWithinTheirQuota)
{
    DispatchFixture fixture;
    fixture.addWorkers(2);
    fixture.submit(9, Usual, "narrow");
    EXPECT_EQ(fixture.dispatcher.place(fixture.now, 1).size(), 4U);
}

TEST(DispatchEnd, EnqueuesTaskAgainThatDidNotStart)
{
    DispatchFixture fixture;
    fixture.addWorkers(1);
    const auto job = fixture.submit(1, Usual);
    const TaskId task{job->key, TaskIndex(0)};
    ASSERT_EQ(fixture.dispatcher.place(fixture.now, 1).size(), 1U);
    EXPECT_TRUE(fixture.end(task, PlacementEnd::Kind::NotStarted));
    EXPECT_EQ(fixture.dispatcher.queuedTasks(), 1U);
}

TEST(DispatchEnd, EnqueuesNoTaskOfACancelledJob)
{
    DispatchFixture fixture;
    fixture.addWorkers(1);
    const auto job = fixture.submit(10, Usual);
    ASSERT_EQ(fixture.dispatcher.place(fixture.now, 1).size(), 8U);
    EXPECT_EQ(fixture.dispatcher.cancel(job->key).size(), 2U);
    EXPECT_FALSE(fixture.end({job->key, TaskIndex(0)}, PlacementEnd::Kind::NotStarted));
    EXPECT_EQ(fixture.dispatcher.queuedTasks(), 0U);
}

TEST(DispatchExpire, RemovesJobsAtTheirDeadline)
{
    DispatchFixture fixture;
    const auto job = fixture.submit(2, Usual);
    ASSERT_TRUE(fixture.dispatcher.nextWake().has_value());
    EXPECT_TRUE(fixture.dispatcher.expire(fixture.now).empty());
    fixture.now += fixture.deadline;
    EXPECT_EQ(fixture.dispatcher.expire(fixture.now).size(), 2U);
    EXPECT_EQ(fixture.dispatcher.queuedTasks(), 0U);
}

TEST(DispatchWorker, RestartedWorkerHasAllSlotsAndEndsOfEarlierTasksFreeNone)
{
    DispatchFixture fixture;
    fixture.addWorkers(1);
    const auto before = fixture.submit(8, Usual);
    ASSERT_EQ(fixture.dispatcher.place(fixture.now, 1).size(), 8U);
    auto restarted = fixture.worker(0);
    restarted.incarnation = Incarnation(2);
    fixture.dispatcher.updateWorker(fixture.now, restarted);
    fixture.submit(12, Usual);
    EXPECT_EQ(fixture.dispatcher.place(fixture.now, 1).size(), 8U);
    fixture.end({before->key, TaskIndex(0)}, PlacementEnd::Kind::Lost);
    EXPECT_EQ(fixture.dispatcher.place(fixture.now, 1).size(), 0U);
}

TEST(DispatchWorker, ARemovedWorkerThatReturnsStillRunsItsTasks)
{
    DispatchFixture fixture;
    fixture.addWorkers(1);
    fixture.submit(6, Usual);
    ASSERT_EQ(fixture.dispatcher.place(fixture.now, 1).size(), 6U);
    fixture.dispatcher.removeWorker(fixture.worker(0).agent);
    fixture.addWorkers(1);
    fixture.submit(8, Usual);
    EXPECT_EQ(fixture.dispatcher.place(fixture.now, 1).size(), 2U);
}

} // namespace Sycamoremoor
