// Delivers what entries say to each other, to fake agents and to a fake platform.
#include "entry_fleet.h"

#include "entry_trace.h"

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

constexpr Duration HeartbeatInterval = std::chrono::seconds(1);
constexpr Duration TaskRunTime = std::chrono::milliseconds(100);

} // namespace

EntryFleet::EntryFleet(std::size_t entries, std::size_t agentCount)
{
    auto config = std::make_shared<ConfigSet>();
    config->revision = Revision(1);
    config->author = "operator";
    config->services[ServiceName("reclaim-desk")].name = ServiceName("reclaim-desk");
    config->teams[TeamName("intake")].name = TeamName("intake");
    platform.config = std::move(config);
    settings.zone = ZoneName("trnava-a");
    settings.region = RegionName("sk-west");
    for (std::size_t index = 0; index < agentCount; ++index) {
        FakeAgent agent;
        agent.name = AgentName("agent-" + std::to_string(index + 1));
        agent.startedAt = wall - std::chrono::hours(1);
        agents.push_back(std::move(agent));
    }
    for (std::size_t index = 0; index < entries; ++index) {
        start("entry-" + std::to_string(index + 1));
    }
}

void EntryFleet::start(const std::string &name)
{
    auto &node = m_nodes[EntryName(name)];
    node = Node();
    node.settings = settings;
    node.settings.name = EntryName(name);
    node.settings.incarnation = Incarnation(m_nextIncarnation++);
    node.settings.endpoint = Endpoint{name, 1};
    for (const auto &[other, peer] : m_nodes) {
        if (other.value() != name) {
            node.settings.peerSeeds.push_back(Endpoint{other.value(), 1});
        }
    }
    node.machine = std::make_unique<EntryMachine>(node.settings);
    post(EntryName(name), Tick{});
}

void EntryFleet::kill(const std::string &name)
{
    m_nodes.at(EntryName(name)).machine.reset();
    std::erase_if(m_events, [&](const Event &event) { return event.to.value() == name; });
    std::erase_if(m_relays, [&](const auto &item) {
        const auto &[connection, relay] = item;
        const auto ownedHere = m_peerExchanges.contains(connection) && m_peerExchanges.at(connection).value() == name;
        if (ownedHere) {
            post(relay.first, PeerSendFailed{EntryName(name), Delivery::Unknown, relay.second});
        }
        return ownedHere;
    });
}

void EntryFleet::pause(const std::string &name)
{
    m_nodes.at(EntryName(name)).paused = true;
}

void EntryFleet::resume(const std::string &name)
{
    auto &node = m_nodes.at(EntryName(name));
    node.paused = false;
    for (auto &event : std::exchange(node.backlog, {})) {
        post(EntryName(name), std::move(event));
    }
}

void EntryFleet::cut(const std::string &one, const std::string &other, bool isCutNow)
{
    if (isCutNow) {
        m_cuts.insert(std::minmax(one, other));
    } else {
        m_cuts.erase(std::minmax(one, other));
    }
}

void EntryFleet::restartAgent(std::size_t index)
{
    auto &agent = agents[index];
    agent.incarnation = Incarnation(agent.incarnation.value() + 1);
    agent.startedAt = wall;
    agent.ledger.clear();
    agent.sequence.clear();
    agent.token = Epoch();
    agent.roster.reset();
    agent.alive = true;
}

void EntryFleet::run(Duration duration)
{
    runUntil([] { return false; }, duration);
}

bool EntryFleet::runUntil(const std::function<bool()> &done, Duration limit)
{
    const auto end = now + limit;
    for (;;) {
        deliver();
        if (done()) {
            return true;
        }
        auto next = std::max(m_nextHeartbeat, now);
        for (const auto &[name, node] : m_nodes) {
            if (node.machine != nullptr && node.timer && !node.paused) {
                next = std::min(next, std::max(*node.timer, now));
            }
        }
        if (next > end) {
            wall += end - now;
            now = end;
            return false;
        }
        wall += next - now;
        now = next;
        if (now >= m_nextHeartbeat) {
            m_nextHeartbeat = now + HeartbeatInterval;
            heartbeats();
        }
        for (auto &[name, node] : m_nodes) {
            if (node.machine != nullptr && node.timer && *node.timer <= now && !node.paused) {
                node.timer.reset();
                post(name, Tick{});
            }
        }
    }
}

ConnectionId EntryFleet::submit(const std::string &entry, const JobSpecPointer &job)
{
    const auto connection = open();
    post(EntryName(entry), JobSubmitted{connection, job, std::nullopt, Epoch()});
    return connection;
}

void EntryFleet::input(const std::string &entry, EntryInput input)
{
    post(EntryName(entry), std::move(input));
}

ConnectionId EntryFleet::open()
{
    return ConnectionId(m_nextConnection++);
}

