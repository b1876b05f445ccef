// Admission by expected wait: jobs that cannot meet their deadline are refused early, with a sufficient Retry-After.
#include "dispatch_fixture.h"

#include <gtest/gtest.h>

namespace Sycamoremoor
{

namespace
{

constexpr TaskSize Small{MilliCores(1'000), Megabytes(256), Accelerators(0)};

struct WaitCase {
    const char *name;
    std::size_t backlog; ///< queued tasks of 200 ms for 8 slots
    std::size_t tasks;
    Duration deadline;
    ErrorKind expected;
};

} // namespace

class DispatchWaitTest : public testing::TestWithParam<WaitCase>
{
};

TEST_P(DispatchWaitTest, RefusesJobsThatCannotEndInTime)
{
    const auto &row = GetParam();
    DispatchFixture fixture;
    fixture.addWorkers(1);
    for (std::size_t task = 0; task < row.backlog; ++task) {
        fixture.submit(1, Small);
    }
    const auto admission = fixture.dispatcher.admit(fixture.now, fixture.makeJob(row.tasks, Small), row.deadline);
    EXPECT_EQ(admission.error, row.expected) << admission.detail;
    EXPECT_EQ(admission.retryAfter > Duration::zero(), row.expected == ErrorKind::QueueFull);
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         DispatchWaitTest,
                         testing::Values(WaitCase{"Idle", 0, 10, std::chrono::seconds(2), ErrorKind::None},
                                         WaitCase{"ShortBacklog", 40, 10, std::chrono::seconds(5), ErrorKind::None},
                                         WaitCase{"LongBacklog", 400, 10, std::chrono::seconds(5), ErrorKind::QueueFull},
                                         WaitCase{"LongBacklogLongDeadline", 400, 10, std::chrono::seconds(60), ErrorKind::None},
                                         WaitCase{"TooMuchForTheDeadline", 0, 400, std::chrono::seconds(5), ErrorKind::QueueFull}),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(DispatchWait, RetryAfterIsSufficient)
{
    DispatchFixture fixture;
    fixture.addWorkers(1);
    for (int task = 0; task < 400; ++task) {
        fixture.submit(1, Small);
    }
    const auto job = fixture.makeJob(1, Small);
    const auto deadline = std::chrono::seconds(5);
    const auto refused = fixture.dispatcher.admit(fixture.now, job, deadline);
    ASSERT_EQ(refused.error, ErrorKind::QueueFull);
    const auto until = fixture.now + refused.retryAfter;
    for (; fixture.now < until; fixture.now += std::chrono::milliseconds(200)) {
        for (const auto &placement : fixture.dispatcher.place(fixture.now, 1)) {
            fixture.end(placement.task, PlacementEnd::Kind::Succeeded, std::chrono::milliseconds(200));
        }
    }
    EXPECT_EQ(fixture.dispatcher.admit(fixture.now, job, deadline).error, ErrorKind::None);
}

TEST(DispatchWait, RefusesTaskThatRunsLongerThanItsDeadline)
{
    DispatchFixture fixture;
    fixture.addWorkers(1);
    for (int round = 0; round < 30; ++round) {
        fixture.submit(1, Small);
        for (const auto &placement : fixture.dispatcher.place(fixture.now, 1)) {
            fixture.end(placement.task, PlacementEnd::Kind::Succeeded, std::chrono::seconds(3));
        }
    }
    const auto job = fixture.makeJob(1, Small);
    EXPECT_EQ(fixture.dispatcher.admit(fixture.now, job, std::chrono::seconds(1)).error, ErrorKind::DeadlineUnreachable);
    EXPECT_EQ(fixture.dispatcher.admit(fixture.now, job, std::chrono::seconds(10)).error, ErrorKind::None);
}

TEST(DispatchWait, ExpiredTaskIsNotStarted)
{
    DispatchFixture fixture;
    fixture.submit(1, Small);
    fixture.addWorkers(1);
    fixture.now += fixture.deadline;
    EXPECT_TRUE(fixture.dispatcher.place(fixture.now, 1).empty());
    EXPECT_EQ(fixture.dispatcher.expire(fixture.now).size(), 1U);
}

} // namespace Sycamoremoor
