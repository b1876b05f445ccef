// CPU cost of the codec for each task: its start and its report.
#include <sycamoremoor/wire/message_codec.h>

#include <benchmark/benchmark.h>

namespace Sycamoremoor
{

namespace
{

StartTasks makeStart(std::size_t payloadBytes)
{
    StartTasks message;
    message.claim = {EntryName("entry-1"), Incarnation(1), OwnerSlotIndex(0), Epoch(3)};
    message.agent = AgentName("agent-1");
    message.agentIncarnation = Incarnation(2);
    StartTask start;
    start.task = {SubmissionKey::create(WallTime(std::chrono::hours(500'000)), 1, 2), TaskIndex(7)};
    start.spec.kind = TaskKind("wear");
    start.spec.payload = std::string(payloadBytes, 'x');
    start.deadline = std::chrono::seconds(20);
    message.tasks.push_back(start);
    return message;
}

TaskReports makeReports(std::size_t resultBytes)
{
    TaskReports message;
    message.agent = AgentName("agent-1");
    message.incarnation = Incarnation(2);
    TaskReport report;
    report.task = {SubmissionKey::create(WallTime(std::chrono::hours(500'000)), 1, 2), TaskIndex(7)};
    report.sequence = ReportSequence(900);
    report.state = TaskState::Succeeded;
    report.ran = RunState::Ran;
    report.result = std::string(resultBytes, 'x');
    report.startedAt = WallTime(std::chrono::hours(500'000));
    report.finishedAt = report.startedAt + std::chrono::milliseconds(80);
    message.reports.push_back(report);
    return message;
}

template<typename Message>
void encodeMessage(benchmark::State &state, const Message &message)
{
    for (auto _ : state) {
        benchmark::DoNotOptimize(encode(message));
    }
}

template<typename Message>
void decodeMessage(benchmark::State &state, const Message &message)
{
    const auto text = encode(message);
    for (auto _ : state) {
        Message back;
        benchmark::DoNotOptimize(decode(text, back));
    }
}

void encodeStart(benchmark::State &state)
{
    encodeMessage(state, makeStart(static_cast<std::size_t>(state.range(0))));
}

void decodeStart(benchmark::State &state)
{
    decodeMessage(state, makeStart(static_cast<std::size_t>(state.range(0))));
}

void encodeReport(benchmark::State &state)
{
    encodeMessage(state, makeReports(static_cast<std::size_t>(state.range(0))));
}

void decodeReport(benchmark::State &state)
{
    decodeMessage(state, makeReports(static_cast<std::size_t>(state.range(0))));
}

BENCHMARK(encodeStart)->Arg(100)->Arg(20'000);
BENCHMARK(decodeStart)->Arg(100)->Arg(20'000);
BENCHMARK(encodeReport)->Arg(100)->Arg(20'000);
BENCHMARK(decodeReport)->Arg(100)->Arg(20'000);

} // namespace

} // namespace Sycamoremoor
