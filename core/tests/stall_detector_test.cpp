// When an upstream counts as stalled, and how it gets work again.
#include "../src/guard/stall_detector.h"

#include <gtest/gtest.h>

#include <array>

namespace Sycamoremoor
{

using std::chrono::milliseconds;

namespace
{

constexpr MonotonicTime Start{std::chrono::hours(1)};

struct StallCase {
    const char *name;
    Duration sinceEnd; ///< time since a run ended
    std::size_t overdue;
    std::size_t all;
    bool isStall;
};

constexpr std::array StallCases{
    StallCase{"NothingRuns", milliseconds(5'000), 0, 0, false},
    StallCase{"AllRunsOverdue", milliseconds(300), 6, 6, true},
    StallCase{"RunsStillEnd", milliseconds(100), 6, 6, false},
    StallCase{"TwoTasksDeclaredTooShort", milliseconds(300), 2, 2, false},
    StallCase{"FewOfManyOverdue", milliseconds(300), 3, 10, false},
};

} // namespace

class StallTest : public testing::TestWithParam<StallCase>
{
};

TEST_P(StallTest, BeginsWhenSeveralRunsAreOverdueAndNoneEnds)
{
    StallDetector detector;
    detector.restart(Start);
    EXPECT_EQ(detector.update(Start + GetParam().sinceEnd, GetParam().overdue, GetParam().all), GetParam().isStall);
    EXPECT_EQ(detector.phase() == StallDetector::Phase::Stalled, GetParam().isStall);
}

INSTANTIATE_TEST_SUITE_P(Runs, StallTest, testing::ValuesIn(StallCases), [](const auto &test) { return test.param.name; });

TEST(StallDetectorTest, AfterAPauseOneOverdueRunShowsThatItStillStallsAndOneEndThatItDoesNot)
{
    StallDetector detector;
    detector.restart(Start);
    ASSERT_TRUE(detector.update(Start + milliseconds(300), 6, 6));
    auto trial = detector.nextUpdate();
    EXPECT_FALSE(detector.update(trial, 0, 0));
    EXPECT_EQ(detector.phase(), StallDetector::Phase::Trial);
    const auto firstPause = trial - (Start + milliseconds(300));
    EXPECT_TRUE(detector.update(trial + milliseconds(300), 1, 2));
    EXPECT_EQ(detector.nextUpdate() - (trial + milliseconds(300)), firstPause * 2) << "pauses grow";
    trial = detector.nextUpdate();
    EXPECT_FALSE(detector.update(trial, 0, 0));
    detector.runEnded(trial + milliseconds(60));
    EXPECT_EQ(detector.phase(), StallDetector::Phase::Normal);
}

} // namespace Sycamoremoor
