// Amount of resources that a worker has or a task takes: slots, cores, memory and accelerators.
#pragma once

#include <sycamoremoor/core/agent_message_type.h>
#include <sycamoremoor/core/task_size_func.h>

#include <algorithm>
#include <cstdint>

namespace Sycamoremoor
{

/** An amount of each resource of a worker. */
struct ResourceAmount {
    std::int64_t slots = 0; ///< minimum of slots and connections, since a running task takes one of each
    TaskSize size = ZeroTaskSize;

    friend bool operator==(const ResourceAmount &, const ResourceAmount &) = default;
};

/** Returns the resources of an empty worker. */
inline ResourceAmount resourcesOf(const WorkerCapacity &capacity)
{
    const auto slots = std::min(capacity.slots.value(), capacity.connections.value());
    return {slots, {capacity.cores, capacity.memory, capacity.accelerators}};
}

/** Returns the resources that one task of size @p size takes. */
inline ResourceAmount resourcesOf(const TaskSize &size)
{
    return {1, size};
}

/** Returns whether @p need fits into @p free in every resource. */
inline bool fits(const ResourceAmount &need, const ResourceAmount &free)
{
    return need.slots <= free.slots && fits(need.size, free.size);
}

inline ResourceAmount &operator+=(ResourceAmount &left, const ResourceAmount &right)
{
    left.slots += right.slots;
    left.size += right.size;
    return left;
}

inline ResourceAmount &operator-=(ResourceAmount &left, const ResourceAmount &right)
{
    left.slots -= right.slots;
    left.size -= right.size;
    return left;
}

inline ResourceAmount operator-(ResourceAmount left, const ResourceAmount &right)
{
    left -= right;
    return left;
}

/** Returns the maximum of both for each resource. */
inline ResourceAmount maxOf(const ResourceAmount &left, const ResourceAmount &right)
{
    return {std::max(left.slots, right.slots),
            {std::max(left.size.cores, right.size.cores),
             std::max(left.size.memory, right.size.memory),
             std::max(left.size.accelerators, right.size.accelerators)}};
}

} // namespace Sycamoremoor