void EntryFleet::post(const EntryName &to, EntryInput input)
{
    m_events.push_back(Event{to, Incarnation(), std::move(input)});
}

void EntryFleet::deliver()
{
    while (!m_events.empty()) {
        auto event = std::move(m_events.front());
        m_events.pop_front();
        auto &node = m_nodes.at(event.to);
        if (node.machine == nullptr) {
            continue;
        }
        if (node.paused) {
            node.backlog.push_back(std::move(event.input));
            continue;
        }
        step(event.to, std::move(event.input));
    }
}

void EntryFleet::step(const EntryName &name, EntryInput input)
{
    m_entropy = m_entropy * 6364136223846793005ULL + 1442695040888963407ULL;
    if (tracing) {
        trace.push_back(traceLine(name, now, input));
    }
    EntryOutputs outputs;
    m_nodes.at(name).machine->step(StepContext{now, wall, m_entropy}, std::move(input), outputs);
    for (auto &output : outputs) {
        if (auto line = tracing ? traceLine(output) : std::nullopt) {
            trace.push_back(*std::move(line));
        }
        perform(name, output);
    }
}

void EntryFleet::perform(const EntryName &from, EntryOutput &output)
{
    if (const auto *toAgent = std::get_if<SendToAgent>(&output)) {
        agentReceives(from, *toAgent);
    } else if (const auto *toPeer = std::get_if<SendToPeer>(&output)) {
        performPeer(from, *toPeer);
    } else if (const auto *job = std::get_if<AnswerJob>(&output)) {
        if (const auto relay = m_relays.find(job->connection); relay != m_relays.end()) {
            if (reaches(from.value(), relay->second.first)) {
                post(relay->second.first, ForwardAnswered{relay->second.second, job->answer});
            }
            m_relays.erase(relay);
        } else {
            answers.push_back(CallerAnswer{job->connection, job->answer});
        }
    } else if (const auto *status = std::get_if<AnswerStatus>(&output)) {
        if (const auto relay = m_relays.find(status->connection); relay != m_relays.end()) {
            post(relay->second.first, ForwardStatusAnswered{relay->second.second, status->error, status->status});
            m_relays.erase(relay);
        } else {
            statusAnswers.push_back(*status);
        }
    } else if (const auto *account = std::get_if<AnswerAccount>(&output)) {
        accountAnswers.push_back(*account);
    } else if (const auto *process = std::get_if<AnswerProcessStatus>(&output)) {
        processAnswers.push_back(*process);
    } else if (const auto *heartbeat = std::get_if<AnswerAgentHeartbeat>(&output)) {
        auto &agent = agents[m_heartbeats.at(heartbeat->connection)];
        learnRoster(agent, heartbeat->reply.roster);
        agent.wanders = !heartbeat->reply.assigned && heartbeat->reply.roster == nullptr;
        agent.seed += agent.wanders ? 1 : 0;
        if (heartbeat->reply.config != nullptr) {
            agent.configRevision = heartbeat->reply.config->revision;
        }
        agent.configRevision = std::max(agent.configRevision, heartbeat->reply.configUnchanged);
    } else if (const auto *peer = std::get_if<AnswerPeerHeartbeat>(&output)) {
        const auto asker = m_peerExchanges.at(peer->connection);
        if (reaches(from.value(), asker)) {
            post(asker, PeerHeartbeatReplyReceived{peer->reply});
        }
    } else if (const auto *query = std::get_if<AnswerOwnerQuery>(&output)) {
        post(m_peerExchanges.at(query->connection), OwnerQueryReplyReceived{query->reply});
    } else if (const auto *handover = std::get_if<AnswerHandover>(&output)) {
        post(m_peerExchanges.at(handover->connection), HandoverReplyReceived{handover->reply});
    } else if (const auto *timer = std::get_if<SetTimer>(&output)) {
        m_nodes.at(from).timer = timer->at;
    } else if (const auto *stopped = std::get_if<Stopped>(&output)) {
        m_nodes.at(from).stopped = true;
        stops.push_back(*stopped);
    } else {
        performPlatform(from, output);
    }
}

void EntryFleet::performPeer(const EntryName &from, const SendToPeer &send)
{
    const EntryName to(send.endpoint.host);
    const auto node = m_nodes.find(to);
    if (node == m_nodes.end() || node->second.machine == nullptr || isCut(from.value(), to.value())) {
        post(from, PeerSendFailed{send.peer, Delivery::NotSent, send.connection});
        return;
    }
    const auto connection = open();
    m_peerExchanges[connection] = from;
    if (const auto *heartbeat = std::get_if<PeerHeartbeat>(&send.message)) {
        post(to, PeerHeartbeatReceived{connection, *heartbeat});
    } else if (const auto *query = std::get_if<OwnerQuery>(&send.message)) {
        post(to, OwnerQueryReceived{connection, *query});
    } else if (const auto *handover = std::get_if<Handover>(&send.message)) {
        post(to, HandoverReceived{connection, *handover});
    } else if (const auto *job = std::get_if<ForwardJob>(&send.message)) {
        m_relays[connection] = {from, *send.connection};
        m_peerExchanges[connection] = to;
        post(to, JobSubmitted{connection, job->job, from, job->rosterEpoch});
    } else if (const auto *cancel = std::get_if<ForwardCancel>(&send.message)) {
        m_relays[connection] = {from, *send.connection};
        post(to, CancelRequested{connection, cancel->key, true});
    } else if (const auto *status = std::get_if<ForwardQuery>(&send.message)) {
        m_relays[connection] = {from, *send.connection};
        post(to, StatusRequested{connection, status->key, true});
    }
}

