// The property world carries out what agents ask for, and runs their runners.
#include "world.h"

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

void World::feedAgent(std::size_t index, AgentInput input)
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

template<typename Ask>
void World::callRunner(std::size_t agent, Ask ask, const std::function<void(Delivery)> &fail)
{
    const WorldPeer self{WorldRole::Agent, agent};
    const WorldPeer runner{WorldRole::Runner, agent};
    request(
        self,
        runner,
        [this, self, agent, life = lifeOf(self), ask = std::move(ask)] {
            const AgentInput answer = ask();
            request({WorldRole::Runner, agent},
                    self,
                    [this, self, agent, life, answer] {
                        if (isLife(self, life)) {
                            feedAgent(agent, answer);
                        }
                    },
                    {});
        },
        fail);
}

void World::carryOut(std::size_t agent, AgentOutput &output)
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
                request({WorldRole::Agent, agent},
                        {WorldRole::Runner, agent},
                        [this, agent, task = value.task] {
                            m_runners[agent].stop(m_now, task);
                            runnerEnds(agent, m_agents[agent].life, m_runners[agent].life(), task);
                        },
                        {});
            } else if constexpr (std::is_same_v<Output, QueryUpstream>) {
                callRunner(
                    agent, [this, &runner, task = value.task] { return runner.state(m_now, task); }, unreachable);
            } else if constexpr (std::is_same_v<Output, ProbeUpstream>) {
                callRunner(
                    agent, [&runner] { return runner.health(); }, unreachable);
            } else if constexpr (std::is_same_v<Output, SetTimer>) {
                setTimer({WorldRole::Agent, agent}, value.at);
            } else if constexpr (std::is_same_v<Output, Stopped>) {
                endLife({WorldRole::Agent, agent}, true);
            }
        },
        output);
}

void World::sendHeartbeat(std::size_t agent, const SendHeartbeat &output)
{
    const WorldPeer self{WorldRole::Agent, agent};
    const WorldPeer entry{WorldRole::Entry, static_cast<std::size_t>(output.entry.port - EntryPort)};
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

void World::sendLedger(std::size_t agent, const SendLedgerReport &output)
{
    Exchange exchange;
    exchange.client = {WorldRole::Agent, agent};
    exchange.server = {WorldRole::Entry, static_cast<std::size_t>(output.entry.port - EntryPort)};
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

void World::sendReports(std::size_t agent, const ReportToOwner &output)
{
    const auto found
        = std::ranges::find_if(m_entries, [&output](const EntryProcess &process) { return process.settings.name == output.owner; });
    const auto entry = static_cast<std::size_t>(found - m_entries.begin());
    const auto carry = [this, agent, entry, reports = output.reports] {
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
    request({WorldRole::Agent, agent}, {WorldRole::Entry, entry}, carry, [this, agent, owner = output.owner](Delivery /*delivery*/) {
        feedAgent(agent, ReportsFailed{owner});
    });
}

void World::startOnRunner(std::size_t agent, const StartOnUpstream &output)
{
    const auto agentLife = m_agents[agent].life;
    const Duration runTime(1'000 + m_network.random().below(MaxRunTime));
    request(
        {WorldRole::Agent, agent},
        {WorldRole::Runner, agent},
        [this, agent, agentLife, output, runTime] {
            auto &runner = m_runners[agent];
            runner.start(m_now, output.task, output.spec, runTime);
            const auto life = runner.life();
            m_network.schedule(m_now + runTime, {WorldRole::Runner, agent}, [this, agent, agentLife, life, task = output.task] {
                runnerEnds(agent, agentLife, life, task);
            });
        },
        [this, agent, task = output.task](Delivery delivery) {
            feedAgent(agent, UpstreamStartFailed{task, delivery});
        });
}

void World::runnerEnds(std::size_t agent, std::uint64_t agentLife, std::uint64_t runnerLife, const TaskId &task)
{
    const WorldPeer self{WorldRole::Agent, agent};
    const WorldPeer runner{WorldRole::Runner, agent};
    if (!isLife(self, agentLife)) {
        return;
    }
    if (!isLife(runner, runnerLife)) {
        feedAgent(agent, UpstreamStartFailed{task, Delivery::Unknown});
        return;
    }
    const auto end = m_runners[agent].ended(m_now, task);
    if (!end) {
        return;
    }
    request(runner,
            self,
            [this, self, agentLife, end = *end] {
                if (isLife(self, agentLife)) {
                    feedAgent(self.index, end);
                }
            },
            {});
}

} // namespace Sycamoremoor
