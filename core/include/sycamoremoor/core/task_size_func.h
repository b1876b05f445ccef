// Sums and comparisons of the resources that tasks take.
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

/** Returns whether @p need fits into @p free in every resource. */
inline bool fits(const TaskSize &need, const TaskSize &free)
{
    return need.cores <= free.cores && need.memory <= free.memory && need.accelerators <= free.accelerators;
}

/** A task size with no resources. */
inline constexpr TaskSize ZeroTaskSize{MilliCores(0), Megabytes(0), Accelerators(0)};

} // namespace Sycamoremoor
