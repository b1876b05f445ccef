// Tree that finds a worker with enough capacity in logarithmic time.
#pragma once

#include "resource_amount.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace Sycamoremoor
{

/**
 * A tournament tree: each leaf holds the capacity of one worker, each inner node the maximum of its leaves for each resource.
 *
 * An update takes time logarithmic in the number of workers. So does a search, unless the leaves lack different resources: then
 * it may visit every leaf. The number of visited nodes can be bounded for that case.
 */
class CapacityTree
{
public:
    /** Adds a leaf. Returns its position, which stays valid until the leaf is removed. */
    std::size_t insert(const ResourceAmount &capacity);

    /** Changes the capacity of a leaf. */
    void update(std::size_t position, const ResourceAmount &capacity);

    /** Removes a leaf. A later insert() may reuse its position. */
    void remove(std::size_t position);

    /**
     * Finds a leaf into which @p need fits, preferring many free slots.
     * @param entropy random bits that choose among equal subtrees
     * @param maxNodes maximum number of nodes to visit; a search that needs more finds nothing
     * @return its position, or nothing if no leaf was found
     */
    [[nodiscard]] std::optional<std::size_t>
    find(const ResourceAmount &need, std::uint64_t entropy, std::size_t maxNodes = std::numeric_limits<std::size_t>::max()) const;

    /** Returns the capacity of a leaf. */
    [[nodiscard]] const ResourceAmount &capacityOf(std::size_t position) const;

    /** Returns the maximum over all leaves for each resource. */
    [[nodiscard]] const ResourceAmount &largest() const;

private:
    void grow();
    [[nodiscard]] std::optional<std::size_t>
    findBelow(std::size_t node, const ResourceAmount &need, std::uint64_t entropy, std::size_t &nodesLeft) const;

    std::vector<ResourceAmount> m_nodes; ///< root at 1; the children of n are 2n and 2n + 1
    std::size_t m_leaves = 0;            ///< number of leaves, a power of two
    std::vector<std::size_t> m_unused;
};

} // namespace Sycamoremoor
