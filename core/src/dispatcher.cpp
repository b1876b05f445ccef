// Admission, queueing and placement of tasks.
#include "dispatch/dispatcher_private.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Sycamoremoor {

namespace {

/** Retry-after told when a queue is full. */
constexpr Duration QueueFullRetryAfter = std::chrono::seconds(1);

/** Returns the room that is free on a worker for another task. */
template<typename Worker>
WorkerRoom freeRoom(const Worker &worker)
{
    auto free = roomOf(worker.state.capacity) - worker.used;
    free.slots -= worker.state.foreign;
    free.connections -= worker.state.foreign;
    return free;
}

} // namespace

const ServiceRecord *Dispatcher::Private::serviceRecord(const ServiceName &name) const
{
    if (!config) {
        return nullptr;
    }
    const auto found = config->services.find(name);
    return found == config->services.end() ? nullptr : &found->second;
}

const TeamRecord *Dispatcher::Private::teamRecord(const TeamName &name) const
{
    if (!config) {
        return nullptr;
    }
    const auto found = config->teams.find(name);
    return found == config->teams.end() ? nullptr : &found->second;
}

bool Dispatcher::Private::teamHasRoom(const TeamName &name) const
{
    const auto *record = teamRecord(name);
    if (record == nullptr || record->quotaSlots == 0) {
        return true;
    }
    const auto quota = std::max(1.0, std::floor(record->quotaSlots * ownerShare));
    const auto found = teams.find(name);
    return found == teams.end() || found->second.placed < quota;
}

bool Dispatcher::Private::everFits(const ServiceName &service, const TaskSize &size) const
{
    bool known = false;
    for (const auto &[name, worker] : workers) {
        if (worker.state.service == service) {
            known = true;
            if (fits(roomOf(size), roomOf(worker.state.capacity))) {
                return true;
            }
        }
    }
    return !known;
}

void Dispatcher::Private::countQueued(const JobSpec &job, TaskIndex task, std::int32_t sign)
{
    const auto delta = static_cast<std::uint32_t>(sign);
    queuedTasks += delta;
    teams[job.team].queued += delta;
    auto &service = services[job.service];
    service.queued += delta;
    service.queuedBytes += sign * static_cast<std::int64_t>(job.tasks[task.value()].payload.size());
}

void Dispatcher::Private::putBack(const JobSpecPointer &job, TaskIndex task, MonotonicTime deadline)
{
    const auto found = std::ranges::find_if(queue, [&job](const QueuedJob &queued) { return queued.job->key == job->key; });
    if (found != queue.end()) {
        found->tasks.push_front(task);
    } else {
        queue.push_front({job, deadline, {task}});
    }
    countQueued(*job, task, 1);
}

Dispatcher::Private::Worker *Dispatcher::Private::chooseWorker(const ServiceName &service, const WorkerRoom &need, std::uint64_t entropy)
{
    std::vector<AgentName> names;
    Worker *best = nullptr;
    std::pair<bool, std::int64_t> bestRank{};
    for (auto &[name, worker] : workers) {
        const auto free = freeRoom(worker);
        if (!worker.state.accepting || worker.state.service != service || !fits(need, free)) {
            continue;
        }
        names.push_back(name);
        const std::pair rank(worker.state.zone == zone, free.slots);
        if (best == nullptr || rank > bestRank) {
            best = &worker;
            bestRank = rank;
        }
    }
    if (best == nullptr || !hooks.chooseWorker) {
        return best;
    }
    return &workers.at(names.at(hooks.chooseWorker(names, entropy) % names.size()));
}

std::vector<TaskIndex> Dispatcher::Private::takeAll(const QueuedJob &queued)
{
    std::vector<TaskIndex> tasks(queued.tasks.begin(), queued.tasks.end());
    for (const auto task : tasks) {
        countQueued(*queued.job, task, -1);
    }
    return tasks;
}

Dispatcher::Dispatcher(ZoneName zone, DispatcherHooks hooks)
    : d(std::make_unique<Private>())
{
    d->zone = std::move(zone);
    d->hooks = std::move(hooks);
}

Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher &&) noexcept = default;
Dispatcher &Dispatcher::operator=(Dispatcher &&) noexcept = default;

void Dispatcher::configure(const std::shared_ptr<const ConfigSet> &config, double ownerShare)
{
    d->config = config;
    d->ownerShare = ownerShare;
}

void Dispatcher::updateWorker(MonotonicTime /*now*/, const WorkerState &worker)
{
    d->workers[worker.agent].state = worker;
}

void Dispatcher::removeWorker(const AgentName &agent)
{
    d->workers.erase(agent);
}

