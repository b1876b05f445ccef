// Placement of queued tasks on workers.
#include "dispatch/dispatcher_private.h"

namespace Sycamoremoor
{

namespace
{

/** Maximum number of tasks of a job to try when its first one fits no worker. */
constexpr std::size_t MaxTriedTasks = 8;

/** Returns random bits for the n-th choice of a step. */
std::uint64_t mixEntropy(std::uint64_t entropy, std::size_t choice)
{
    constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15ULL;
    const auto product = (entropy + choice) * Multiplier;
    return product ^ (product >> 32U);
}

} // namespace

std::vector<Placement> Dispatcher::place(MonotonicTime now, std::uint64_t entropy)
{
    d->enqueueDue(now);
    d->ejections.readmit(now, [this](Worker &worker) { d->services[worker.state.service].pool.refresh(worker); });
    std::vector<Placement> placements;
    for (auto &[name, service] : d->services) {
        d->placeService(now, service, entropy, placements);
    }
    return placements;
}

void Dispatcher::Private::placeService(MonotonicTime now, Service &service, std::uint64_t entropy, std::vector<Placement> &placements)
{
    useReservation(now, service, entropy, placements);
    bool progress = true;
    while (progress && service.queue.waitingTasks() > 0 && (hooks.chooseWorker || service.pool.hasFreeSlot())) {
        progress = false;
        service.queue.unpark(service.pool, entropy);
        for (auto *entry = service.queue.next(); entry != nullptr; entry = service.queue.next()) {
            if (entry->expiry.at <= now) {
                service.queue.withdraw(*entry); // expire() removes it
                continue;
            }
            progress = placeNext(now, service, *entry, mixEntropy(entropy, placements.size()), placements) || progress;
            if (!hooks.chooseWorker && !service.pool.hasFreeSlot()) {
                break;
            }
        }
        progress = progress && service.queue.hasParked();
    }
    reserve(now, service);
}

bool Dispatcher::Private::placeNext(
    MonotonicTime now, Service &service, JobEntry &entry, std::uint64_t entropy, std::vector<Placement> &placements)
{
    const auto &job = *entry.job;
    const TaskSize *tried = nullptr;
    const auto last = entry.waiting.size();
    for (auto position = last; position > 0 && last - position < MaxTriedTasks; --position) {
        const auto task = entry.waiting[position - 1].index;
        const auto &size = job.tasks[task.value()].size;
        if (tried != nullptr && *tried == size) {
            continue;
        }
        tried = &size;
        const auto need = resourcesOf(size);
        if (auto *worker = chooseWorker(service, entry, task, entropy); worker != nullptr) {
            removeWaiting(entry, position - 1);
            const TaskId id{job.key, task};
            const auto [placedTask, isNew] = placed.try_emplace(id, PlacedTask{&entry, worker, worker->generation, need, now});
            countPlaced(entry, *worker, placedTask->second);
            refresh(entry);
            retries.countStart();
            entry.blockedSince.reset();
            placements.push_back({id, worker->state.agent, worker->state.incarnation});
            return true;
        }
    }
    entry.blockedSince = entry.blockedSince.value_or(now);
    service.queue.park(entry, resourcesOf(job.tasks[entry.waiting.back().index.value()].size));
    return false;
}

Worker *Dispatcher::Private::chooseWorker(Service &service, const JobEntry &entry, TaskIndex task, std::uint64_t entropy)
{
    const auto refusers = refusersOf(service, entry, task);
    for (auto *worker : refusers) {
        service.pool.exclude(*worker);
    }
    auto *chosen = hooks.chooseWorker ? chooseByHook(service, entropy)
                                      : service.pool.choose(resourcesOf(entry.job->tasks[task.value()].size), entropy);
    for (auto *worker : refusers) {
        service.pool.refresh(*worker);
    }
    return chosen;
}

std::vector<Worker *> Dispatcher::Private::refusersOf(const Service &service, const JobEntry &entry, TaskIndex task)
{
    std::vector<Worker *> refusers;
    const auto found = entry.refusals.find(task);
    if (found == entry.refusals.end()) {
        return refusers;
    }
    for (const auto &[agent, generation] : found->second) {
        const auto worker = workers.find(agent);
        const auto isInService = worker != workers.end() && worker->second.inPool && &services[worker->second.state.service] == &service;
        if (isInService && worker->second.generation == generation) {
            refusers.push_back(&worker->second);
        }
    }
    return refusers;
}

Worker *Dispatcher::Private::chooseByHook(const Service &service, std::uint64_t entropy) const
{
    const std::int64_t queue = config ? config->policy.agentQueue : 0;
    std::vector<Worker *> candidates;
    std::vector<AgentName> names;
    service.pool.forEach([&](Worker &worker) {
        if (worker.state.accepting && freeCapacity(worker).slots + queue > 0) {
            candidates.push_back(&worker);
            names.push_back(worker.state.agent);
        }
    });
    return candidates.empty() ? nullptr : candidates[hooks.chooseWorker(names, entropy) % candidates.size()];
}

} // namespace Sycamoremoor
