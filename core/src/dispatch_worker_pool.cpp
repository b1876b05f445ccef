// Choice of a worker by room and zone.
#include "dispatch/worker_pool.h"

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

/** The own zone is preferred until another zone's best worker has more than so many times its best worker's free slots. */
constexpr std::int64_t ZonePreference = 2;

/** Nodes of a tree that a search looks at. */
constexpr std::size_t MostNodes = 128;

/** Workers that are remembered for having changed last. */
constexpr std::size_t RememberedWorkers = 16;

constexpr double UsageWeight = 0.3; ///< of a new report
constexpr double LargestUsageRatio = 8;

/** Returns the room that may be given away. */
WorkerRoom offeredRoom(const Worker &worker)
{
    return worker.reserved ? WorkerRoom{} : freeRoom(worker);
}

std::int64_t offeredSlots(const Worker &worker)
{
    return worker.state.accepting ? std::min(roomOf(worker.state.capacity).slots, worker.slotLimit) : 0;
}

} // namespace

WorkerRoom freeRoom(const Worker &worker)
{
    auto free = roomOf(worker.state.capacity);
    free.slots = worker.known && worker.state.accepting ? std::min(free.slots, worker.slotLimit) : 0;
    if (worker.used.slots > 0) {
        free.size.cores = MilliCores(static_cast<std::int64_t>(static_cast<double>(free.size.cores.value()) / worker.coresRatio));
        free.size.memory = Megabytes(static_cast<std::int64_t>(static_cast<double>(free.size.memory.value()) / worker.memoryRatio));
    }
    free -= worker.used;
    free.slots -= worker.state.tasksOfOtherOwners;
    return free;
}

void learnUsage(Worker &worker)
{
    const auto learn = [](double &ratio, std::int64_t inUse, std::int64_t declared) {
        if (declared > 0) {
            const auto now = static_cast<double>(inUse) / static_cast<double>(declared);
            ratio = std::clamp(ratio + UsageWeight * (now - ratio), 1.0, LargestUsageRatio);
        }
    };
    learn(worker.coresRatio, worker.state.usage.cores.value(), worker.used.size.cores.value());
    learn(worker.memoryRatio, worker.state.usage.memory.value(), worker.used.size.memory.value());
}

const WorkerPool::Side &WorkerPool::side(bool ownZone) const
{
    return m_sides[ownZone ? 1 : 0];
}

void WorkerPool::add(Worker &worker)
{
    auto &[free, workers] = m_sides[worker.ownZone ? 1 : 0];
    worker.position = free.insert(offeredRoom(worker));
    workers.resize(std::max(workers.size(), worker.position + 1));
    workers[worker.position] = &worker;
    worker.capacityPosition = m_capacities.insert(roomOf(worker.state.capacity));
    ++m_count;
    worker.countedSlots = offeredSlots(worker);
    m_slots += worker.countedSlots;
    remember(worker);
}

void WorkerPool::refresh(Worker &worker)
{
    m_sides[worker.ownZone ? 1 : 0].free.update(worker.position, offeredRoom(worker));
    if (const auto capacity = roomOf(worker.state.capacity); m_capacities.room(worker.capacityPosition) != capacity) {
        m_capacities.update(worker.capacityPosition, capacity);
    }
    m_slots -= worker.countedSlots;
    worker.countedSlots = offeredSlots(worker);
    m_slots += worker.countedSlots;
    remember(worker);
}

void WorkerPool::hide(Worker &worker)
{
    m_sides[worker.ownZone ? 1 : 0].free.update(worker.position, WorkerRoom{});
    std::erase(m_changed, &worker);
}

void WorkerPool::remove(Worker &worker)
{
    auto &[free, workers] = m_sides[worker.ownZone ? 1 : 0];
    free.remove(worker.position);
    workers[worker.position] = nullptr;
    m_capacities.remove(worker.capacityPosition);
    std::erase(m_changed, &worker);
    --m_count;
    m_slots -= worker.countedSlots;
}

Worker *WorkerPool::choose(const WorkerRoom &need, std::uint64_t entropy) const
{
    if (auto *found = chooseByTree(need, entropy); found != nullptr) {
        return found;
    }
    const auto changed
        = std::find_if(m_changed.rbegin(), m_changed.rend(), [&need](const Worker *worker) { return fits(need, offeredRoom(*worker)); });
    return changed == m_changed.rend() ? nullptr : *changed;
}

Worker *WorkerPool::chooseByTree(const WorkerRoom &need, std::uint64_t entropy) const
{
    const auto own = side(true).free.find(need, entropy, MostNodes);
    if (own && side(true).free.room(*own).slots * ZonePreference >= side(false).free.largest().slots) {
        return side(true).workers[*own];
    }
    const auto other = side(false).free.find(need, entropy, MostNodes);
    if (own && other && side(true).free.room(*own).slots * ZonePreference >= side(false).free.room(*other).slots) {
        return side(true).workers[*own];
    }
    if (other) {
        return side(false).workers[*other];
    }
    return own ? side(true).workers[*own] : nullptr;
}

void WorkerPool::remember(Worker &worker)
{
    std::erase(m_changed, &worker);
    if (offeredRoom(worker).slots <= 0) {
        return;
    }
    if (m_changed.size() >= RememberedWorkers) {
        m_changed.erase(m_changed.begin());
    }
    m_changed.push_back(&worker);
}

bool WorkerPool::everFits(const WorkerRoom &need) const
{
    return m_count == 0 || m_capacities.find(need, 0).has_value();
}

bool WorkerPool::hasFreeSlot() const
{
    return side(true).free.largest().slots > 0 || side(false).free.largest().slots > 0;
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
    for (const auto &[free, workers] : m_sides) {
        for (auto *worker : workers) {
            if (worker != nullptr) {
                visit(*worker);
            }
        }
    }
}

} // namespace Sycamoremoor
