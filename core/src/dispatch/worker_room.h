// What a worker has free: slots, connections, cores, memory and accelerators.
#pragma once

#include <sycamoremoor/core/agent_message_type.h>
#include <sycamoremoor/core/task_type.h>

#include <cstdint>

namespace Sycamoremoor {

/** An amount of every resource that a task takes of a worker. */
struct WorkerRoom {
    std::int64_t slots = 0;
    std::int64_t connections = 0;
    std::int64_t cores = 0;  ///< thousandths
    std::int64_t memory = 0; ///< megabytes
    std::int64_t accelerators = 0;

    friend bool operator==(const WorkerRoom &, const WorkerRoom &) = default;
};

/** Returns all that a worker offers. */
inline WorkerRoom roomOf(const WorkerCapacity &capacity)
{
    return {capacity.slots.value(),
            capacity.connections.value(),
            capacity.cores.value(),
            capacity.memory.value(),
            capacity.accelerators.value()};
}

/** Returns what one task of size @p size takes. */
inline WorkerRoom roomOf(const TaskSize &size)
{
    return {1, 1, size.cores.value(), size.memory.value(), size.accelerators.value()};
}

/** Tells whether @p need fits into @p free in every resource. */
inline bool fits(const WorkerRoom &need, const WorkerRoom &free)
{
    return need.slots <= free.slots && need.connections <= free.connections && need.cores <= free.cores && need.memory <= free.memory
        && need.accelerators <= free.accelerators;
}

inline WorkerRoom &operator+=(WorkerRoom &left, const WorkerRoom &right)
{
    left.slots += right.slots;
    left.connections += right.connections;
    left.cores += right.cores;
    left.memory += right.memory;
    left.accelerators += right.accelerators;
    return left;
}

inline WorkerRoom &operator-=(WorkerRoom &left, const WorkerRoom &right)
{
    left.slots -= right.slots;
    left.connections -= right.connections;
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

} // namespace Sycamoremoor
