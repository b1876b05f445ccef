// Which runs count for the speed that a guard reports of its upstream.
#include "guard_driver.h"

#include <gtest/gtest.h>

#include <array>

namespace Sycamoremoor
{

using std::chrono::milliseconds;

namespace
{

constexpr Duration Reference = milliseconds(100);
constexpr std::uint32_t Batches = 30; ///< more than are needed for a report

struct MeasureCase {
    const char *name;
    Duration reference;
    RunOutcome outcome;
    std::uint32_t runs; ///< of a batch
    std::uint32_t batches;
    std::int64_t ratio; ///< that is reported at the end
};

constexpr std::array MeasureCases{
    MeasureCase{"Done", Reference, RunOutcome::Done, 1, Batches, 2'000},
    MeasureCase{"Failed", Reference, RunOutcome::Failed, 1, Batches, 0},
    MeasureCase{"WithoutReference", Duration::zero(), RunOutcome::Done, 1, Batches, 0},
    MeasureCase{"FewBatchesOfManyRuns", Reference, RunOutcome::Done, 8, 10, 0},
};

} // namespace

class GuardSpeedTest : public testing::TestWithParam<MeasureCase>
{
};

// Guards against a measure of runs that say nothing about the speed, and of the runs of one job as if they were many.
TEST_P(GuardSpeedTest, OneRunOfABatchThatEndedAsDoneCounts)
{
    GuardDriver guard;
    std::uint32_t number = 0;
    std::uint64_t end = 0;
    RunTimeRatio reported;
    for (std::uint32_t batch = 1; batch <= GetParam().batches; ++batch) {
        std::vector<RunId> runs;
        runs.reserve(GetParam().runs);
        for (std::uint32_t run = 0; run < GetParam().runs; ++run) {
            runs.push_back(GuardDriver::run(++number));
        }
        guard.order(batch, runs, GetParam().reference);
        for (const auto &run : runs) {
            guard.feed(RunStartAnswered{run, StartAnswer::Started});
        }
        guard.advance(Reference * 2);
        std::vector<EndedRun> ended;
        ended.reserve(runs.size());
        for (const auto &run : runs) {
            ended.push_back({++end, run, GetParam().outcome});
        }
        guard.answerRenewal({}, ended);
        for (const auto &changed : guard.all<CapacityChanged>()) {
            reported = changed.report.runTimeRatio;
        }
    }
    EXPECT_EQ(reported, RunTimeRatio(GetParam().ratio));
}

INSTANTIATE_TEST_SUITE_P(Runs, GuardSpeedTest, testing::ValuesIn(MeasureCases), [](const auto &test) { return test.param.name; });

} // namespace Sycamoremoor
