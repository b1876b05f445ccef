// Why a scheduler did not answer a job in time.
#pragma once

#include <cstddef>
#include <string_view>

namespace Sycamoremoor
{

/** How a job ended, as its scheduler's log tells it. */
enum class JobFate {
    InTime,
    LateBegan,      ///< late: it waited for capacity first
    LateAgain,      ///< late: tasks were sent more than once
    LateRan,        ///< late: it began at once, and each task ran once
    RefusedArrival, ///< refused on arrival: the expected wait was longer than its slack
    RefusedBehind,  ///< refused: the scheduler itself was late
    RefusedHeld,    ///< refused after it had waited for capacity in vain
    RefusedStop,    ///< refused during a planned stop
    RefusedCrashes, ///< refused: its queue crashes upstreams, and those left to it are down
    RefusedWorkers, ///< refused while no worker was known that can hold it
    RefusedSize,    ///< refused: no worker can hold it
    Failed,         ///< a task failed as often as its queue allows
    GivenUp,        ///< a task crashes the upstreams that start it
    Lost,           ///< something of it ran, and it could not end in time any more
    CallerLeft,     ///< the caller disconnected
    End,
};

inline constexpr std::size_t JobFates = static_cast<std::size_t>(JobFate::End);

/** Returns what happened, for people. */
[[nodiscard]] std::string_view jobFateText(JobFate fate);

} // namespace Sycamoremoor
