// Compares every input and output of whole sessions of entries, in order, with golden files.
#include "entry_fleet.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <iterator>

namespace Sycamoremoor
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A session and its golden file. */
struct SessionCase {
    const char *name;
    std::size_t entries;
    std::function<void(EntryFleet &)> play;
};

void submitComplete(EntryFleet &fleet)
{
    fleet.run(seconds(2));
    fleet.submit("entry-1", fleet.newJob(3));
    fleet.run(milliseconds(10));
}

void resubmit(EntryFleet &fleet)
{
    fleet.run(seconds(3));
    for (auto &agent : fleet.agents) {
        agent.holds = true;
    }
    const auto job = fleet.newJob(2);
    fleet.submit("entry-2", job);
    fleet.run(milliseconds(10));
    fleet.submit("entry-1", job);
    fleet.run(milliseconds(10));
    for (std::size_t index = 0; index < fleet.agents.size(); ++index) {
        fleet.release(index);
    }
    fleet.run(milliseconds(10));
    fleet.submit("entry-2", job);
    fleet.run(milliseconds(10));
}

void ownerChange(EntryFleet &fleet)
{
    fleet.run(seconds(4));
    for (auto &agent : fleet.agents) {
        agent.holds = true;
    }
    fleet.submit("entry-2", fleet.newJob(2));
    fleet.run(milliseconds(10));
    fleet.kill("entry-1");
    fleet.run(seconds(10));
    for (std::size_t index = 0; index < fleet.agents.size(); ++index) {
        fleet.release(index);
    }
    fleet.run(milliseconds(10));
}

const std::array sessionCases{
    SessionCase{"entry_submit_complete", 1, submitComplete},
    SessionCase{"entry_resubmit", 2, resubmit},
    SessionCase{"entry_owner_change", 3, ownerChange},
};

} // namespace

class EntrySessionTest : public testing::TestWithParam<SessionCase>
{
};

TEST_P(EntrySessionTest, IsAsRecorded)
{
    const auto &row = GetParam();
    EntryFleet fleet(row.entries, 2);
    fleet.tracing = true;
    row.play(fleet);
    std::string session;
    for (const auto &line : fleet.trace) {
        session += line + "\n";
    }
    const auto path = std::string(SYCAMOREMOOR_GOLDEN_DIR) + "/" + row.name + ".txt";
    if (std::getenv("SYCAMOREMOOR_WRITE_GOLDEN") != nullptr) {
        std::ofstream(path) << session;
    }
    std::ifstream file(path);
    const std::string golden{std::istreambuf_iterator<char>(file), {}};
    EXPECT_EQ(session, golden);
}

INSTANTIATE_TEST_SUITE_P(Sessions, EntrySessionTest, testing::ValuesIn(sessionCases), [](const auto &row) {
    return std::string(row.param.name);
});

} // namespace Sycamoremoor
