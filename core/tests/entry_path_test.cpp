// The plain path of entries: first entry, joining, forwarding, whole answers.
#include "entry_fleet.h"

#include <gtest/gtest.h>

namespace Sycamoremoor
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/** How many entries there are, where the job enters, and how large it is. */
struct PathCase {
    const char *name;
    std::size_t entries;
    std::size_t agents;
    const char *entry;
    std::size_t tasks;
};

constexpr std::array PathCases{
    PathCase{"Alone", 1, 1, "entry-1", 1},
    PathCase{"AloneManyTasks", 1, 11, "entry-1", 60},
    PathCase{"AtTheOwner", 3, 11, "entry-1", 5},
    PathCase{"Forwarded", 3, 11, "entry-3", 100},
};

} // namespace

class EntryPathTest : public testing::TestWithParam<PathCase>
{
};

TEST_P(EntryPathTest, AnswersWhole)
{
    const auto &row = GetParam();
    EntryFleet fleet(row.entries, row.agents);
    fleet.run(seconds(5));
    ASSERT_NE(fleet.platform.roster, nullptr);
    EXPECT_EQ(fleet.platform.roster->members.size(), row.entries);
    EXPECT_EQ(fleet.ownerName(), "entry-1");
    const auto job = fleet.newJob(row.tasks);
    const auto caller = fleet.submit(row.entry, job);
    fleet.run(milliseconds(1));
    const auto answer = fleet.answerTo(caller);
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(answer->error, ErrorKind::None);
    EXPECT_EQ(answer->ran, RunState::Ran);
    ASSERT_EQ(answer->results.size(), row.tasks);
    for (std::size_t index = 0; index < row.tasks; ++index) {
        EXPECT_EQ(answer->results[index], "result " + std::to_string(index) + " of " + job->key.toString());
    }
    EXPECT_EQ(fleet.startsOf(job->key), row.tasks);
    EXPECT_EQ(fleet.mostStarts(), 1U);
    EXPECT_LE(fleet.startMessages, row.tasks);
}

INSTANTIATE_TEST_SUITE_P(Paths, EntryPathTest, testing::ValuesIn(PathCases), [](const auto &row) { return std::string(row.param.name); });

} // namespace Sycamoremoor
