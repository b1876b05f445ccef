// Estimates of run times whose declarations are far off.
#include "../src/dispatch/run_time_estimator.h"

#include <gtest/gtest.h>

namespace Sycamoremoor
{

namespace
{

const ServiceName testService("reclaim-desk");
const TaskKind testKind("assess");
constexpr std::size_t MaxKinds = 2'000;

struct EstimateCase {
    const char *name;
    int samples;
    Duration declared;
    Duration observed;
    Duration lowerBound;
    Duration upperBound;
};

constexpr Duration ms(std::int64_t count)
{
    return std::chrono::milliseconds(count);
}

} // namespace

class RunTimeEstimatorTest : public testing::TestWithParam<EstimateCase>
{
};

TEST_P(RunTimeEstimatorTest, MovesFromDeclaredToObservedRunTime)
{
    const auto &row = GetParam();
    RunTimeEstimator estimator;
    for (int sample = 0; sample < row.samples; ++sample) {
        estimator.learn(testService, testKind, row.declared, row.observed);
    }
    const auto expected = estimator.expected(testService, testKind, row.declared);
    EXPECT_GE(expected, row.lowerBound);
    EXPECT_LE(expected, row.upperBound);
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         RunTimeEstimatorTest,
                         testing::Values(EstimateCase{"Unknown", 0, ms(500), ms(0), ms(500), ms(500)},
                                         EstimateCase{"FirstSample", 1, ms(500), ms(50), ms(200), ms(400)},
                                         EstimateCase{"DeclaredTooLong", 200, ms(5'000), ms(50), ms(45), ms(60)},
                                         EstimateCase{"DeclaredTooShort", 200, ms(5), ms(800), ms(700), ms(900)},
                                         EstimateCase{"NothingDeclared", 50, ms(0), ms(300), ms(290), ms(310)}),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(RunTimeEstimator, UsesTheDeclarationWhereItPredictsBetter)
{
    RunTimeEstimator estimator;
    for (int sample = 0; sample < 100; ++sample) {
        estimator.learn(testService, testKind, ms(100), ms(200));
        estimator.learn(testService, testKind, ms(1'000), ms(2'000));
    }
    EXPECT_LT(estimator.expected(testService, testKind, ms(100)), ms(300));
    EXPECT_GT(estimator.expected(testService, testKind, ms(1'000)), ms(1'500));
}

TEST(RunTimeEstimator, DropsTheLeastRecentlyUsedKind)
{
    RunTimeEstimator estimator;
    for (std::size_t kind = 0; kind < 2 * MaxKinds; ++kind) {
        estimator.learn(testService, TaskKind(std::to_string(kind)), ms(100), ms(200));
    }
    EXPECT_EQ(estimator.size(), MaxKinds);
    EXPECT_EQ(estimator.expected(testService, TaskKind("0"), ms(7)), ms(7));
}

TEST(RunTimeEstimator, LowerBoundNeedsEnoughSamples)
{
    RunTimeEstimator estimator;
    estimator.learn(testService, testKind, ms(100), ms(200));
    EXPECT_EQ(estimator.lowerBound(testService, testKind, ms(100)), Duration::zero());
    for (int sample = 0; sample < 100; ++sample) {
        estimator.learn(testService, testKind, ms(100), ms(200));
    }
    EXPECT_GT(estimator.lowerBound(testService, testKind, ms(100)), ms(150));
    EXPECT_LE(estimator.lowerBound(testService, testKind, ms(100)), ms(200));
}

} // namespace Sycamoremoor
