// What a scheduler does with the speed of workers that their guards report.
#include "scheduler_driver.h"

#include <gtest/gtest.h>

#include <array>
#include <string>

namespace Sycamoremoor
{

using std::chrono::milliseconds;

namespace
{

constexpr int Jobs = 30; ///< half of them are enough for a reference, and all fit a worker of which no report counts them
constexpr auto RunTime = static_cast<double>(SchedulerDriver::RunTime.count());
constexpr double Tolerance = 1'000; ///< in microseconds: estimates are rounded

/** A worker of 32 cores reports. @param ratio measured run time by expected one, in thousandths */
void report(SchedulerDriver &scheduler, const std::string &worker, std::int64_t ratio, std::int64_t freeCores)
{
    CapacityReport report;
    report.incarnation = Incarnation(1);
    report.accepting = true;
    report.service = ServiceName("service");
    report.capacity = report.free = {MilliCores(32'000), Megabytes(1'000), Accelerators(0)};
    report.free.cores = MilliCores(freeCores);
    report.runTimeRatio = RunTimeRatio(ratio);
    report.ratioError = RunTimeRatio(30);
    scheduler.feed(CapacityReported{AgentName(worker), ZoneName("z"), report});
}

/** Only a worker that takes twice as long as the two others has free capacity. */
void reportSlowWorkerFree(SchedulerDriver &scheduler)
{
    report(scheduler, "A", 1'000, 0);
    report(scheduler, "C", 1'000, 0);
    report(scheduler, "B", 2'000, 32'000);
}

/** Submits a job of one task, which is sent and takes some time. */
void run(SchedulerDriver &scheduler, const QueueJobSubmitted &submission, Duration runTime)
{
    scheduler.feed(submission);
    const auto sent = scheduler.last<SendBatch>();
    ASSERT_TRUE(sent);
    RunReport report;
    report.outcome = RunOutcome::Done;
    report.runTime = runTime;
    scheduler.feed(RunReported{sent->batch.batch, report});
}

QueueJobSubmitted farFromData(QueueJobSubmitted submission)
{
    auto spec = std::make_shared<QueueJobSpec>(*submission.spec);
    spec->steps.front().dataRack = "rack-of-no-worker";
    submission.spec = spec;
    return submission;
}

std::size_t speedLines(const SchedulerDriver &scheduler)
{
    return scheduler.countLines("A worker is slower than the usual one of its service.");
}

} // namespace

// Guards against run limits and stalls that take the runs of a slow worker for hung ones.
TEST(SchedulerSpeedTest, OrdersStateTheRunTimeOnTheirWorker)
{
    SchedulerDriver scheduler;
    reportSlowWorkerFree(scheduler);
    scheduler.submit();
    const auto sent = scheduler.last<SendBatch>();
    ASSERT_TRUE(sent);
    EXPECT_EQ(sent->agent, AgentName("B"));
    const auto &order = sent->batch.orders.front();
    EXPECT_EQ(order.expected, SchedulerDriver::RunTime * 2);
    EXPECT_EQ(order.runLimit, SchedulerDriver::RunTime * 2 * 4 + milliseconds(200));
    EXPECT_EQ(order.reference, Duration::zero()) << "no run has been observed";
}

// Guards against expected run times that depend on the workers that a queue happened to run on.
TEST(SchedulerSpeedTest, ExpectedRunTimesAreThoseOnTheUsualWorker)
{
    SchedulerDriver scheduler;
    reportSlowWorkerFree(scheduler);
    for (int job = 0; job < Jobs; ++job) {
        run(scheduler, scheduler.submission("job-" + std::to_string(job)), SchedulerDriver::RunTime * 2);
    }
    scheduler.submit("last");
    const auto order = scheduler.last<SendBatch>()->batch.orders.front();
    EXPECT_NEAR(static_cast<double>(order.reference.count()), RunTime, Tolerance);
    EXPECT_NEAR(static_cast<double>(order.expected.count()), RunTime * 2, Tolerance * 2);
}

// Guards against a measure that takes the distance from a job's data for the speed of a worker.
TEST(SchedulerSpeedTest, RunsFarFromTheirDataTellNothing)
{
    SchedulerDriver scheduler;
    for (int job = 0; job < Jobs / 2; ++job) {
        run(scheduler, scheduler.submission("near-" + std::to_string(job)), SchedulerDriver::RunTime);
        run(scheduler, farFromData(scheduler.submission("far-" + std::to_string(job))), SchedulerDriver::RunTime * 3 / 2);
    }
    scheduler.feed(farFromData(scheduler.submission("far")));
    ASSERT_TRUE(scheduler.last<SendBatch>());
    EXPECT_EQ(scheduler.last<SendBatch>()->batch.orders.front().reference, Duration::zero());
    scheduler.submit("near");
    const auto reference = scheduler.last<SendBatch>()->batch.orders.front().reference;
    EXPECT_NEAR(static_cast<double>(reference.count()), RunTime, Tolerance);
}

// Guards against an operator who cannot see why a worker gets less work, and against a line for each report.
TEST(SchedulerSpeedTest, ASlowWorkerIsLoggedOnce)
{
    SchedulerDriver scheduler;
    reportSlowWorkerFree(scheduler);
    EXPECT_EQ(speedLines(scheduler), 1U);
    EXPECT_EQ(scheduler.counted(CounterMetric::WorkersFoundSlow), 1U);
    report(scheduler, "B", 2'100, 32'000);
    EXPECT_EQ(speedLines(scheduler), 0U);
    scheduler.advance(milliseconds(11'000));
    report(scheduler, "B", 1'000, 32'000);
    EXPECT_EQ(scheduler.countLines("A worker is no longer slower than the usual one."), 1U);
}

} // namespace Sycamoremoor
