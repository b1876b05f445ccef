// Addresses of the processes under test at which clients arrive.
#pragma once

#include <array>
#include <cstddef>
#include <span>

namespace Sycamoremoor
{

/** An address of one process; those of one process stand together. */
enum class Door {
    SchedulerCallers,
    SchedulerListen,
    SchedulerReadiness,
    GuardListen,
    GuardAnnouncements,
    EntryListen,
    AgentListen,
    End,
};

inline constexpr std::size_t DoorCount = static_cast<std::size_t>(Door::End);

/** What is known of an address. */
struct DoorRow {
    const char *name;
    const char *role; ///< of its process
    const char *flag; ///< that sets it
    const char *ordinaryRequest;
    const char *answer;      ///< to that, its first line
    const char *bodyRequest; ///< method and path of a request whose body is decoded, where there is one
    std::size_t bodyBytes;   ///< longest body of that
};

const DoorRow &rowOf(Door door);

/** Returns the addresses of the process that has @p door. */
std::span<const Door> doorsBeside(Door door);

} // namespace Sycamoremoor
