// Fake agents: heartbeats, ledgers, starts and reports.
#include "entry_fleet.h"

#include <algorithm>

namespace Sycamoremoor
{

void EntryFleet::heartbeats()
{
    for (std::size_t index = 0; index < agents.size(); ++index) {
        if (agents[index].alive) {
            heartbeat(index);
        }
    }
}

EntryName EntryFleet::homeOf(const FakeAgent &agent) const
{
    if (agent.roster != nullptr && !agent.wanders) {
        if (const auto slot = assignedSlot(*agent.roster, agent.name, settings.zone, settings.region)) {
            const auto &owner = agent.roster->slots[slot->value()].owner;
            if (reaches(agent.name.value(), owner) && !m_nodes.at(owner).paused) {
                return owner;
            }
        }
    }
    auto node = m_nodes.begin();
    std::advance(node, static_cast<std::ptrdiff_t>(agent.seed % m_nodes.size()));
    return node->first;
}

void EntryFleet::heartbeat(std::size_t index)
{
    auto &agent = agents[index];
    const auto home = homeOf(agent);
    if (!reaches(agent.name.value(), home) || m_nodes.at(home).paused) {
        ++agent.seed;
        return;
    }
    AgentHeartbeat message;
    message.agent = agent.name;
    message.incarnation = agent.incarnation;
    message.startedAt = agent.startedAt;
    message.endpoint = Endpoint{agent.name.value(), 2};
    message.upstream = Endpoint{agent.name.value(), 3};
    message.zone = settings.zone;
    message.region = settings.region;
    message.service = ServiceName("reclaim-desk");
    message.stamp = AgentStamp(++agent.stamp);
    message.rosterEpoch = agent.roster == nullptr ? Epoch() : agent.roster->epoch;
    message.configRevision = agent.configRevision;
    for (const auto &[id, report] : agent.ledger) {
        message.running += isFinal(report.state) ? 0 : 1;
    }
    message.heldForOwner = message.running;
    message.receiver = m_nodes.at(home).settings.incarnation;
    const auto connection = open();
    m_heartbeats[connection] = index;
    post(home, AgentHeartbeatReceived{connection, std::move(message)});
}

void EntryFleet::learnRoster(FakeAgent &agent, const std::shared_ptr<const RosterRecord> &roster)
{
    if (roster == nullptr || (agent.roster != nullptr && agent.roster->epoch >= roster->epoch)) {
        return;
    }
    agent.roster = roster;
    const auto &slot = roster->slots.front();
    if (slot.token <= agent.token || !agent.reportsLedgers) {
        return;
    }
    agent.token = slot.token;
    if (!reaches(agent.name.value(), slot.owner)) {
        return;
    }
    LedgerReport report;
    report.agent = agent.name;
    report.incarnation = agent.incarnation;
    report.startedAt = agent.startedAt;
    report.token = slot.token;
    for (const auto &[id, entry] : agent.ledger) {
        report.entries.push_back(entry);
    }
    post(slot.owner, LedgerReportReceived{open(), std::move(report)});
}

void EntryFleet::agentReceives(const EntryName &from, const SendToAgent &send)
{
    const auto agent = std::ranges::find(agents, send.agent, &FakeAgent::name);
    const auto *starts = std::get_if<StartTasks>(&send.message);
    startMessages += starts != nullptr ? 1 : 0;
    if (!agent->alive || isCut(from.value(), agent->name.value())) {
        AgentSendFailed failure;
        failure.agent = send.agent;
        failure.incarnation = agent->incarnation;
        failure.delivery = Delivery::NotSent;
        std::visit(
            [&](const auto &message) {
                for (const auto &task : message.tasks) {
                    if constexpr (std::is_same_v<std::decay_t<decltype(task)>, TaskId>) {
                        failure.tasks.push_back(task);
                    } else {
                        failure.tasks.push_back(task.task);
                    }
                }
            },
            send.message);
        post(from, std::move(failure));
        return;
    }
    if (starts != nullptr) {
        if (!agent->dropsStarts) {
            agentStarts(*agent, from, *starts);
        }
        return;
    }
    std::vector<TaskReport> reports;
    if (const auto *query = std::get_if<QueryTasks>(&send.message)) {
        ++queryMessages;
        for (const auto &id : query->tasks) {
            const auto known = agent->ledger.contains(id);
            reports.push_back(known ? agent->ledger.at(id) : endTask(*agent, id));
        }
    } else if (const auto *stop = std::get_if<StopTasks>(&send.message)) {
        for (const auto &id : stop->tasks) {
            auto &report = agent->ledger[id];
            if (report.state == TaskState::Running) {
                report.state = TaskState::Stopped;
                report.error = stop->reason;
            }
            report.task = id;
            reports.push_back(report);
        }
    }
    agentTells(*agent, from, std::move(reports));
}

void EntryFleet::agentStarts(FakeAgent &agent, const EntryName &from, const StartTasks &message)
{
    std::vector<TaskReport> reports;
    for (const auto &start : message.tasks) {
        TaskReport report;
        report.task = start.task;
        if (message.agentIncarnation != agent.incarnation) {
            report.error = ErrorKind::WrongIncarnation;
        } else if (message.claim.token < agent.token) {
            report.error = ErrorKind::OwnerFenced;
        } else if (agent.ledger.contains(start.task)) {
            report = agent.ledger.at(start.task);
        } else {
            agent.token = message.claim.token;
            agent.starts.push_back(start.task);
            report.state = TaskState::Running;
            report.ran = RunState::Ran;
            report.startedAt = wall;
            agent.ledger[start.task] = report;
            if (!agent.holds) {
                report = endTask(agent, start.task);
            }
        }
        if (isFinal(report.state)) {
            reports.push_back(report);
        }
    }
    agentTells(agent, from, std::move(reports));
}

TaskReport &EntryFleet::endTask(FakeAgent &agent, const TaskId &task)
{
    auto &report = agent.ledger[task];
    report.task = task;
    if (report.state == TaskState::Running) {
        report.state = agent.outcome;
        report.error = agent.outcome == TaskState::Failed ? ErrorKind::TaskFailed : ErrorKind::None;
        report.result = "result " + std::to_string(task.index.value()) + " of " + task.submission.toString();
        report.finishedAt = wall;
    }
    return report;
}

void EntryFleet::agentTells(FakeAgent &agent, const EntryName &to, std::vector<TaskReport> reports)
{
    if (reports.empty() || !reaches(agent.name.value(), to)) {
        return;
    }
    for (auto &report : reports) {
        report.sequence = isFinal(report.state) ? ReportSequence(++agent.sequence[to]) : ReportSequence();
    }
    post(to,
         TaskReportsReceived{TaskReports{agent.name, agent.incarnation, m_nodes.at(to).settings.incarnation, 0, 0, std::move(reports)}});
}

void EntryFleet::release(std::size_t index, const std::optional<EntryName> &owner)
{
    auto &agent = agents[index];
    agent.holds = false;
    std::vector<TaskReport> reports;
    for (auto &[id, entry] : agent.ledger) {
        if (entry.state == TaskState::Running) {
            reports.push_back(endTask(agent, id));
        }
    }
    const EntryName known = agent.roster == nullptr ? EntryName() : agent.roster->slots.front().owner;
    agentTells(agent, owner.value_or(known), std::move(reports));
}

} // namespace Sycamoremoor
