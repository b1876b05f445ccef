// An entry alone with a fake platform, for measurements.
#include "entry_harness.h"

#include <sycamoremoor/wire/message_codec.h>

#include <algorithm>
#include <string>

namespace Sycamoremoor
{

namespace
{

constexpr Incarnation AgentLife{7};
constexpr Duration TaskTime = std::chrono::milliseconds(300);

EntrySettings harnessSettings()
{
    EntrySettings settings;
    settings.name = EntryName("entry-1");
    settings.incarnation = Incarnation(1);
    settings.endpoint = Endpoint{"127.0.0.1", 7000};
    settings.zone = ZoneName("trnava-a");
    settings.region = RegionName("sk-west");
    return settings;
}

std::shared_ptr<const ConfigSet> harnessConfig()
{
    auto config = std::make_shared<ConfigSet>();
    config->revision = Revision(1);
    ServiceRecord service;
    service.name = ServiceName("reclaim-desk");
    service.maxQueueTasks = 1'000'000;
    config->services.emplace(service.name, service);
    TeamRecord team;
    team.name = TeamName("desk");
    team.maxQueueTasks = 1'000'000;
    config->teams.emplace(team.name, team);
    return config;
}

std::string agentName(std::size_t index)
{
    return "reclaim-desk-worker-" + std::to_string(index);
}

} // namespace

EntryHarness::EntryHarness()
    : m_machine(harnessSettings())
    , m_config(harnessConfig())
{
    step(Tick{});
    pass(std::chrono::seconds(4));
}

void EntryHarness::step(EntryInput input)
{
    EntryOutputs outputs;
    m_entropy = m_entropy * 6364136223846793005ULL + 1442695040888963407ULL;
    m_machine.step(StepContext{m_now, m_wall, m_entropy}, std::move(input), outputs);
    answerPlatform(outputs);
}

void EntryHarness::pass(Duration duration)
{
    constexpr Duration Beat = std::chrono::milliseconds(100);
    for (auto left = duration; left > Duration::zero(); left -= Beat) {
        const auto beat = std::min(left, Beat);
        m_now += beat;
        m_wall += beat;
        step(Tick{});
    }
}

void EntryHarness::answerPlatform(const EntryOutputs &outputs)
{
    for (const auto &output : outputs) {
        if (std::holds_alternative<ReadHead>(output)) {
            step(HeadRead{m_now, m_roster, m_roster == nullptr ? 0 : 1, m_config->revision});
        } else if (const auto *write = std::get_if<WriteRoster>(&output)) {
            m_roster = write->roster;
            step(RosterWriteEnded{m_roster->epoch, WriteOutcome::Written});
        } else if (std::holds_alternative<ReadConfig>(output)) {
            step(ConfigRead{m_config});
        } else if (const auto *read = std::get_if<ReadSlotAgents>(&output)) {
            step(SlotAgentsRead{read->slot, {}, 0});
        } else if (const auto *agents = std::get_if<WriteSlotAgents>(&output)) {
            step(SlotAgentsWriteEnded{agents->slot, WriteOutcome::Written, agents->expectedModRevision + 1});
        } else if (const auto *send = std::get_if<SendToAgent>(&output)) {
            if (const auto *start = std::get_if<StartTasks>(&send->message)) {
                m_starts.push_back(*start);
            }
        } else if (const auto *reply = std::get_if<AnswerAgentHeartbeat>(&output)) {
            m_replyBytes += encode(reply->reply).size();
        } else if (std::holds_alternative<AnswerJob>(output)) {
            ++m_answers;
        }
    }
}

AgentHeartbeat EntryHarness::heartbeat(std::size_t index, bool brief) const
{
    AgentHeartbeat heartbeat;
    heartbeat.agent = AgentName(agentName(index));
    heartbeat.incarnation = AgentLife;
    heartbeat.brief = brief;
    if (!brief) {
        heartbeat.startedAt = m_wall - std::chrono::hours(1);
        heartbeat.endpoint = Endpoint{"127.0.0.1", 7100};
        heartbeat.zone = ZoneName("trnava-a");
        heartbeat.region = RegionName("sk-west");
        heartbeat.service = ServiceName("reclaim-desk");
        heartbeat.upstream = Endpoint{"127.0.0.1", 7200};
    }
    heartbeat.stamp = AgentStamp(m_now.time_since_epoch().count());
    heartbeat.rosterEpoch = m_roster->epoch;
    heartbeat.configRevision = m_config->revision;
    return heartbeat;
}

std::size_t EntryHarness::heartbeats(std::size_t count)
{
    const auto known = m_sequences.size();
    m_sequences.resize(std::max(known, count));
    m_replyBytes = 0;
    std::size_t bytes = 0;
    for (std::size_t index = 0; index < count; ++index) {
        const auto json = encode(heartbeat(index, index < known));
        bytes += json.size();
        AgentHeartbeat received;
        if (!decode(json, received)) {
            step(AgentHeartbeatReceived{ConnectionId(++m_connection), std::move(received)});
        }
    }
    return bytes + m_replyBytes;
}

void EntryHarness::submit(std::size_t tasks, std::size_t payloadBytes)
{
    auto job = std::make_shared<JobSpec>();
    m_entropy += 2;
    job->key = SubmissionKey::create(m_wall, m_entropy, ++m_connection);
    job->service = ServiceName("reclaim-desk");
    job->team = TeamName("desk");
    job->deadline = std::chrono::minutes(4);
    job->digest = m_connection;
    TaskSpec task;
    task.kind = TaskKind("wear");
    task.payload = std::string(payloadBytes, 'x');
    task.declaredRunTime = TaskTime;
    job->tasks.assign(tasks, task);
    step(JobSubmitted{ConnectionId(++m_connection), std::move(job), std::nullopt, Epoch()});
}

std::size_t EntryHarness::finishAll()
{
    std::size_t bytes = 0;
    while (!m_starts.empty()) {
        const auto starts = std::move(m_starts);
        m_starts.clear();
        m_now += std::chrono::milliseconds(1);
        m_wall += std::chrono::milliseconds(1);
        for (const auto &start : starts) {
            bytes += encode(start).size();
            const auto index = std::stoul(start.agent.value().substr(start.agent.value().rfind('-') + 1));
            for (const auto &task : start.tasks) {
                TaskReports reports;
                reports.agent = start.agent;
                reports.incarnation = start.agentIncarnation;
                reports.owner = start.claim.incarnation;
                TaskReport report;
                report.task = task.task;
                report.sequence = ReportSequence(++m_sequences.at(index));
                report.state = TaskState::Succeeded;
                report.ran = RunState::Ran;
                report.result = std::string(task.spec.payload.size() / 4, 'r');
                report.startedAt = m_wall - TaskTime;
                report.finishedAt = m_wall;
                reports.reports.push_back(std::move(report));
                const auto json = encode(reports);
                bytes += json.size();
                TaskReports received;
                if (!decode(json, received)) {
                    step(TaskReportsReceived{std::move(received)});
                }
            }
        }
    }
    return bytes;
}

std::size_t EntryHarness::answers() const
{
    return m_answers;
}

} // namespace Sycamoremoor