Admission Dispatcher::admit(MonotonicTime /*now*/, const JobSpec &job, Duration deadline) const
{
    const auto *service = d->serviceRecord(job.service);
    if (service == nullptr) {
        return {ErrorKind::UnknownService, job.service.value(), {}};
    }
    const auto *team = d->teamRecord(job.team);
    if (team == nullptr) {
        return {ErrorKind::UnknownTeam, job.team.value(), {}};
    }
    if (deadline <= Duration::zero()) {
        return {ErrorKind::DeadlineUnreachable, "the deadline has passed", {}};
    }
    std::int64_t bytes = 0;
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        if (!d->everFits(job.service, job.tasks[index].size)) {
            return {ErrorKind::NeverFits, "task " + std::to_string(index), {}};
        }
        bytes += static_cast<std::int64_t>(job.tasks[index].payload.size());
    }
    const auto teamUse = d->teams.find(job.team);
    const std::size_t teamQueued = teamUse == d->teams.end() ? 0 : teamUse->second.queued;
    if (teamQueued + job.tasks.size() > team->maxQueueTasks) {
        return {ErrorKind::QuotaExceeded, "the team's queue is full", QueueFullRetryAfter};
    }
    const auto found = d->services.find(job.service);
    const auto use = found == d->services.end() ? Private::ServiceUse{} : found->second;
    if (use.queuedBytes + bytes > service->maxQueueBytes.value()) {
        return {ErrorKind::QueueFull, "the queue is full by bytes", QueueFullRetryAfter};
    }
    if (use.queued + job.tasks.size() > service->maxQueueTasks) {
        return {ErrorKind::QueueFull, "the queue is full by tasks", QueueFullRetryAfter};
    }
    return {};
}

void Dispatcher::enqueue(MonotonicTime /*now*/, const JobSpecPointer &job, const std::vector<TaskIndex> &tasks, MonotonicTime deadline)
{
    if (tasks.empty()) {
        return;
    }
    d->queue.push_back({job, deadline, {tasks.begin(), tasks.end()}});
    for (const auto task : tasks) {
        d->countQueued(*job, task, 1);
    }
}

void Dispatcher::adopt(MonotonicTime /*now*/, const JobSpecPointer &job, TaskIndex task, const AgentName &agent)
{
    Private::PlacedTask placed{job, {}, agent, {}, roomOf(job->tasks[task.value()].size), true};
    if (const auto worker = d->workers.find(agent); worker != d->workers.end()) {
        placed.incarnation = worker->second.state.incarnation;
        worker->second.used += placed.room;
    }
    if (d->placed.emplace(TaskId{job->key, task}, std::move(placed)).second) {
        ++d->teams[job->team].placed;
    }
}

std::vector<TaskIndex> Dispatcher::cancel(const SubmissionKey &job)
{
    for (auto &[id, placed] : d->placed) {
        if (id.submission == job) {
            placed.adopted = true;
        }
    }
    std::vector<TaskIndex> tasks;
    for (auto queued = d->queue.begin(); queued != d->queue.end();) {
        if (queued->job->key != job) {
            ++queued;
            continue;
        }
        const auto taken = d->takeAll(*queued);
        tasks.insert(tasks.end(), taken.begin(), taken.end());
        queued = d->queue.erase(queued);
    }
    return tasks;
}

std::vector<TaskId> Dispatcher::expire(MonotonicTime now)
{
    std::vector<TaskId> tasks;
    for (auto queued = d->queue.begin(); queued != d->queue.end();) {
        if (queued->deadline > now) {
            ++queued;
            continue;
        }
        for (const auto task : d->takeAll(*queued)) {
            tasks.push_back({queued->job->key, task});
        }
        queued = d->queue.erase(queued);
    }
    return tasks;
}

std::vector<Placement> Dispatcher::place(MonotonicTime now, std::uint64_t entropy)
{
    std::vector<Placement> placements;
    for (auto queued = d->queue.begin(); queued != d->queue.end();) {
        const auto &job = *queued->job;
        while (!queued->tasks.empty() && queued->deadline > now && d->teamHasRoom(job.team)) {
            const auto task = queued->tasks.front();
            const auto need = roomOf(job.tasks[task.value()].size);
            auto *worker = d->chooseWorker(job.service, need, entropy + placements.size());
            if (worker == nullptr) {
                break;
            }
            queued->tasks.pop_front();
            d->countQueued(job, task, -1);
            ++d->teams[job.team].placed;
            worker->used += need;
            const TaskId id{job.key, task};
            d->placed[id] = {queued->job, queued->deadline, worker->state.agent, worker->state.incarnation, need, false};
            placements.push_back({id, worker->state.agent, worker->state.incarnation});
        }
        queued = queued->tasks.empty() ? d->queue.erase(queued) : std::next(queued);
    }
    return placements;
}

bool Dispatcher::ended(MonotonicTime now, const TaskId &task, const PlacementEnd &end)
{
    const auto found = d->placed.find(task);
    if (found == d->placed.end()) {
        return false;
    }
    const auto placed = std::move(found->second);
    d->placed.erase(found);
    --d->teams[placed.job->team].placed;
    if (const auto worker = d->workers.find(placed.agent); worker != d->workers.end()) {
        worker->second.used -= placed.room;
    }
    if (end.kind != PlacementEnd::Kind::NotStarted || placed.adopted || placed.deadline <= now) {
        return false;
    }
    d->putBack(placed.job, task.index, placed.deadline);
    return true;
}

Duration Dispatcher::expectedRunTime(const ServiceName & /*service*/, const TaskKind & /*kind*/, Duration declared) const
{
    return declared;
}

std::optional<MonotonicTime> Dispatcher::nextWake() const
{
    std::optional<MonotonicTime> wake;
    for (const auto &queued : d->queue) {
        wake = wake ? std::min(*wake, queued.deadline) : queued.deadline;
    }
    return wake;
}

std::uint32_t Dispatcher::queuedTasks() const
{
    return d->queuedTasks;
}

std::uint32_t Dispatcher::placedTasks() const
{
    return static_cast<std::uint32_t>(d->placed.size());
}

bool Dispatcher::isEjected(const AgentName & /*agent*/) const
{
    return false;
}

} // namespace Sycamoremoor
