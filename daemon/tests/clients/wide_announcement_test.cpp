// An announcement within the limits that is wide where a guard does not read it.
#include "client_crowd.h"
#include "crowd_table.h"
#include "limited_process.h"
#include "memory_check.h"
#include "test_limits_type.h"

#include <gtest/gtest.h>

#include <string>

namespace Sycamoremoor
{

// Guards against a bound on memory that refuses what an upstream may send.
TEST(WideAnnouncementTest, UnknownMembersTakeNoMemory)
{
    constexpr auto Address = Door::GuardAnnouncements;
    LimitedProcess limited(Address);
    ASSERT_TRUE(limited.hasStarted());
    const std::string known
        = R"("service":"s","address":"127.0.0.1:9","zone":"z","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,)"
          R"("capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a"],"clockMs":1,"sequence":1)";
    const std::string unknown = R"({"unknown":)" + wideJson(TestLimits::AnnouncementBytes - known.size() - 32) + ",";

    EXPECT_EQ(askOnce(limited.endpoint(Address), requestWithBody(Address, unknown + known + "}")), "HTTP/1.1 200 OK");

    ASSERT_TRUE(limited.process().isAlive());
    if (ChecksMemory) {
        EXPECT_LE(limited.process().peakResidentBytes(), TestLimits::MemoryBytes);
    }
}

} // namespace Sycamoremoor
