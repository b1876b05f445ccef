// That a task never runs on two workers at once, although schedulers and guards learn of the end of an exchange at different times.
#include "pool_once_faults.h"

#include <gtest/gtest.h>

#include <string>

namespace Sycamoremoor
{

class PoolOnceTest : public testing::TestWithParam<OnceFault>
{
};

TEST_P(PoolOnceTest, HoldsInvariants)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        PoolSimulation simulation(onceSettingsOf(GetParam(), seed));
        addOnceFault(simulation, GetParam());
        simulation.runUntil(FaultTime + QuietTime);
        EXPECT_EQ(simulation.violations(), std::vector<std::string>()) << "seed " << seed;
        EXPECT_EQ(simulation.openCallerCount(), 0U) << "seed " << seed;
        for (std::uint32_t worker = 0; worker < Workers; ++worker) {
            EXPECT_EQ(simulation.runCount(worker), 0U) << "seed " << seed;
        }
        if (HasFailure()) {
            return;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Faults, PoolOnceTest, testing::ValuesIn(OnceFaults), [](const auto &test) { return test.param.name; });

} // namespace Sycamoremoor
