// What a worker has free and a task takes: slots, cores, memory and accelerators.
#pragma once

#include <sycamoremoor/core/agent_message_type.h>
#include <sycamoremoor/core/task_type.h>

#include <algorithm>
#include <cstdint>

namespace Sycamoremoor
{

/** An amount of every resource that a task takes of a worker. */
struct WorkerRoom {
    std::int64_t slots = 0;  ///< a running task takes a slot and a connection, so this is the lesser of both
    std::int64_t cores = 0;  ///< thousandths
    std::int64_t memory = 0; ///< megabytes
    std::int64_t accelerators = 0;

    friend bool operator==(const WorkerRoom &, const WorkerRoom &) = default;
};

/** Returns all that a worker offers. */
inline WorkerRoom roomOf(const WorkerCapacity &capacity)
{
    const auto slots = std::min(capacity.slots.value(), capacity.connections.value());
    return {slots, capacity.cores.value(), capacity.memory.value(), capacity.accelerators.value()};
}

/** Returns what one task of size @p size takes. */
inline WorkerRoom roomOf(const TaskSize &size)
{
    return {1, size.cores.value(), size.memory.value(), size.accelerators.value()};
}

/** Tells whether @p need fits into @p free in every resource. */
inline bool fits(const WorkerRoom &need, const WorkerRoom &free)
{
    return need.slots <= free.slots && need.cores <= free.cores && need.memory <= free.memory && need.accelerators <= free.accelerators;
}

inline WorkerRoom &operator+=(WorkerRoom &left, const WorkerRoom &right)
{
    left.slots += right.slots;
    left.cores += right.cores;
    left.memory += right.memory;
    left.accelerators += right.accelerators;
    return left;
}

inline WorkerRoom &operator-=(WorkerRoom &left, const WorkerRoom &right)
{
    left.slots -= right.slots;
    left.cores -= right.cores;
    left.memory -= right.memory;
    left.accelerators -= right.accelerators;
    return left;
}

inline WorkerRoom operator-(WorkerRoom left, const WorkerRoom &right)
{
    left -= right;
    return left;
}

/** Returns the greater of both, resource by resource. */
inline WorkerRoom maxOf(const WorkerRoom &left, const WorkerRoom &right)
{
    return {std::max(left.slots, right.slots),
            std::max(left.cores, right.cores),
            std::max(left.memory, right.memory),
            std::max(left.accelerators, right.accelerators)};
}

} // namespace Sycamoremoor
