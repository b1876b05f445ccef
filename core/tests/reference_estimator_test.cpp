// The run times by which guards measure the speed of their upstreams.
#include "../src/scheduler/reference_estimator.h"

#include <gtest/gtest.h>

#include <array>
#include <cmath>
#include <random>
#include <string>

namespace Sycamoremoor
{

using std::chrono::milliseconds;

namespace
{

constexpr Duration Median = milliseconds(200);
constexpr int Jobs = 2'000;
constexpr std::uint64_t Seeds = 10;

/** Deviations of the logarithms of a queue's run times and of the errors of its declarations. */
struct ReferenceCase {
    const char *name;
    double runTimes;
    double errors;
};

constexpr std::array ReferenceCases{
    ReferenceCase{"ExactDeclarations", 0.4, 0},
    ReferenceCase{"DeclarationsThatAreOff", 0.4, 0.4},
    ReferenceCase{"DeclarationsThatSayNothing", 0, 0.4},
    ReferenceCase{"AllAlike", 0, 0},
};

Duration timesExp(Duration duration, double logarithm)
{
    return Duration(std::llround(static_cast<double>(duration.count()) * std::exp(logarithm)));
}

} // namespace

class ReferenceTest : public testing::TestWithParam<ReferenceCase>
{
};

// Guards against slow workers that look ever slower: tasks that are declared too short are the ones that go there. The bound is a third
// of the difference in speed that matters, 15 %, for the mean of the shorter half of the declarations.
TEST_P(ReferenceTest, HasNoBiasForTasksThatAreDeclaredShort)
{
    constexpr double MaxBias = 0.05;
    double sum = 0;
    int shorter = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        std::mt19937_64 random(seed);
        std::normal_distribution<double> normal;
        ReferenceEstimator estimator;
        const QueueName queue("queue");
        for (int job = 0; job < Jobs; ++job) {
            const auto runTime = timesExp(Median, normal(random) * GetParam().runTimes);
            const auto declared = timesExp(runTime, normal(random) * GetParam().errors);
            if (const auto reference = estimator.reference(queue, declared); reference > Duration::zero() && declared <= Median) {
                sum += std::log(static_cast<double>(runTime.count()) / static_cast<double>(reference.count()));
                ++shorter;
            }
            estimator.learn(queue, declared, runTime);
        }
    }
    ASSERT_GT(shorter, Jobs);
    EXPECT_LT(std::abs(sum / shorter), MaxBias);
}

INSTANTIATE_TEST_SUITE_P(Queues, ReferenceTest, testing::ValuesIn(ReferenceCases), [](const auto &test) { return test.param.name; });

// Guards against a measure by the first few jobs, whose run times say little about the next ones.
TEST(ReferenceEstimatorTest, FewJobsGiveNoReference)
{
    constexpr int MinJobs = 12;
    ReferenceEstimator estimator;
    const QueueName queue("queue");
    for (int job = 0; job < MinJobs; ++job) {
        EXPECT_EQ(estimator.reference(queue, Median), Duration::zero());
        estimator.learn(queue, Median, Median * 2);
    }
    EXPECT_NEAR(static_cast<double>(estimator.reference(queue, Median).count()), static_cast<double>((Median * 2).count()), 2);
    EXPECT_EQ(estimator.reference(QueueName("other"), Median), Duration::zero());
}

} // namespace Sycamoremoor
