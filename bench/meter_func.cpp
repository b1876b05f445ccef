// Meters of this process: processor time and heap.
#include "meter_func.h"

#include <malloc.h>

#include <ctime>

namespace Sycamoremoor
{

namespace
{

double processorNow()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

} // namespace

double processorMicroseconds(const std::function<void()> &work)
{
    const auto before = processorNow();
    work();
    return processorNow() - before;
}

double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

} // namespace Sycamoremoor
