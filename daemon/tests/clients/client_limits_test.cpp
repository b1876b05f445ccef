// Clients outside the limits against real processes: they live, their memory and descriptors are bounded, and others are answered.
#include "client_crowd.h"
#include "crowd_table.h"
#include "limited_process.h"
#include "memory_check.h"
#include "test_limits_type.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

namespace Sycamoremoor
{

namespace
{

constexpr std::size_t SmallestMachineBytes = 120'000'000;

struct CrowdCase {
    const CrowdKind *crowd;
    Door door;

    friend std::ostream &operator<<(std::ostream &out, const CrowdCase &shown)
    {
        return out << shown.crowd->name << " at " << rowOf(shown.door).name;
    }
};

std::vector<CrowdCase> allCases()
{
    std::vector<CrowdCase> cases;
    for (const auto &crowd : crowds()) {
        for (std::size_t door = 0; door < DoorCount; ++door) {
            cases.push_back({&crowd, static_cast<Door>(door)});
        }
    }
    return cases;
}

} // namespace

class ClientLimitsTest : public testing::TestWithParam<CrowdCase>
{
};

TEST_P(ClientLimitsTest, OthersAreServedBesideTheCrowd)
{
    const auto &[kind, door] = GetParam();
    LimitedProcess limited(door);
    auto &process = limited.process();
    ASSERT_TRUE(limited.hasStarted());
    const auto usualBytes = process.peakResidentBytes();
    const auto usualDescriptors = process.openDescriptors();

    ClientCrowd crowd(limited.endpoint(door), kind->connections);
    crowd.send(kind->bytes(door));
    ASSERT_TRUE(process.isAlive());
    const auto openDescriptors = process.openDescriptors();
    const auto unreadBytes = limited.unreadBytes();
    const auto doors = doorsBeside(door);
    for (const auto each : doors) {
        EXPECT_EQ(limited.ask(each), rowOf(each).answer) << "at " << rowOf(each).name << ", beside the crowd";
    }

    ASSERT_TRUE(process.isAlive());
    EXPECT_LE(openDescriptors, std::min(usualDescriptors + kind->connections + doors.size(), TestLimits::Descriptors * 7 / 8));
    const auto peakBytes = process.peakResidentBytes();
    RecordProperty("usualKilobytes", static_cast<int>(usualBytes >> 10U));
    RecordProperty("peakKilobytes", static_cast<int>(peakBytes >> 10U));
    RecordProperty("unreadKilobytes", static_cast<int>(unreadBytes >> 10U));
    std::cout << "resident: " << (usualBytes >> 10U) << " KB before, " << (peakBytes >> 10U)
              << " KB at most; unread: " << (unreadBytes >> 10U) << " KB; descriptors: " << usualDescriptors << " before, "
              << openDescriptors << " beside the crowd\n";
    if (ChecksMemory) {
        EXPECT_LE(peakBytes, usualBytes + kind->memoryBound);
        EXPECT_LE(peakBytes, SmallestMachineBytes);
        EXPECT_LE(peakBytes + unreadBytes, TestLimits::MemoryBytes);
    }
}

INSTANTIATE_TEST_SUITE_P(Crowds, ClientLimitsTest, testing::ValuesIn(allCases()), [](const auto &test) {
    return std::string(test.param.crowd->name) + "At" + rowOf(test.param.door).name;
});

} // namespace Sycamoremoor
