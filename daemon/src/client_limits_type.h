// What clients may make a process hold.
#pragma once

#include <sycamoremoor/platform/front_door.h>

#include <cstddef>

namespace Sycamoremoor
{

/** Limits on clients. The defaults suit the smallest machine of the deployments. */
struct ClientLimits {
    std::size_t memoryMegabytes = 120;                     ///< of the machine
    std::size_t descriptors = 3'075;                       ///< of the process
    std::size_t headBytes = MaxCallerHeaderBytes;          ///< of a caller's request
    std::size_t headFields = 4'096;                        ///< as many as 16 KiB, the platform's limit, hold at four bytes each
    std::size_t bodyBytes = std::size_t{1} << 20U;         ///< of a caller's request; four times the platform's limit
    std::size_t announcementBytes = std::size_t{4} << 20U; ///< the longest that an upstream sends
};

/** The addresses of the roles. */
enum class ListenerKind {
    Callers,
    SchedulerPages,
    Readiness,
    GuardPeers,
    Announcements,
    Entry,
    Agent,
    End,
};

} // namespace Sycamoremoor
