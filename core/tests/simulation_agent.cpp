// Property simulation: performs the outputs of agents and simulates their runners.
#include "simulation.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace Sycamoremoor
{

namespace
{

using std::chrono::milliseconds;

constexpr Duration HeartbeatTimeout = std::chrono::seconds(2);
constexpr std::uint64_t MaxRunTime = 1'500'000; ///< microseconds
constexpr std::uint16_t EntryPort = 1000;

} // namespace

void Simulation::feedAgent(std::size_t index, AgentInput input)
{
    auto &process = m_agents[index];
    if (!process.machine) {
        return;
    }
    AgentOutputs outputs;
    process.machine->step(context(process), std::move(input), outputs);
    for (auto &output : outputs) {
        if (process.machine) {
            carryOut(index, output);
        }
    }
}

template<typename RunnerCall>
void Simulation::callRunner(std::size_t agent, RunnerCall runnerCall, const std::function<void(Delivery)> &fail)
{
    const SimulationPeer self{SimulationRole::Agent, agent};
    const SimulationPeer runner{SimulationRole::Runner, agent};
    request(
        self,
        runner,
        [this, self, agent, incarnationNumber = incarnationNumberOf(self), runnerCall = std::move(runnerCall)] {
            const AgentInput answer = runnerCall();
            request({SimulationRole::Runner, agent},
                    self,
                    [this, self, agent, incarnationNumber, answer] {
                        if (isCurrent(self, incarnationNumber)) {
                            feedAgent(agent, answer);
                        }
                    },
                    {});
        },
        fail);
}

void Simulation::carryOut(std::size_t agent, AgentOutput &output)
{
    std::visit(
        [this, agent](auto &value) {
            using Output = std::decay_t<decltype(value)>;
            auto &runner = m_runners[agent];
            const auto unreachable = [this, agent](Delivery delivery) {
                feedAgent(agent, UpstreamUnreachable{delivery});
            };
            if constexpr (std::is_same_v<Output, SendHeartbeat>) {
                sendHeartbeat(agent, value);
            } else if constexpr (std::is_same_v<Output, SendLedgerReport>) {
                sendLedger(agent, value);
            } else if constexpr (std::is_same_v<Output, ReportToOwner>) {
                sendReports(agent, value);
            } else if constexpr (std::is_same_v<Output, StartOnUpstream>) {
                startOnRunner(agent, value);
            } else if constexpr (std::is_same_v<Output, StopOnUpstream>) {
                request({SimulationRole::Agent, agent},
                        {SimulationRole::Runner, agent},
                        [this, agent, task = value.task] {
                            m_runners[agent].stop(m_now, task);
                            reportTaskEnd(agent, m_agents[agent].incarnationNumber, m_runners[agent].incarnationNumber(), task);
                        },
                        {});
            } else if constexpr (std::is_same_v<Output, QueryUpstream>) {
                callRunner(
                    agent, [this, &runner, task = value.task] { return runner.state(m_now, task); }, unreachable);
            } else if constexpr (std::is_same_v<Output, ProbeUpstream>) {
                callRunner(
                    agent, [&runner] { return runner.health(); }, unreachable);
            } else if constexpr (std::is_same_v<Output, SetTimer>) {
                setTimer({SimulationRole::Agent, agent}, value.at);
            } else if constexpr (std::is_same_v<Output, Stopped>) {
                endProcess({SimulationRole::Agent, agent}, true);
            }
        },
        output);
}

void Simulation::sendHeartbeat(std::size_t agent, const SendHeartbeat &output)
{
    const SimulationPeer self{SimulationRole::Agent, agent};
    const SimulationPeer entry{SimulationRole::Entry, static_cast<std::size_t>(output.entry.port - EntryPort)};
    const auto fail = [this, agent, endpoint = output.entry](Delivery /*delivery*/) {
        feedAgent(agent, HeartbeatFailed{endpoint});
    };
    Exchange exchange;
    exchange.client = self;
    exchange.server = entry;
    exchange.fail = fail;
    const auto connection = openExchange(std::move(exchange), HeartbeatTimeout);
    request(
        self,
        entry,
        [this, entry, connection, heartbeat = output.heartbeat] {
            feedEntry(entry.index, AgentHeartbeatReceived{connection, heartbeat});
        },
        [this, connection, fail](Delivery delivery) {
            if (m_exchanges.erase(connection) > 0) {
                fail(delivery);
            }
        });
}

void Simulation::sendLedger(std::size_t agent, const SendLedgerReport &output)
{
    Exchange exchange;
    exchange.client = {SimulationRole::Agent, agent};
    exchange.server = {SimulationRole::Entry, static_cast<std::size_t>(output.entry.port - EntryPort)};
    exchange.fail = [](Delivery /*delivery*/) {
    };
    const auto connection = openExchange(exchange, HeartbeatTimeout);
    request(exchange.client,
            exchange.server,
            [this, entry = exchange.server.index, connection, report = output.report] {
                feedEntry(entry, LedgerReportReceived{connection, report});
            },
            {});
}

void Simulation::sendReports(std::size_t agent, const ReportToOwner &output)
{
    const auto found
        = std::ranges::find_if(m_entries, [&output](const EntryProcess &process) { return process.settings.name == output.owner; });
    const auto entry = static_cast<std::size_t>(found - m_entries.begin());
    const auto deliver = [this, agent, entry, reports = output.reports] {
        for (auto &exchange : m_agentExchanges) {
            if (exchange.agent == agent && exchange.entry == entry) {
                std::erase_if(exchange.tasks, [&reports](const TaskId &task) {
                    return std::ranges::any_of(reports.reports,
                                               [&task](const TaskReport &report) { return report.task == task && isFinal(report.state); });
                });
            }
        }
        std::erase_if(m_agentExchanges, [](const AgentExchange &exchange) { return exchange.tasks.empty(); });
        feedEntry(entry, TaskReportsReceived{reports});
    };
    request({SimulationRole::Agent, agent},
            {SimulationRole::Entry, entry},
            deliver,
            [this, agent, owner = output.owner](Delivery /*delivery*/) { feedAgent(agent, ReportsFailed{owner}); });
}

void Simulation::startOnRunner(std::size_t agent, const StartOnUpstream &output)
{
    const auto agentIncarnationNumber = m_agents[agent].incarnationNumber;
    const Duration runTime(1'000 + m_network.random().below(MaxRunTime));
    request(
        {SimulationRole::Agent, agent},
        {SimulationRole::Runner, agent},
        [this, agent, agentIncarnationNumber, output, runTime] {
            auto &runner = m_runners[agent];
            runner.start(m_now, output.task, output.spec, runTime);
            const auto incarnationNumber = runner.incarnationNumber();
            m_network.schedule(m_now + runTime,
                               {SimulationRole::Runner, agent},
                               [this, agent, agentIncarnationNumber, incarnationNumber, task = output.task] {
                                   reportTaskEnd(agent, agentIncarnationNumber, incarnationNumber, task);
                               });
        },
        [this, agent, task = output.task](Delivery delivery) {
            feedAgent(agent, UpstreamStartFailed{task, delivery});
        });
}

void Simulation::reportTaskEnd(std::size_t agent,
                               std::uint64_t agentIncarnationNumber,
                               std::uint64_t runnerIncarnationNumber,
                               const TaskId &task)
{
    const SimulationPeer self{SimulationRole::Agent, agent};
    const SimulationPeer runner{SimulationRole::Runner, agent};
    if (!isCurrent(self, agentIncarnationNumber)) {
        return;
    }
    if (!isCurrent(runner, runnerIncarnationNumber)) {
        feedAgent(agent, UpstreamStartFailed{task, Delivery::Unknown});
        return;
    }
    const auto end = m_runners[agent].ended(m_now, task);
    if (!end) {
        return;
    }
    request(runner,
            self,
            [this, self, agentIncarnationNumber, end = *end] {
                if (isCurrent(self, agentIncarnationNumber)) {
                    feedAgent(self.index, end);
                }
            },
            {});
}

} // namespace Sycamoremoor
