// Property simulation: performs the outputs of entries.
#include "simulation.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr Duration PeerTimeout = std::chrono::seconds(3);
constexpr Duration ForwardTimeout = std::chrono::seconds(45);
constexpr Duration PlatformTimeout = std::chrono::seconds(3);
constexpr std::uint16_t EntryPort = 1000;
constexpr std::uint16_t AgentPort = 2000;

} // namespace

template<typename Machine, typename Settings>
StepContext Simulation::context(Process<Machine, Settings> &process)
{
    const WallTime wall{std::chrono::hours(500'000) + m_now.time_since_epoch() + process.clockSkew};
    return {m_now + process.clockOffset, wall, m_network.random().next()};
}

void Simulation::feedEntry(std::size_t index, EntryInput input)
{
    auto &process = m_entries[index];
    if (!process.machine) {
        return;
    }
    EntryOutputs outputs;
    process.machine->step(context(process), std::move(input), outputs);
    for (auto &output : outputs) {
        if (process.machine) {
            carryOut(index, output);
        }
    }
}

void Simulation::carryOut(std::size_t entry, EntryOutput &output)
{
    std::visit(
        [this, entry](auto &value) {
            using Output = std::decay_t<decltype(value)>;
            if constexpr (std::is_same_v<Output, SendToAgent>) {
                sendToAgent(entry, value);
            } else if constexpr (std::is_same_v<Output, SendToPeer>) {
                sendToPeer(entry, value);
            } else if constexpr (std::is_same_v<Output, AnswerJob>) {
                answerJob(value.connection, value.answer);
            } else if constexpr (std::is_same_v<Output, AnswerStatus>) {
                answerStatus(value);
            } else if constexpr (std::is_same_v<Output, AnswerAgentHeartbeat>) {
                answerExchange(value.connection, [this, reply = value.reply](SimulationPeer client) {
                    feedAgent(client.index, HeartbeatReplyReceived{reply});
                });
            } else if constexpr (std::is_same_v<Output, AnswerLedgerReport>) {
                answerExchange(value.connection,
                               [this, reply = value.reply](SimulationPeer client) { feedAgent(client.index, LedgerReplyReceived{reply}); });
            } else if constexpr (std::is_same_v<Output, AnswerPeerHeartbeat>) {
                answerExchange(value.connection, [this, reply = value.reply](SimulationPeer client) {
                    feedEntry(client.index, PeerHeartbeatReplyReceived{reply});
                });
            } else if constexpr (std::is_same_v<Output, AnswerOwnerQuery>) {
                answerExchange(value.connection, [this, reply = value.reply](SimulationPeer client) {
                    feedEntry(client.index, OwnerQueryReplyReceived{reply});
                });
            } else if constexpr (std::is_same_v<Output, AnswerHandover>) {
                answerExchange(value.connection, [this, reply = value.reply](SimulationPeer client) {
                    feedEntry(client.index, HandoverReplyReceived{reply});
                });
            } else if constexpr (std::is_same_v<Output, ReadHead>) {
                const auto requestedAt = m_now + m_entries[entry].clockOffset;
                callPlatform(
                    entry, false, [this, requestedAt] { return m_platform.readHead(requestedAt); }, HeadReadFailed{requestedAt});
            } else if constexpr (std::is_same_v<Output, WriteRoster>) {
                callPlatform(
                    entry,
                    true,
                    [this, value] { return m_platform.write(value); },
                    RosterWriteEnded{value.roster->epoch, WriteOutcome::Unknown});
            } else if constexpr (std::is_same_v<Output, ReadConfig> || std::is_same_v<Output, ReadSlotAgents>) {
                callPlatform(
                    entry, false, [this, value] { return m_platform.read(value); }, std::nullopt);
            } else if constexpr (std::is_same_v<Output, WriteSlotAgents>) {
                callPlatform(
                    entry,
                    true,
                    [this, value] { return m_platform.write(value); },
                    SlotAgentsWriteEnded{value.slot, WriteOutcome::Unknown, 0});
            } else if constexpr (std::is_same_v<Output, SetTimer>) {
                setTimer({SimulationRole::Entry, entry}, value.at);
            } else if constexpr (std::is_same_v<Output, Stopped>) {
                endProcess({SimulationRole::Entry, entry}, true);
            }
        },
        output);
}

template<typename PlatformCall>
void Simulation::callPlatform(std::size_t entry, bool isWrite, PlatformCall call, const std::optional<EntryInput> &failure)
{
    const SimulationPeer self{SimulationRole::Entry, entry};
    const auto fail = [this, entry, incarnationNumber = incarnationNumberOf(self), failure] {
        if (failure && isCurrent({SimulationRole::Entry, entry}, incarnationNumber)) {
            feedEntry(entry, *failure);
        }
    };
    // The call ends once, by the platform's answer or by the timeout.
    const auto answered = std::make_shared<bool>(false);
    m_network.schedule(m_now + PlatformTimeout, self, [fail, answered] {
        if (!std::exchange(*answered, true)) {
            fail();
        }
    });
    SimulationMessage message;
    message.from = self;
    message.to = {SimulationRole::Platform, 0};
    message.isSingle = true;
    message.deliver = [this, self, incarnationNumber = incarnationNumberOf(self), call, answered, isWrite] {
        if (m_platform.isDown()) {
            return;
        }
        const auto answerDelay = m_platform.answerDelay(m_network.random());
        m_network.schedule(m_now + answerDelay, {SimulationRole::Platform, 0}, [this, self, incarnationNumber, call, answered, isWrite] {
            const EntryInput answer = call();
            if (isWrite && m_platform.losesAnswer(m_network.random())) {
                return;
            }
            SimulationMessage reply;
            reply.from = {SimulationRole::Platform, 0};
            reply.to = self;
            reply.isSingle = true;
            reply.deliver = [this, self, incarnationNumber, answer, answered] {
                if (isCurrent(self, incarnationNumber) && !std::exchange(*answered, true)) {
                    feedEntry(self.index, answer);
                }
            };
            m_network.send(m_now, std::move(reply));
        });
    };
    m_network.send(m_now, std::move(message));
}

void Simulation::sendToAgent(std::size_t entry, const SendToAgent &output)
{
    const SimulationPeer self{SimulationRole::Entry, entry};
    const SimulationPeer agent{SimulationRole::Agent, static_cast<std::size_t>(output.endpoint.port - AgentPort)};
    AgentExchange exchange;
    exchange.entry = entry;
    exchange.entryIncarnationNumber = incarnationNumberOf(self);
    exchange.agent = agent.index;
    AgentInput input;
    std::visit(
        [&exchange, &input](const auto &message) {
            using Message = std::decay_t<decltype(message)>;
            exchange.agentIncarnation = message.agentIncarnation;
            if constexpr (std::is_same_v<Message, StartTasks>) {
                std::ranges::transform(message.tasks, std::back_inserter(exchange.tasks), &StartTask::task);
                input = StartTasksReceived{message};
            } else if constexpr (std::is_same_v<Message, StopTasks>) {
                exchange.tasks = message.tasks;
                input = StopTasksReceived{message};
            } else {
                exchange.tasks = message.tasks;
                input = QueryTasksReceived{message};
            }
        },
        output.message);
    request(
        self,
        agent,
        [this, agent, input, exchange] {
            m_agentExchanges.push_back(exchange);
            feedAgent(agent.index, input);
        },
        [this, entry, name = output.agent, exchange](Delivery delivery) {
            feedEntry(entry, AgentSendFailed{name, exchange.agentIncarnation, delivery, exchange.tasks});
        });
}

void Simulation::sendToPeer(std::size_t entry, const SendToPeer &output)
{
    const SimulationPeer self{SimulationRole::Entry, entry};
    const SimulationPeer peer{SimulationRole::Entry, static_cast<std::size_t>(output.endpoint.port - EntryPort)};
    const auto fail = [this, entry, name = output.peer, caller = output.connection](Delivery delivery) {
        feedEntry(entry, PeerSendFailed{name, delivery, caller});
    };
    Exchange exchange;
    exchange.client = self;
    exchange.server = peer;
    exchange.fail = fail;
    const bool isForward = output.connection.has_value();
    const auto connection = openExchange(std::move(exchange), isForward ? ForwardTimeout : PeerTimeout);
    if (isForward) {
        m_forwards[connection] = *output.connection;
    }
    request(
        self,
        peer,
        [this, from = entry, to = peer.index, output, connection] { receiveFromPeer(from, to, output, connection); },
        [this, connection](Delivery delivery) {
            if (const auto found = m_exchanges.find(connection); found != m_exchanges.end()) {
                const auto failed = std::move(found->second);
                m_exchanges.erase(found);
                failed.fail(delivery);
            }
        });
}

void Simulation::receiveFromPeer(std::size_t from, std::size_t to, const SendToPeer &output, ConnectionId connection)
{
    std::visit(
        [this, from, to, connection](const auto &message) {
            using Message = std::decay_t<decltype(message)>;
            if constexpr (std::is_same_v<Message, PeerHeartbeat>) {
                feedEntry(to, PeerHeartbeatReceived{connection, message});
            } else if constexpr (std::is_same_v<Message, OwnerQuery>) {
                feedEntry(to, OwnerQueryReceived{connection, message});
            } else if constexpr (std::is_same_v<Message, Handover>) {
                feedEntry(to, HandoverReceived{connection, message});
            } else if constexpr (std::is_same_v<Message, ForwardJob>) {
                feedEntry(to, JobSubmitted{connection, message.job, m_entries[from].settings.name, message.rosterEpoch});
            } else if constexpr (std::is_same_v<Message, ForwardCancel>) {
                feedEntry(to, CancelRequested{connection, message.key, true});
            } else {
                feedEntry(to, StatusRequested{connection, message.key, true});
            }
        },
        output.message);
}

void Simulation::answerExchange(ConnectionId connection, const std::function<void(SimulationPeer client)> &deliver)
{
    const auto found = m_exchanges.find(connection);
    if (found == m_exchanges.end()) {
        return;
    }
    const auto &exchange = found->second;
    SimulationMessage message;
    message.from = exchange.server;
    message.to = exchange.client;
    message.deliver = [this, connection, client = exchange.client, incarnationNumber = exchange.clientIncarnationNumber, deliver] {
        m_exchanges.erase(connection);
        if (client.role == SimulationRole::Outside || isCurrent(client, incarnationNumber)) {
            deliver(client);
        }
    };
    m_network.send(m_now, std::move(message));
}

void Simulation::answerJob(ConnectionId connection, const JobAnswerPointer &answer)
{
    if (const auto caller = m_callers.find(connection); caller != m_callers.end()) {
        answerExchange(connection, [this, connection, answer](SimulationPeer /*client*/) {
            if (const auto found = m_callers.find(connection); found != m_callers.end()) {
                const auto call = found->second;
                m_callers.erase(found);
                answerCall(call, *answer);
            }
        });
        return;
    }
    if (const auto forward = m_forwards.find(connection); forward != m_forwards.end()) {
        answerExchange(connection, [this, caller = forward->second, answer](SimulationPeer client) {
            feedEntry(client.index, ForwardAnswered{caller, answer});
        });
    }
}

void Simulation::answerStatus(const AnswerStatus &output)
{
    if (const auto forward = m_forwards.find(output.connection); forward != m_forwards.end()) {
        answerExchange(output.connection, [this, caller = forward->second, output](SimulationPeer client) {
            feedEntry(client.index, ForwardStatusAnswered{caller, output.error, output.status});
        });
        return;
    }
    answerExchange(output.connection, [](SimulationPeer /*client*/) {});
}

template StepContext Simulation::context(AgentProcess &process);

} // namespace Sycamoremoor
