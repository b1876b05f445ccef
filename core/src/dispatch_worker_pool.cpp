// Choice of a worker by free capacity and zone.
#include "dispatch/worker_pool.h"

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

/** The own zone is preferred until the best worker of another zone has more than this many times the free slots of its best. */
constexpr std::int64_t ZonePreference = 2;

/** Maximum number of nodes that one search of a tree visits. */
constexpr std::size_t MaxNodes = 128;

/** Maximum number of recently changed workers to try after the tree search. */
constexpr std::size_t MaxRecentlyChanged = 16;

constexpr double UsageWeight = 0.3; ///< weight of a new report in the moving average
constexpr double MaxUsageRatio = 8;

/** Returns the free capacity for tasks without a reservation. */
ResourceAmount offeredCapacity(const Worker &worker)
{
    return worker.reserved ? ResourceAmount{} : freeCapacity(worker);
}

std::int64_t offeredSlots(const Worker &worker)
{
    return worker.state.accepting ? std::min(resourcesOf(worker.state.capacity).slots, worker.slotLimit) : 0;
}

} // namespace

ResourceAmount freeCapacity(const Worker &worker)
{
    auto free = resourcesOf(worker.state.capacity);
    free.slots = worker.inPool && worker.state.accepting ? std::min(free.slots, worker.slotLimit) : 0;
    if (worker.used.slots > 0) {
        free.size.cores = MilliCores(static_cast<std::int64_t>(static_cast<double>(free.size.cores.value()) / worker.coresRatio));
        free.size.memory = Megabytes(static_cast<std::int64_t>(static_cast<double>(free.size.memory.value()) / worker.memoryRatio));
    }
    free -= worker.used;
    free.slots -= worker.state.tasksOfOtherOwners;
    return free;
}

void updateUsageRatios(Worker &worker)
{
    const auto learn = [](double &ratio, std::int64_t inUse, std::int64_t declared) {
        if (declared > 0) {
            const auto now = static_cast<double>(inUse) / static_cast<double>(declared);
            ratio = std::clamp(ratio + UsageWeight * (now - ratio), 1.0, MaxUsageRatio);
        }
    };
    learn(worker.coresRatio, worker.state.usage.cores.value(), worker.used.size.cores.value());
    learn(worker.memoryRatio, worker.state.usage.memory.value(), worker.used.size.memory.value());
}

const WorkerPool::ZoneGroup &WorkerPool::zoneGroup(bool ownZone) const
{
    return m_zoneGroups[ownZone ? 1 : 0];
}

void WorkerPool::add(Worker &worker)
{
    auto &[free, workers] = m_zoneGroups[worker.ownZone ? 1 : 0];
    worker.position = free.insert(offeredCapacity(worker));
    workers.resize(std::max(workers.size(), worker.position + 1));
    workers[worker.position] = &worker;
    worker.capacityPosition = m_capacities.insert(resourcesOf(worker.state.capacity));
    ++m_count;
    worker.countedSlots = offeredSlots(worker);
    m_slots += worker.countedSlots;
    addRecentlyChanged(worker);
}

void WorkerPool::refresh(Worker &worker)
{
    m_zoneGroups[worker.ownZone ? 1 : 0].free.update(worker.position, offeredCapacity(worker));
    if (const auto capacity = resourcesOf(worker.state.capacity); m_capacities.capacityOf(worker.capacityPosition) != capacity) {
        m_capacities.update(worker.capacityPosition, capacity);
    }
    m_slots -= worker.countedSlots;
    worker.countedSlots = offeredSlots(worker);
    m_slots += worker.countedSlots;
    addRecentlyChanged(worker);
}

void WorkerPool::exclude(Worker &worker)
{
    m_zoneGroups[worker.ownZone ? 1 : 0].free.update(worker.position, ResourceAmount{});
    std::erase(m_recentlyChanged, &worker);
}

void WorkerPool::remove(Worker &worker)
{
    auto &[free, workers] = m_zoneGroups[worker.ownZone ? 1 : 0];
    free.remove(worker.position);
    workers[worker.position] = nullptr;
    m_capacities.remove(worker.capacityPosition);
    std::erase(m_recentlyChanged, &worker);
    --m_count;
    m_slots -= worker.countedSlots;
}

Worker *WorkerPool::choose(const ResourceAmount &need, std::uint64_t entropy) const
{
    if (auto *found = chooseByTree(need, entropy); found != nullptr) {
        return found;
    }
    const auto changed = std::find_if(m_recentlyChanged.rbegin(), m_recentlyChanged.rend(), [&need](const Worker *worker) {
        return fits(need, offeredCapacity(*worker));
    });
    return changed == m_recentlyChanged.rend() ? nullptr : *changed;
}

Worker *WorkerPool::chooseByTree(const ResourceAmount &need, std::uint64_t entropy) const
{
    const auto own = zoneGroup(true).free.find(need, entropy, MaxNodes);
    if (own && zoneGroup(true).free.capacityOf(*own).slots * ZonePreference >= zoneGroup(false).free.largest().slots) {
        return zoneGroup(true).workers[*own];
    }
    const auto other = zoneGroup(false).free.find(need, entropy, MaxNodes);
    if (own && other && zoneGroup(true).free.capacityOf(*own).slots * ZonePreference >= zoneGroup(false).free.capacityOf(*other).slots) {
        return zoneGroup(true).workers[*own];
    }
    if (other) {
        return zoneGroup(false).workers[*other];
    }
    return own ? zoneGroup(true).workers[*own] : nullptr;
}

void WorkerPool::addRecentlyChanged(Worker &worker)
{
    std::erase(m_recentlyChanged, &worker);
    if (offeredCapacity(worker).slots <= 0) {
        return;
    }
    if (m_recentlyChanged.size() >= MaxRecentlyChanged) {
        m_recentlyChanged.erase(m_recentlyChanged.begin());
    }
    m_recentlyChanged.push_back(&worker);
}

bool WorkerPool::fitsEmptyWorker(const ResourceAmount &need) const
{
    return m_count == 0 || m_capacities.find(need, 0).has_value();
}

bool WorkerPool::hasFreeSlot() const
{
    return zoneGroup(true).free.largest().slots > 0 || zoneGroup(false).free.largest().slots > 0;
}

std::size_t WorkerPool::size() const
{
    return m_count;
}

std::int64_t WorkerPool::slots() const
{
    return m_slots;
}

void WorkerPool::forEach(const std::function<void(Worker &)> &visit) const
{
    for (const auto &[free, workers] : m_zoneGroups) {
        for (auto *worker : workers) {
            if (worker != nullptr) {
                visit(*worker);
            }
        }
    }
}

} // namespace Sycamoremoor
