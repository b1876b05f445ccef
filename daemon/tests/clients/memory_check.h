// Whether resident memory tells what a process holds.
#pragma once

namespace Sycamoremoor
{

#if defined(__SANITIZE_ADDRESS__)
inline constexpr bool ChecksMemory = false; // freed memory is quarantined, so that resident memory tells nothing of what is held
#else
inline constexpr bool ChecksMemory = true;
#endif

} // namespace Sycamoremoor
