// Tree that finds a worker with enough room in logarithmic time.
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
 * A tournament tree: each leaf is the room of one worker, each inner node the greatest of its leaves, resource by resource.
 *
 * An update costs the logarithm of the number of workers. So does a search, but where no single resource decides;
 * for that case it can be bounded.
 */
class CapacityTree
{
public:
    /** Adds a leaf. Returns its position, which stays valid until it is removed. */
    std::size_t insert(const ResourceAmount &capacity);

    /** Changes the room of a leaf. */
    void update(std::size_t position, const ResourceAmount &capacity);

    /** Removes a leaf; its position may be given to another. */
    void remove(std::size_t position);

    /**
     * Finds a leaf with room for @p need, preferring many free slots.
     * @param entropy random bits that choose among equals
     * @param maxNodes nodes to look at; a search that needs more finds nothing
     * @return its position, or nothing if no leaf has the room
     */
    [[nodiscard]] std::optional<std::size_t>
    find(const ResourceAmount &need, std::uint64_t entropy, std::size_t maxNodes = std::numeric_limits<std::size_t>::max()) const;

    /** Returns the room of a leaf. */
    [[nodiscard]] const ResourceAmount &capacity(std::size_t position) const;

    /** Returns the greatest room, resource by resource. */
    [[nodiscard]] const ResourceAmount &largest() const;

private:
    void grow();
    [[nodiscard]] std::optional<std::size_t>
    findBelow(std::size_t node, const ResourceAmount &need, std::uint64_t entropy, std::size_t &nodesLeft) const;

    std::vector<ResourceAmount> m_nodes; ///< from 1; the children of n are 2n and 2n + 1
    std::size_t m_leaves = 0;            ///< a power of two
    std::vector<std::size_t> m_unused;
};

} // namespace Sycamoremoor
