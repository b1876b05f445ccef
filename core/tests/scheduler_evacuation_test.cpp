// What a scheduler does with jobs while zones are evacuated.
#include "evacuation_func.h"
#include "scheduler_driver.h"

#include <gtest/gtest.h>

#include <array>
#include <optional>
#include <string>

namespace Sycamoremoor
{

using std::chrono::milliseconds;

namespace
{

/** The guard of a worker reports. */
CapacityReported report(const char *agent, const char *zone, bool accepting = true, std::int64_t free = 32'000)
{
    CapacityReport report;
    report.incarnation = Incarnation(1);
    report.accepting = accepting;
    report.service = ServiceName("service");
    report.capacity = report.free = {MilliCores(32'000), Megabytes(1'000), Accelerators(0)};
    report.free.cores = MilliCores(free);
    return {AgentName(agent), ZoneName(zone), report};
}

/** What a scheduler with worker A of zone z learns, and where a job goes afterwards. */
struct PlaceCase {
    const char *name;
    void (*happen)(SchedulerDriver &scheduler);
    const char *worker; ///< null: the job is refused at once
};

constexpr std::array PlaceCases{
    PlaceCase{"NoEvacuation", [](SchedulerDriver &scheduler) { scheduler.feed(evacuations({}, 1)); }, "A"},
    PlaceCase{"AnotherZone", [](SchedulerDriver &scheduler) { scheduler.feed(evacuations({"y"}, 1)); }, "A"},
    PlaceCase{"AWorkerInAnotherZoneIsLeft",
              [](SchedulerDriver &scheduler) {
                  scheduler.feed(report("B", "y"));
                  scheduler.feed(evacuations({"z"}, 1));
              },
              "B"},
    PlaceCase{"TheGuardOfTheZoneReportsAfterwards",
              [](SchedulerDriver &scheduler) {
                  scheduler.feed(evacuations({"z"}, 1));
                  scheduler.feed(report("B", "y"));
                  scheduler.feed(report("A", "z"));
                  scheduler.feed(report("C", "z"));
              },
              "B"},
    PlaceCase{"NoWorkerIsLeft", [](SchedulerDriver &scheduler) { scheduler.feed(evacuations({"z"}, 1)); }, nullptr},
    PlaceCase{"NoWorkerIsLeftOfTheService",
              [](SchedulerDriver &scheduler) {
                  auto other = report("B", "y");
                  other.report.service = ServiceName("other");
                  scheduler.feed(other);
                  scheduler.feed(evacuations({"z"}, 1));
              },
              nullptr},
    PlaceCase{"EveryZoneIsEvacuated",
              [](SchedulerDriver &scheduler) {
                  scheduler.feed(report("B", "y"));
                  scheduler.feed(evacuations({"y", "z"}, 1));
              },
              nullptr},
    PlaceCase{"TheOtherZonesDoNotAccept",
              [](SchedulerDriver &scheduler) {
                  scheduler.feed(report("B", "y", false));
                  scheduler.feed(evacuations({"z"}, 1));
              },
              nullptr},
    PlaceCase{"TheEvacuationEnds",
              [](SchedulerDriver &scheduler) {
                  scheduler.feed(evacuations({"z"}, 1));
                  scheduler.feed(evacuations({}, 2));
              },
              "A"},
    PlaceCase{"OnlyTheGuardKnows", // the scheduler cannot reach the store
              [](SchedulerDriver &scheduler) {
                  scheduler.feed(report("A", "z", false));
                  scheduler.feed(report("B", "y"));
              },
              "B"},
};

} // namespace

class SchedulerEvacuationTest : public testing::TestWithParam<PlaceCase>
{
};

/** Guards against tasks that are sent to an evacuated zone, and against jobs that wait in vain where no other worker is left. */
TEST_P(SchedulerEvacuationTest, PlacesJobsInOtherZonesOnly)
{
    SchedulerDriver scheduler;
    GetParam().happen(scheduler);
    for (int job = 0; job < 8; ++job) {
        scheduler.feed(scheduler.submission("job-" + std::to_string(job)));
        const auto sent = scheduler.last<SendBatch>();
        const auto answered = scheduler.last<AnswerQueueJob>();
        ASSERT_EQ(sent.has_value(), GetParam().worker != nullptr);
        ASSERT_EQ(answered.has_value(), GetParam().worker == nullptr);
        if (sent) {
            EXPECT_EQ(sent->agent, AgentName(GetParam().worker));
        } else {
            EXPECT_EQ(answered->result, QueueJobResult::Refused);
            EXPECT_EQ(answered->error, ErrorKind::NoCapacity);
            EXPECT_GT(answered->retryAfter, Duration::zero());
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Workers, SchedulerEvacuationTest, testing::ValuesIn(PlaceCases), [](const auto &test) { return test.param.name; });

/** Guards against jobs that wait until their slack is over although no worker is left, and against the end of a job that runs. */
TEST(SchedulerEvacuationRulesTest, RefusesWaitingJobsAndFinishesStartedOnes)
{
    SchedulerDriver scheduler;
    const auto batch = scheduler.submit("runs");
    scheduler.feed(report("A", "z", true, 0));
    scheduler.feed(scheduler.submission("waits"));
    ASSERT_EQ(scheduler.count<AnswerQueueJob>(), 0U);

    scheduler.feed(evacuations({"z"}, 1));
    ASSERT_EQ(scheduler.count<AnswerQueueJob>(), 1U);
    EXPECT_EQ(scheduler.last<AnswerQueueJob>()->result, QueueJobResult::Refused);
    EXPECT_EQ(scheduler.last<AnswerQueueJob>()->connection, ConnectionId(2));
    EXPECT_EQ(scheduler.count<CancelBatch>() + scheduler.count<RecallBatch>(), 0U);

    scheduler.advance(SchedulerDriver::RunTime);
    RunReport done;
    done.outcome = RunOutcome::Done;
    done.runTime = SchedulerDriver::RunTime;
    scheduler.feed(RunReported{batch, done});
    ASSERT_EQ(scheduler.count<AnswerQueueJob>(), 1U);
    EXPECT_EQ(scheduler.last<AnswerQueueJob>()->result, QueueJobResult::Complete);
}

/** Guards against a task that its guard did not start and that is lost, or sent to the same zone again. */
TEST(SchedulerEvacuationRulesTest, PlacesWhatAGuardDidNotStartInAnotherZone)
{
    SchedulerDriver scheduler;
    const auto batch = scheduler.submit();
    scheduler.feed(report("A", "z", false));
    scheduler.feed(report("B", "y"));
    RunReport refused;
    refused.error = ErrorKind::Draining;
    scheduler.feed(RunReported{batch, refused});
    ASSERT_EQ(scheduler.count<SendBatch>(), 1U);
    EXPECT_EQ(scheduler.last<SendBatch>()->agent, AgentName("B"));
}

} // namespace Sycamoremoor
