// Callers of the property simulation: they submit, resubmit, cancel and pass their answers to the checker.
#include "simulation.h"

#include <string>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr Duration CallTimeout = std::chrono::seconds(60); ///< after which a caller disconnects
constexpr Duration JobDeadline = std::chrono::seconds(20);
constexpr std::uint32_t MaxTasks = 5;

std::string payloadOf(const SubmissionKey &key, const char *body, std::uint32_t index)
{
    return key.toString() + body + std::to_string(index);
}

std::shared_ptr<JobSpec> makeSpec(const SubmissionKey &key, const char *body, std::uint32_t tasks, std::uint32_t shape)
{
    auto job = std::make_shared<JobSpec>();
    job->key = key;
    job->service = ServiceName("reclaim-desk");
    job->team = TeamName("intake");
    job->deadline = JobDeadline;
    job->digest = std::hash<std::string>()(payloadOf(key, body, tasks));
    for (std::uint32_t index = 0; index < tasks; ++index) {
        TaskSpec task;
        task.payload = payloadOf(key, body, index);
        task.declaredRunTime = std::chrono::milliseconds(100);
        task.idempotent = (shape & 1U) == 0;
        if ((shape & 31U) == 31U && index + 1 == tasks) {
            task.kind = TaskKind("failing");
        }
        job->tasks.push_back(std::move(task));
    }
    return job;
}

} // namespace

JobSpecPointer Simulation::makeJob(std::uint32_t shape)
{
    auto &random = m_network.random();
    // A caller's clock is skewed too, by less than half of the bound on the skew between two clocks.
    const auto skew = std::chrono::milliseconds(random.below(1'800)) - std::chrono::milliseconds(900);
    const WallTime made{std::chrono::hours(500'000) + m_now.time_since_epoch() + skew};
    const auto key = SubmissionKey::create(made, random.next(), random.next());
    return makeSpec(key, " first ", 1 + shape % MaxTasks, shape);
}

JobSpecPointer Simulation::makeConflict(const JobSpec &job)
{
    return makeSpec(job.key, " other ", static_cast<std::uint32_t>(job.tasks.size()), 0);
}

void Simulation::addCall(std::size_t entry, JobSpecPointer job)
{
    m_calls.push_back({std::move(job), std::nullopt, false});
    submit(entry, m_calls.size() - 1);
}

void Simulation::submit(std::size_t entry, std::size_t position)
{
    auto &call = m_calls[position];
    const SimulationPeer outside{SimulationRole::Outside, 0};
    const SimulationPeer server{SimulationRole::Entry, entry};
    m_checker.submitted(*call.job);
    Exchange exchange;
    exchange.client = outside;
    exchange.server = server;
    exchange.fail = [this, position](Delivery /*delivery*/) {
        m_calls[position].openConnection.reset();
    };
    const auto connection = openExchange(std::move(exchange), CallTimeout);
    call.openConnection = connection;
    m_callers[connection] = position;
    const auto disconnect = [this, position, connection](Delivery /*delivery*/) {
        if (m_calls[position].openConnection == connection) {
            m_calls[position].openConnection.reset();
        }
    };
    request(
        outside,
        server,
        [this, entry, connection, job = call.job] {
            feedEntry(entry, JobSubmitted{connection, job, std::nullopt, {}});
        },
        disconnect);
}

void Simulation::answerCall(std::size_t index, const JobAnswer &answer)
{
    auto &call = m_calls[index];
    m_checker.answered(*call.job, answer);
    const bool complete = answer.error == ErrorKind::None;
    // An account means that the job was accepted and has ended; without one it was refused and may be submitted again.
    const bool ended = complete || !answer.account.empty();
    call.hasFinalAnswer = call.hasFinalAnswer || ended || !errorRow(answer.error).retryIsSafe;
    call.openConnection.reset();
}

void Simulation::cancel(std::size_t entry, const SubmissionKey &key)
{
    Exchange exchange;
    exchange.client = {SimulationRole::Outside, 0};
    exchange.server = {SimulationRole::Entry, entry};
    exchange.fail = [](Delivery /*delivery*/) {
    };
    const auto connection = openExchange(exchange, CallTimeout);
    request(exchange.client,
            exchange.server,
            [this, entry, connection, key] {
                feedEntry(entry, CancelRequested{connection, key, false});
            },
            {});
}

void Simulation::retryCalls()
{
    for (std::size_t position = 0; position < m_calls.size(); ++position) {
        if (!m_calls[position].hasFinalAnswer && !m_calls[position].openConnection) {
            submit(m_network.random().below(m_entries.size()), position);
        }
    }
}

} // namespace Sycamoremoor
