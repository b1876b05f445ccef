// Which guards a scheduler follows, when there are more than it needs.
#pragma once

#include <sycamoremoor/core/guard_message_type.h>

#include <cstddef>
#include <map>
#include <set>

namespace Sycamoremoor
{

/**
 * Chooses the guards whose capacity a scheduler follows, and where it places its tasks.
 *
 * A scheduler that follows all of them is told of each change of each worker: this cost grows as schedulers times workers, for a view
 * that most schedulers do not need. The choice depends only on the names, so it is the same after a restart; each guard is in nearly
 * the same number of choices; and a guard that comes or goes changes each choice by one guard at most (rendezvous hashing, weighted by
 * zone).
 */
class GuardSubset
{
public:
    using Guards = std::map<AgentName, AgentRecord>;

    /** Usual size: enough for many jobs at a time, and each report of so many guards costs a scheduler little of its processor time. */
    static constexpr std::size_t DefaultSize = 40;

    /** @param size number of guards to follow, if there are as many */
    GuardSubset(EntryName scheduler, ZoneName zone, std::size_t size);

    /** Doubles the size: jobs need workers of which there are few among those that are followed. */
    void widen();

    /**
     * Chooses among @p guards.
     * @param silent guards that have not been heard of for a while: they are chosen as before, but others are in their stead
     */
    [[nodiscard]] std::set<AgentName> choose(const Guards &guards, const std::set<AgentName> &silent) const;

private:
    /** Returns the rank of a guard: the lower ones are chosen. */
    [[nodiscard]] double rankOf(const AgentRecord &guard) const;

    EntryName m_scheduler;
    ZoneName m_zone;
    std::size_t m_size;
};

} // namespace Sycamoremoor
