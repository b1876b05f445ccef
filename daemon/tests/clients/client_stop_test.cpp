// Planned stops beside clients outside the limits, who keep their connections.
#include "client_crowd.h"
#include "crowd_table.h"
#include "limited_process.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <iterator>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace Sycamoremoor
{

namespace
{

constexpr auto StopLimit = std::chrono::seconds(120); ///< beyond any planned stop on a busy machine

constexpr std::array StopCrowds{std::string_view("UnreadAnswers"),
                                std::string_view("RequestsAhead"),
                                std::string_view("UnfinishedBodies"),
                                std::string_view("HalfRequests")};
constexpr std::array StopDoors{Door::SchedulerCallers, Door::GuardListen, Door::EntryListen, Door::AgentListen};

struct StopCase {
    const CrowdKind *crowd;
    Door door;

    friend std::ostream &operator<<(std::ostream &out, const StopCase &shown)
    {
        return out << shown.crowd->name << " at " << rowOf(shown.door).name;
    }
};

std::vector<StopCase> stopCases()
{
    std::vector<StopCase> cases;
    for (const auto &crowd : crowds()) {
        if (std::ranges::find(StopCrowds, std::string_view(crowd.name)) != StopCrowds.end()) {
            std::ranges::transform(StopDoors, std::back_inserter(cases), [&crowd](Door door) { return StopCase{&crowd, door}; });
        }
    }
    return cases;
}

} // namespace

class ClientStopTest : public testing::TestWithParam<StopCase>
{
};

// Guards against a stop that waits for clients who never read their answers or never end their requests.
TEST_P(ClientStopTest, AProcessStopsBesideTheCrowd)
{
    const auto &[kind, door] = GetParam();
    LimitedProcess limited(door);
    ASSERT_TRUE(limited.hasStarted());
    ClientCrowd crowd(limited.endpoint(door), kind->connections);
    crowd.send(kind->bytes(door));
    ASSERT_TRUE(limited.process().isAlive());

    EXPECT_EQ(limited.process().stop(StopLimit), 0) << "exit status";
}

INSTANTIATE_TEST_SUITE_P(Crowds, ClientStopTest, testing::ValuesIn(stopCases()), [](const auto &test) {
    return std::string(test.param.crowd->name) + "At" + rowOf(test.param.door).name;
});

} // namespace Sycamoremoor