void EntryFleet::performPlatform(const EntryName &from, EntryOutput &output)
{
    const auto down = platform.down || isCut(from.value(), "platform");
    if (std::holds_alternative<ReadHead>(output)) {
        if (down) {
            post(from, HeadReadFailed{now});
        } else {
            const auto revision = platform.config == nullptr ? Revision() : platform.config->revision;
            post(from, HeadRead{now, platform.roster, platform.rosterModRevision, revision});
        }
    } else if (const auto *write = std::get_if<WriteRoster>(&output)) {
        auto outcome = down ? WriteOutcome::Unknown : WriteOutcome::Conflict;
        if (!down && write->expectedModRevision == platform.rosterModRevision) {
            platform.roster = write->roster;
            ++platform.rosterModRevision;
            outcome = platform.losesWriteAnswers ? WriteOutcome::Unknown : WriteOutcome::Written;
        }
        post(from, RosterWriteEnded{write->roster->epoch, outcome});
    } else if (std::holds_alternative<ReadConfig>(output) && !down) {
        post(from, ConfigRead{platform.config});
    } else if (const auto *read = std::get_if<ReadSlotAgents>(&output); read != nullptr && !down) {
        const auto &[names, revision] = platform.slotAgents[read->slot];
        post(from, SlotAgentsRead{read->slot, names, revision});
    } else if (const auto *agentsWrite = std::get_if<WriteSlotAgents>(&output)) {
        auto &[names, revision] = platform.slotAgents[agentsWrite->slot];
        auto outcome = down ? WriteOutcome::Unknown : WriteOutcome::Conflict;
        if (!down && agentsWrite->expectedModRevision == revision) {
            names = agentsWrite->agents;
            ++revision;
            outcome = platform.losesWriteAnswers ? WriteOutcome::Unknown : WriteOutcome::Written;
        }
        post(from, SlotAgentsWriteEnded{agentsWrite->slot, outcome, revision});
    }
}

bool EntryFleet::isCut(const std::string &one, const std::string &other) const
{
    return m_cuts.contains(std::minmax(one, other));
}

bool EntryFleet::reaches(const std::string &from, const EntryName &to) const
{
    const auto node = m_nodes.find(to);
    return node != m_nodes.end() && node->second.machine != nullptr && !node->second.stopped && !isCut(from, to.value());
}

JobAnswerPointer EntryFleet::answerTo(ConnectionId connection) const
{
    const auto found = std::ranges::find(answers, connection, &CallerAnswer::connection);
    return found == answers.end() ? nullptr : found->answer;
}

EntryMachine &EntryFleet::machine(const std::string &name)
{
    return *m_nodes.at(EntryName(name)).machine;
}

std::string EntryFleet::ownerName() const
{
    return platform.roster == nullptr ? "" : platform.roster->slots.front().owner.value();
}

std::size_t EntryFleet::startsOf(const SubmissionKey &key) const
{
    std::size_t count = 0;
    for (const auto &agent : agents) {
        count += static_cast<std::size_t>(std::ranges::count_if(agent.starts, [&](const TaskId &id) { return id.submission == key; }));
    }
    return count;
}

std::size_t EntryFleet::mostStarts() const
{
    std::map<TaskId, std::size_t> counts;
    std::size_t most = 0;
    for (const auto &agent : agents) {
        for (const auto &id : agent.starts) {
            most = std::max(most, ++counts[id]);
        }
    }
    return most;
}

bool EntryFleet::isStopped(const std::string &name) const
{
    return m_nodes.at(EntryName(name)).stopped;
}

SubmissionKey EntryFleet::newKey()
{
    const auto number = m_nextKey++;
    return SubmissionKey::create(wall, number, number);
}

JobSpecPointer EntryFleet::newJob(std::size_t tasks, std::uint64_t digest)
{
    auto job = std::make_shared<JobSpec>();
    job->key = newKey();
    job->service = ServiceName("reclaim-desk");
    job->team = TeamName("intake");
    job->deadline = std::chrono::seconds(30);
    job->digest = digest;
    job->tasks.resize(tasks);
    return job;
}

} // namespace Sycamoremoor
