// Clocks, random numbers and times as text.
#pragma once

#include <sycamoremoor/core/submission_key.h>
#include <sycamoremoor/core/time_type.h>

#include <cstdint>
#include <string>

namespace Sycamoremoor
{

WallTime wallClockNow();
MonotonicTime monotonicClockNow();

/** Returns 64 random bits of the system. */
std::uint64_t randomBits();

/** Makes a key for a submission made now. */
SubmissionKey newSubmissionKey();

/** Returns a time as "2026-06-01T08:00:00.123Z", or "-" for the epoch. */
std::string timeToText(WallTime time);

} // namespace Sycamoremoor
