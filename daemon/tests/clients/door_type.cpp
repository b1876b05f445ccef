// Addresses of the processes under test at which clients arrive.
#include "door_type.h"

#include "test_limits_type.h"

#include <algorithm>
#include <string_view>

namespace Sycamoremoor
{

namespace
{

constexpr const char *HealthRequest = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr const char *Ok = "HTTP/1.1 200 OK";

constexpr std::array<DoorRow, DoorCount> Rows{{
    {"SchedulerCallers",
     "scheduler",
     "--callers",
     "GET /p/ HTTP/1.1\r\nHost: a.example\r\n\r\n",
     Ok,
     "POST /p/0123456789abcdef",
     TestLimits::BodyBytes},
    {"SchedulerListen", "scheduler", "--listen", HealthRequest, Ok, "POST /healthz", TestLimits::BodyBytes},
    {"SchedulerReadiness",
     "scheduler",
     "--readiness",
     "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
     "HTTP/1.1 503 Service Unavailable",
     "POST /",
     TestLimits::BodyBytes},
    {"GuardListen", "guard", "--listen", HealthRequest, Ok, "POST /internal/v1/start-batch", TestLimits::AnnouncementBytes},
    {"GuardAnnouncements",
     "guard",
     "--announcements",
     "DELETE /sycamoremoor/instances/none HTTP/1.1\r\nHost: a\r\n\r\n",
     Ok,
     "PUT /sycamoremoor/instances/one",
     TestLimits::AnnouncementBytes},
    {"EntryListen", "entry", "--listen", HealthRequest, Ok, "POST /v1/jobs", TestLimits::AnnouncementBytes},
    {"AgentListen", "agent", "--listen", HealthRequest, Ok, "POST /internal/v1/start-tasks", TestLimits::AnnouncementBytes},
}};

constexpr std::array Doors{
    Door::SchedulerCallers,
    Door::SchedulerListen,
    Door::SchedulerReadiness,
    Door::GuardListen,
    Door::GuardAnnouncements,
    Door::EntryListen,
    Door::AgentListen,
};
static_assert(Doors.size() == DoorCount);

} // namespace

const DoorRow &rowOf(Door door)
{
    return Rows.at(static_cast<std::size_t>(door));
}

std::span<const Door> doorsBeside(Door door)
{
    const std::string_view role = rowOf(door).role;
    const auto isBeside = [role](Door other) {
        return rowOf(other).role == role;
    };
    const auto first = std::ranges::find_if(Doors, isBeside);
    return {first, std::find_if_not(first, Doors.end(), isBeside)};
}

} // namespace Sycamoremoor
