// What a worker has free and a task takes: slots, cores, memory and accelerators.
#pragma once

#include <sycamoremoor/core/agent_message_type.h>
#include <sycamoremoor/core/task_size_func.h>

#include <algorithm>
#include <cstdint>

namespace Sycamoremoor
{

/** An amount of every resource that a task takes of a worker. */
struct ResourceAmount {
    std::int64_t slots = 0; ///< a running task takes a slot and a connection, so this is the lesser of both
    TaskSize size = ZeroTaskSize;

    friend bool operator==(const ResourceAmount &, const ResourceAmount &) = default;
};

/** Returns all that a worker offers. */
inline ResourceAmount resourcesOf(const WorkerCapacity &capacity)
{
    const auto slots = std::min(capacity.slots.value(), capacity.connections.value());
    return {slots, {capacity.cores, capacity.memory, capacity.accelerators}};
}

/** Returns what one task of size @p size takes. */
inline ResourceAmount resourcesOf(const TaskSize &size)
{
    return {1, size};
}

/** Tells whether @p need fits into @p free in every resource. */
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

/** Returns the greater of both, resource by resource. */
inline ResourceAmount maxOf(const ResourceAmount &left, const ResourceAmount &right)
{
    return {std::max(left.slots, right.slots),
            {std::max(left.size.cores, right.size.cores),
             std::max(left.size.memory, right.size.memory),
             std::max(left.size.accelerators, right.size.accelerators)}};
}

} // namespace Sycamoremoor
