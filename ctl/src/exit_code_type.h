// Exit codes of sycamorectl by kind of failure.
#pragma once

#include <sycamoremoor/core/error_type.h>

namespace Sycamoremoor
{

/** What the shell is told. Documented in the help. */
enum class ExitCode {
    Done = 0,
    Fault = 1,         ///< a fault of this program
    Usage = 2,         ///< flags, settings or files are wrong; nothing was sent
    Unreachable = 3,   ///< nobody answered
    Refused = 4,       ///< refused; provably nothing ran and nothing changed
    Failed = 5,        ///< the job ran, or may have run, and failed
    Conflict = 6,      ///< another change or body came first
    NotFound = 7,      ///< no such submission or revision
    PromiseBroken = 8, ///< the account shows a broken promise
    Incomplete = 9,    ///< some process did not answer, so the answer has a gap
    Unknown = 10,      ///< it may have taken effect; ask again
};

/** Returns the exit code for a failure that an entry told. @param ran what it says of the work */
ExitCode exitCodeOf(ErrorKind kind, RunState ran);

} // namespace Sycamoremoor
