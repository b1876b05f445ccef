// Tournament tree over the capacities of workers.
#include "dispatch/capacity_tree.h"

namespace Sycamoremoor
{

namespace
{

/** Capacity of an unused leaf, into which no task fits. */
constexpr ResourceAmount Unused{-1, {MilliCores(-1), Megabytes(-1), Accelerators(-1)}};

constexpr std::size_t InitialLeaves = 16;

} // namespace

std::size_t CapacityTree::insert(const ResourceAmount &capacity)
{
    if (m_unused.empty()) {
        grow();
    }
    const auto position = m_unused.back();
    m_unused.pop_back();
    update(position, capacity);
    return position;
}

void CapacityTree::update(std::size_t position, const ResourceAmount &capacity)
{
    auto node = m_leaves + position;
    m_nodes[node] = capacity;
    while (node > 1) {
        node /= 2;
        const auto greatest = maxOf(m_nodes[2 * node], m_nodes[2 * node + 1]);
        if (m_nodes[node] == greatest) {
            return;
        }
        m_nodes[node] = greatest;
    }
}

void CapacityTree::remove(std::size_t position)
{
    update(position, Unused);
    m_unused.push_back(position);
}

std::optional<std::size_t> CapacityTree::find(const ResourceAmount &need, std::uint64_t entropy, std::size_t maxNodes) const
{
    return m_leaves == 0 ? std::nullopt : findBelow(1, need, entropy, maxNodes);
}

const ResourceAmount &CapacityTree::capacityOf(std::size_t position) const
{
    return m_nodes[m_leaves + position];
}

const ResourceAmount &CapacityTree::largest() const
{
    return m_leaves == 0 ? Unused : m_nodes[1];
}

void CapacityTree::grow()
{
    const auto before = m_leaves;
    const std::vector<ResourceAmount> leaves(m_nodes.begin() + static_cast<std::ptrdiff_t>(before), m_nodes.end());
    m_leaves = before == 0 ? InitialLeaves : 2 * before;
    m_nodes.assign(2 * m_leaves, Unused);
    for (auto position = m_leaves; position > before; --position) {
        m_unused.push_back(position - 1);
    }
    for (std::size_t position = 0; position < before; ++position) {
        update(position, leaves[position]);
    }
}

std::optional<std::size_t>
CapacityTree::findBelow(std::size_t node, const ResourceAmount &need, std::uint64_t entropy, std::size_t &nodesLeft) const
{
    if (nodesLeft == 0) {
        return std::nullopt;
    }
    --nodesLeft;
    if (!fits(need, m_nodes[node])) {
        return std::nullopt;
    }
    if (node >= m_leaves) {
        return node - m_leaves;
    }
    const auto left = 2 * node;
    const auto difference = m_nodes[left].slots - m_nodes[left + 1].slots;
    const bool rightFirst = difference < 0 || (difference == 0 && (entropy & 1U) != 0);
    const auto first = rightFirst ? left + 1 : left;
    if (const auto found = findBelow(first, need, entropy >> 1U, nodesLeft)) {
        return found;
    }
    return findBelow(rightFirst ? left : left + 1, need, entropy >> 1U, nodesLeft);
}

} // namespace Sycamoremoor
