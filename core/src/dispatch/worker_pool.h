// The workers of one service, indexed by free capacity.
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

    /** Updates the index after a worker in the pool changed. */
    void refresh(Worker &worker);

    /** Excludes a worker from choose() until its next refresh(). */
    void exclude(Worker &worker);

    /** Removes a worker from the pool. */
    void remove(Worker &worker);

    /**
     * Finds a worker with free capacity for @p need. Prefers many free slots, and the own zone unless it is much fuller than others.
     * @return the worker, or null if the bounded search found none
     */
    [[nodiscard]] Worker *choose(const ResourceAmount &need, std::uint64_t entropy) const;

    /** Returns whether @p need fits an empty worker. True as well while the pool has no workers to compare with. */
    [[nodiscard]] bool fitsEmptyWorker(const ResourceAmount &need) const;

    /** Returns whether any worker has a free slot. */
    [[nodiscard]] bool hasFreeSlot() const;

    /** Returns the number of workers. */
    [[nodiscard]] std::size_t size() const;

    /** Returns the slots of all workers that accept tasks. */
    [[nodiscard]] std::int64_t slots() const;

    /** Calls @p visit with each worker, in an order that depends only on earlier calls, so that runs are reproducible. */
    void forEach(const std::function<void(Worker &)> &visit) const;

private:
    /** The workers in the own zone, or those in all other zones. */
    struct ZoneGroup {
        CapacityTree free;
        std::vector<Worker *> workers; ///< by position in the tree
    };

    [[nodiscard]] const ZoneGroup &zoneGroup(bool ownZone) const;
    [[nodiscard]] Worker *chooseByTree(const ResourceAmount &need, std::uint64_t entropy) const;
    void addRecentlyChanged(Worker &worker);

    std::array<ZoneGroup, 2> m_zoneGroups; ///< other zones, own zone
    CapacityTree m_capacities;
    std::vector<Worker *> m_recentlyChanged; ///< last changed workers with free slots, newest last; the bounded tree search may miss them
    std::size_t m_count = 0;
    std::int64_t m_slots = 0;
};

} // namespace Sycamoremoor
