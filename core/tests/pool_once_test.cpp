// That a task never runs on two workers at once, although schedulers and guards learn of the end of an exchange at different times,
// and that most jobs complete once the faults are over.
#include "pool_once_faults.h"

#include <gtest/gtest.h>

#include <array>
#include <string>

namespace Sycamoremoor
{

namespace
{

constexpr Duration ServedFrom = FaultTime + LongestFault + std::chrono::seconds(2); ///< nothing is left of any fault
constexpr Duration ServedUntil = ServedFrom + std::chrono::seconds(3);
constexpr std::array ServedQueues{"quick-afterwards", "heavy-afterwards"};

} // namespace

class PoolOnceTest : public testing::TestWithParam<OnceFault>
{
};

TEST_P(PoolOnceTest, HoldsInvariants)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        PoolSimulation simulation(onceSettingsOf(GetParam(), seed));
        addOnceFault(simulation, GetParam());
        simulation.addLoad(loadOf(ServedQueues[0], 8, std::chrono::milliseconds(60), 15), ServedFrom, ServedUntil);
        simulation.addLoad(loadOf(ServedQueues[1], 4, std::chrono::milliseconds(700), 6), ServedFrom, ServedUntil);
        simulation.runUntil(FaultTime + QuietTime);
        EXPECT_EQ(simulation.violations(), std::vector<std::string>()) << "seed " << seed;
        EXPECT_EQ(simulation.openCallerCount(), 0U) << "seed " << seed;
        for (std::uint32_t worker = 0; worker < Workers; ++worker) {
            EXPECT_EQ(simulation.runCount(worker), 0U) << "seed " << seed;
        }
        for (const auto *queue : ServedQueues) {
            const auto &counts = simulation.jobCounts(QueueName(queue));
            EXPECT_GT(2 * (counts.onTime + counts.late), counts.sent) << "seed " << seed << ", " << queue << ": failed " << counts.failed
                                                                      << ", refused " << counts.refused << ", lost " << counts.lost;
        }
        if (HasFailure()) {
            return;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Faults, PoolOnceTest, testing::ValuesIn(OnceFaults), [](const auto &test) { return test.param.name; });

} // namespace Sycamoremoor
