// What an agent spends: processor time with the codec, heap of its ledger.
#include "meter_func.h"
#include "slope_measures.h"

#include <sycamoremoor/core/agent_machine.h>
#include <sycamoremoor/wire/message_codec.h>

#include <algorithm>
#include <array>

namespace Sycamoremoor
{

namespace
{

constexpr std::array<std::size_t, 5> Sizes{1'000, 2'000, 4'000, 8'000, 16'000};
constexpr std::size_t PayloadBytes = 165;
constexpr std::size_t ResultBytes = 41;
constexpr Incarnation AgentLife{7};
constexpr Incarnation OwnerLife{1};

/** An agent whose upstream ends each task at once, and whose owner acknowledges each report. */
class AgentHarness
{
public:
    AgentHarness()
        : m_machine(harnessSettings())
    {
        step(UpstreamHealth{Incarnation(3), false, WorkerUsage{}});
    }

    /** Starts a task through its JSON and ends it. */
    void runTask()
    {
        m_now += std::chrono::milliseconds(1);
        const auto json = encode(nextStart());
        StartTasks received;
        if (decode(json, received)) {
            return;
        }
        for (const auto &output : step(StartTasksReceived{std::move(received)})) {
            if (const auto *start = std::get_if<StartOnUpstream>(&output)) {
                end(start->task);
            }
        }
    }

    [[nodiscard]] std::size_t reports() const
    {
        return m_reports;
    }

private:
    static AgentSettings harnessSettings()
    {
        AgentSettings settings;
        settings.name = AgentName("reclaim-desk-worker-1");
        settings.incarnation = AgentLife;
        settings.endpoint = Endpoint{"127.0.0.1", 7100};
        settings.upstream = Endpoint{"127.0.0.1", 7200};
        settings.service = ServiceName("reclaim-desk");
        return settings;
    }

    AgentOutputs step(AgentInput input)
    {
        AgentOutputs outputs;
        m_machine.step(StepContext{m_now, m_wall, m_next * 2 + 1}, std::move(input), outputs);
        for (const auto &output : outputs) {
            if (const auto *report = std::get_if<ReportToOwner>(&output)) {
                m_reports += encode(report->reports).empty() ? 0 : report->reports.reports.size();
                for (const auto &each : report->reports.reports) {
                    m_acknowledged = std::max(m_acknowledged, each.sequence);
                }
            }
        }
        return outputs;
    }

    StartTasks nextStart()
    {
        ++m_next;
        StartTasks start;
        start.claim = OwnerClaim{EntryName("entry-1"), OwnerLife, OwnerSlotIndex(0), Epoch(1)};
        start.agent = AgentName("reclaim-desk-worker-1");
        start.agentIncarnation = AgentLife;
        start.stamp = AgentStamp(m_now.time_since_epoch().count());
        start.acknowledged = m_acknowledged;
        StartTask task;
        task.task = TaskId{SubmissionKey::create(m_wall, m_next, m_next), TaskIndex(0)};
        task.spec.kind = TaskKind("wear");
        task.spec.payload = std::string(PayloadBytes, 'x');
        task.digest = m_next;
        task.deadline = std::chrono::minutes(1);
        start.tasks.push_back(std::move(task));
        return start;
    }

    void end(const TaskId &task)
    {
        step(UpstreamTaskEnded{task, true, false, std::string(ResultBytes, 'r')});
    }

    AgentMachine m_machine;
    MonotonicTime m_now{std::chrono::seconds(1'000)};
    WallTime m_wall{std::chrono::seconds(1'780'000'000)};
    ReportSequence m_acknowledged;
    std::uint64_t m_next = 0;
    std::size_t m_reports = 0;
};

} // namespace

std::vector<Slope> measureAgent()
{
    Slope time{"processor time per task, core of the agent, codec of both ends", "us", {}};
    Slope memory{"agent heap per remembered task, 41 bytes of result kept", "bytes", {}};
    for (const auto size : Sizes) {
        AgentHarness agent;
        const auto empty = heapBytes();
        const auto spent = processorMicroseconds([&] {
            for (std::size_t task = 0; task < size; ++task) {
                agent.runTask();
            }
        });
        time.points.push_back(SlopePoint{static_cast<double>(size), spent});
        memory.points.push_back(SlopePoint{static_cast<double>(agent.reports()), heapBytes() - empty});
    }
    return {time, memory};
}

} // namespace Sycamoremoor
