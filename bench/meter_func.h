// Meters of this process: processor time and heap.
#pragma once

#include <functional>

namespace Sycamoremoor
{

/** Returns the processor time that @p work takes, in microseconds. */
double processorMicroseconds(const std::function<void()> &work);

/** Returns the heap in use now, in bytes. */
double heapBytes();

} // namespace Sycamoremoor
