// What a guard measures of the speed of its upstream.
#include "../src/guard/upstream_speed.h"

#include <gtest/gtest.h>

#include <array>
#include <cmath>
#include <random>

namespace Sycamoremoor
{

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr MonotonicTime Start{std::chrono::hours(1)};
constexpr Duration Reference = milliseconds(100);
constexpr int RunsPerSecond = 40;
constexpr std::uint64_t Seeds = 20;
constexpr double Thousand = 1'000;

/** Feeds a measure with runs whose times spread around a ratio. */
class SpeedSource
{
public:
    SpeedSource(std::uint64_t seed, double spread, double stragglers)
        : m_random(seed)
        , m_logarithm(0, spread)
        , m_stragglers(stragglers)
    {
    }

    /** Lets runs end. @param ratio of their median to the reference */
    void run(UpstreamSpeed &speed, double ratio, int runs)
    {
        for (int index = 0; index < runs; ++index) {
            constexpr double StragglerFactor = 7;
            m_now += Duration(seconds(1)) / RunsPerSecond;
            const auto factor = std::bernoulli_distribution(m_stragglers)(m_random) ? StragglerFactor : 1;
            const auto time = static_cast<double>(Reference.count()) * ratio * factor * std::exp(m_logarithm(m_random));
            speed.runEnded(m_now, Duration(static_cast<std::int64_t>(time)), Reference);
        }
    }

private:
    std::mt19937_64 m_random;
    std::normal_distribution<double> m_logarithm;
    double m_stragglers;
    MonotonicTime m_now = Start;
};

double measured(const UpstreamSpeed &speed)
{
    return static_cast<double>(speed.ratio().value()) / Thousand;
}

struct SpeedCase {
    const char *name;
    double before; ///< ratio of the first ten seconds
    double after;  ///< ratio of the following three seconds
    double spread; ///< standard deviation of the logarithms of the run times
    double stragglers;
};

constexpr std::array SpeedCases{
    SpeedCase{"Equal", 1, 1, 0.4, 0},
    SpeedCase{"EqualWithStragglers", 1, 1, 0.4, 0.03},
    SpeedCase{"Slow", 2.18, 2.18, 0.4, 0.03},
    SpeedCase{"Fast", 0.6, 0.6, 0.4, 0.03},
    SpeedCase{"ExpectedTooLong", 0.3, 0.3, 0.4, 0.03},
    SpeedCase{"BecomesSlow", 1, 2.18, 0.4, 0.03},
    SpeedCase{"BecomesUsual", 2.18, 1, 0.4, 0.03},
    SpeedCase{"BecomesTenTimesAsSlow", 1, 10, 0.4, 0.03},
    SpeedCase{"WithoutSpread", 1, 1.5, 0, 0},
};

} // namespace

class SpeedTest : public testing::TestWithParam<SpeedCase>
{
};

// Guards against stragglers and noise that look like a slow worker, and against changes that are learned too late. The bound is the
// difference that matters, 15 %.
TEST_P(SpeedTest, IsMeasuredWithinThreeSecondsOfAChange)
{
    constexpr double Bound = 1.15;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        UpstreamSpeed speed;
        SpeedSource source(seed, GetParam().spread, GetParam().stragglers);
        source.run(speed, GetParam().before, 10 * RunsPerSecond);
        EXPECT_LT(std::abs(std::log(measured(speed) / GetParam().before)), std::log(Bound)) << "seed " << seed;
        source.run(speed, GetParam().after, 3 * RunsPerSecond);
        EXPECT_LT(std::abs(std::log(measured(speed) / GetParam().after)), std::log(Bound)) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Cases, SpeedTest, testing::ValuesIn(SpeedCases), [](const auto &test) { return test.param.name; });

// Guards against a ratio from a handful of runs, which would exclude a worker by chance.
TEST(UpstreamSpeedTest, FewRunsReportNothingAndMoreOfThemLessError)
{
    UpstreamSpeed speed;
    SpeedSource source(1, 0.4, 0.03);
    source.run(speed, 1, 23);
    EXPECT_EQ(speed.ratio(), RunTimeRatio(0));
    EXPECT_EQ(speed.error(), RunTimeRatio(0));
    source.run(speed, 1, 17);
    const auto first = speed.error();
    EXPECT_GT(speed.ratio(), RunTimeRatio(0));
    EXPECT_GT(first, RunTimeRatio(0));
    source.run(speed, 1, 400);
    EXPECT_LT(speed.error(), first);
}

// Guards against a capacity report for each run that ends: every report costs each scheduler processor time.
TEST(UpstreamSpeedTest, ChangesSeldomWhileTheSpeedIsConstant)
{
    constexpr int LongRuns = 60 * RunsPerSecond;
    constexpr int MaxChangesPerSecond = 2;
    UpstreamSpeed speed;
    SpeedSource source(1, 0.4, 0.03);
    int changes = 0;
    for (int run = 0; run < LongRuns; ++run) {
        const auto before = std::pair(speed.ratio(), speed.error());
        source.run(speed, 1, 1);
        changes += std::pair(speed.ratio(), speed.error()) == before ? 0 : 1;
    }
    EXPECT_LE(changes, 60 * MaxChangesPerSecond);
}

} // namespace Sycamoremoor
