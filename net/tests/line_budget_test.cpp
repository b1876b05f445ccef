// The bound on log lines.
#include "../src/line_budget.h"

#include <gtest/gtest.h>

namespace Sycamoremoor
{

TEST(LineBudgetTest, BoundsEachSecondAndCountsTheRest)
{
    LineBudget budget(3);
    const MonotonicTime start{std::chrono::hours(1)};
    std::uint32_t written = 0;
    for (int line = 0; line < 10; ++line) {
        written += budget.take(start + std::chrono::milliseconds(line)) ? 1 : 0;
    }
    EXPECT_EQ(written, 3U);
    EXPECT_EQ(budget.takeLeftOut(), 0U) << "the second is not over";
    EXPECT_TRUE(budget.take(start + std::chrono::seconds(1)));
    EXPECT_EQ(budget.takeLeftOut(), 7U);
    EXPECT_EQ(budget.takeLeftOut(), 0U);
}

} // namespace Sycamoremoor
