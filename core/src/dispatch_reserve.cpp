// Reservation of a worker for a task that has fitted no worker for long.
#include "dispatch/dispatcher_private.h"

namespace Sycamoremoor
{

namespace
{

/** Time for which a task must have fitted no worker before one is reserved for it. */
constexpr Duration ReserveAfter = std::chrono::seconds(1);

} // namespace

void Dispatcher::Private::reserve(MonotonicTime now, Service &service)
{
    if (service.reservedWorker != nullptr || !service.queue.hasParked()) {
        return;
    }
    auto *entry = service.queue.firstParked();
    if (!entry->blockedSince || now - *entry->blockedSince < ReserveAfter || entry->team->isAtQuota()) {
        return;
    }
    Worker *best = nullptr;
    service.pool.forEach([&](Worker &worker) {
        const bool isCandidate
            = worker.state.accepting && worker.slotLimit > 0 && fits(entry->parkedNeed, resourcesOf(worker.state.capacity));
        if (isCandidate && (best == nullptr || worker.used.slots < best->used.slots)) {
            best = &worker;
        }
    });
    if (best == nullptr) {
        return;
    }
    service.reservedFor = entry;
    service.reservedWorker = best;
    best->reserved = true;
    service.pool.refresh(*best);
}

void Dispatcher::Private::useReservation(MonotonicTime now, Service &service, std::uint64_t entropy, std::vector<Placement> &placements)
{
    if (service.reservedWorker == nullptr) {
        return;
    }
    auto &worker = *service.reservedWorker;
    auto &entry = *service.reservedFor;
    const bool isWanted = entry.queueState == JobQueueState::Parked && !entry.team->isAtQuota() && entry.expiry.at > now;
    if (!isWanted || !worker.state.accepting || worker.slotLimit <= 0) {
        endReservation(service);
    } else if (fits(entry.parkedNeed, freeCapacity(worker))) {
        endReservation(service);
        placeNext(now, service, entry, entropy, placements);
    }
}

void Dispatcher::Private::endReservation(Service &service)
{
    if (service.reservedWorker == nullptr) {
        return;
    }
    auto &worker = *service.reservedWorker;
    worker.reserved = false;
    service.reservedWorker = nullptr;
    service.reservedFor = nullptr;
    service.pool.refresh(worker);
}

} // namespace Sycamoremoor
