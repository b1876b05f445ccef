// The workers of one service, found by the room they have.
#pragma once

#include "capacity_tree.h"
#include "worker.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace Sycamoremoor
{

/** Index of the workers of one service. It does not own them. */
class WorkerPool
{
public:
    /** Adds a worker. */
    void add(Worker &worker);

    /** Takes over what changed of a worker that was added. */
    void refresh(Worker &worker);

    /** Offers nothing of a worker until its next refresh. */
    void exclude(Worker &worker);

    /** Removes a worker that was added. */
    void remove(Worker &worker);

    /**
     * Finds a worker with room for @p need: the one with the most free slots, own zone first while that spreads the load.
     * @return the worker, or null if none has the room or it was not found within bounded work
     */
    [[nodiscard]] Worker *choose(const ResourceAmount &need, std::uint64_t entropy) const;

    /** Tells whether @p need fits an empty worker, or no worker is known that could tell. */
    [[nodiscard]] bool fitsEmptyWorker(const ResourceAmount &need) const;

    /** Tells whether any worker has a free slot. */
    [[nodiscard]] bool hasFreeSlot() const;

    /** Returns the number of workers. */
    [[nodiscard]] std::size_t size() const;

    /** Returns the slots of all workers that take tasks. */
    [[nodiscard]] std::int64_t slots() const;

    /** Calls @p visit with each worker, in an order that depends on nothing but earlier calls. */
    void forEach(const std::function<void(Worker &)> &visit) const;

private:
    /** Workers on one side of the own zone's border. */
    struct ZoneGroup {
        CapacityTree free;
        std::vector<Worker *> workers; ///< by position in the tree
    };

    [[nodiscard]] const ZoneGroup &zoneGroup(bool ownZone) const;
    [[nodiscard]] Worker *chooseByTree(const ResourceAmount &need, std::uint64_t entropy) const;
    void addRecentlyChanged(Worker &worker);

    std::array<ZoneGroup, 2> m_zoneGroups; ///< other zones, own zone
    CapacityTree m_capacities;
    std::vector<Worker *> m_recentlyChanged; ///< workers with room that changed last, newest last; a bounded search may miss them
    std::size_t m_count = 0;
    std::int64_t m_slots = 0;
};

} // namespace Sycamoremoor
