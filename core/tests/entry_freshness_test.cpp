// Keys made around a change of owner: which may be taken as new, and which must be proven first.
#include "entry_fleet.h"

#include <gtest/gtest.h>

namespace Sycamoremoor
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/** When a key was made, counted from the moment at which the new owner began to act. */
struct FreshnessCase {
    const char *name;
    Duration madeAfter;
    bool taken; ///< as new, without a word from the agents
};

// The bound is twice the clock skew, 2 s: a former owner took keys up to one skew ahead of its clock, and the two
// owners' clocks differ by up to one more.
constexpr std::array FreshnessCases{
    FreshnessCase{"LongBefore", seconds(-3), false},
    FreshnessCase{"JustBefore", milliseconds(-1), false},
    FreshnessCase{"WithinTheSkew", milliseconds(3'900), false},
    FreshnessCase{"Beyond", milliseconds(4'001), true},
};

} // namespace

class EntryFreshnessTest : public testing::TestWithParam<FreshnessCase>
{
};

TEST_P(EntryFreshnessTest, CountsFromExclusivity)
{
    const auto &row = GetParam();
    EntryFleet fleet(3, 4);
    fleet.run(seconds(5));
    const auto former = fleet.ownerName();
    for (auto &agent : fleet.agents) {
        agent.reportsLedgers = false;
    }
    const auto epoch = fleet.platform.roster->epoch;
    fleet.kill(former);
    ASSERT_TRUE(fleet.runUntil([&] { return fleet.platform.roster->epoch > epoch; }, seconds(10)));
    const auto heir = fleet.ownerName();

    // A key of the next hour tells when the new owner begins to act: it refuses it, where before it held it.
    const auto probe = SubmissionKey::create(fleet.wall + std::chrono::hours(1), 1, 1);
    auto probeJob = std::make_shared<JobSpec>(*fleet.newJob(1));
    probeJob->key = probe;
    const auto probing = fleet.submit(heir, probeJob);
    ASSERT_TRUE(fleet.runUntil([&] { return fleet.answerTo(probing) != nullptr; }, seconds(20)));
    ASSERT_EQ(fleet.answerTo(probing)->error, ErrorKind::KeyFromFuture);
    const auto exclusive = fleet.wall;

    fleet.run(seconds(3)); // so that no key below is from the future
    auto job = std::make_shared<JobSpec>(*fleet.newJob(1));
    job->key = SubmissionKey::create(exclusive + row.madeAfter, 7, 7);
    fleet.submit(heir, job);
    fleet.run(milliseconds(100));
    EXPECT_EQ(fleet.startsOf(job->key), row.taken ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(Keys, EntryFreshnessTest, testing::ValuesIn(FreshnessCases), [](const auto &row) {
    return std::string(row.param.name);
});

} // namespace Sycamoremoor
