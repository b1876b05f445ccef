// Table of the owners of an agent's tasks, with the reports that each has not acknowledged.
#include "owner_table.h"

#include <sycamoremoor/core/roster_func.h>

#include <algorithm>

namespace Sycamoremoor
{

OwnerIndex OwnerTable::find(const EntryName &name, Incarnation incarnation) const
{
    const auto found
        = std::ranges::find_if(m_owners, [&](const Owner &owner) { return owner.incarnation == incarnation && owner.name == name; });
    return found == m_owners.end() ? NoOwner : static_cast<OwnerIndex>(found - m_owners.begin());
}

OwnerIndex OwnerTable::add(const EntryName &name, Incarnation incarnation)
{
    if (const auto index = find(name, incarnation); index != NoOwner) {
        return index;
    }
    auto place = std::ranges::find_if(m_owners, [](const Owner &owner) { return owner.name.value().empty(); });
    if (place == m_owners.end()) {
        place = m_owners.emplace(m_owners.end());
    }
    place->name = name;
    place->incarnation = incarnation;
    return static_cast<OwnerIndex>(place - m_owners.begin());
}

void OwnerTable::updateFrom(const RosterRecord &roster)
{
    for (auto &owner : m_owners) {
        const auto *member = findMember(roster, owner.name);
        owner.inRoster = member != nullptr && member->incarnation == owner.incarnation;
        if (owner.inRoster) {
            owner.endpoint = member->endpoint;
        } else if (member != nullptr) {
            owner.unacknowledged.clear();
        }
    }
}

void OwnerTable::prune()
{
    const Owner none; // assigning a temporary causes a false warning of uninitialized use in g++ 12 at -O3
    for (auto &owner : m_owners) {
        if (!owner.inRoster && owner.records == 0 && owner.batch.empty()) {
            owner = none;
        }
    }
}

Owner &OwnerTable::at(OwnerIndex index)
{
    return m_owners.at(index);
}

const Owner &OwnerTable::at(OwnerIndex index) const
{
    return m_owners.at(index);
}

std::vector<Owner> &OwnerTable::owners()
{
    return m_owners;
}

const std::vector<Owner> &OwnerTable::owners() const
{
    return m_owners;
}

} // namespace Sycamoremoor
