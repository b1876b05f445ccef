// Sums and comparisons of what tasks take of a worker.
#pragma once

#include <sycamoremoor/core/task_type.h>

namespace Sycamoremoor
{

inline TaskSize &operator+=(TaskSize &left, const TaskSize &right)
{
    left.cores += right.cores;
    left.memory += right.memory;
    left.accelerators += right.accelerators;
    return left;
}

inline TaskSize &operator-=(TaskSize &left, const TaskSize &right)
{
    left.cores -= right.cores;
    left.memory -= right.memory;
    left.accelerators -= right.accelerators;
    return left;
}

inline TaskSize operator-(TaskSize left, const TaskSize &right)
{
    left -= right;
    return left;
}

/** Tells whether @p need fits into @p free in every resource. */
inline bool fits(const TaskSize &need, const TaskSize &free)
{
    return need.cores <= free.cores && need.memory <= free.memory && need.accelerators <= free.accelerators;
}

/** A worker without any room. */
inline constexpr TaskSize ZeroTaskSize{MilliCores(0), Megabytes(0), Accelerators(0)};

} // namespace Sycamoremoor
