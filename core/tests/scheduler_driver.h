// Drives the machine of one scheduler in tests.
#pragma once

#include <sycamoremoor/core/scheduler_machine.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Sycamoremoor
{

/** Drives one scheduler with one worker that has capacity for all tasks. */
class SchedulerDriver
{
public:
    static constexpr Duration RunTime = std::chrono::milliseconds(200);
    /** The objective is 1.6 times 200 ms plus 60 ms, 380 ms; the job expires after 1,140 ms. */
    static constexpr Duration Allowance = std::chrono::milliseconds(60);

    explicit SchedulerDriver(Duration resubmitAfter = SchedulerSettings().resubmitAfter, SheddingMode shedding = SheddingMode::LatestStart)
        : m_machine(settingsOf(resubmitAfter, shedding))
    {
        auto queues = std::make_shared<QueueSet>();
        queues->version = Revision(1);
        feed(QueuesRead{queues});
        reportCapacity(AgentName("A"));
    }

    void feed(SchedulerInput input)
    {
        m_outputs.clear();
        m_machine.step({m_now, WallTime{}, 7}, std::move(input), m_outputs);
    }

    /** Handles one input that has waited in the scheduler's process. */
    void feedLate(Duration lag, SchedulerInput input)
    {
        m_outputs.clear();
        StepContext context{m_now, WallTime{}, 7};
        context.lag = lag;
        m_machine.step(context, std::move(input), m_outputs);
    }

    /** Handles inputs that arrived together. */
    void feed(const std::vector<SchedulerInput> &inputs)
    {
        m_outputs.clear();
        m_machine.step({m_now, WallTime{}, 7}, inputs, m_outputs);
    }

    template<typename Output>
    [[nodiscard]] std::size_t count() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_outputs, [](const auto &output) { return std::holds_alternative<Output>(output); }));
    }

    /** Returns what was added to a counter since the last input. */
    [[nodiscard]] std::uint64_t counted(CounterMetric metric) const
    {
        std::uint64_t sum = 0;
        for (const auto &output : m_outputs) {
            const auto *count = std::get_if<Count>(&output);
            sum += count != nullptr && count->metric == metric ? count->by : 0;
        }
        return sum;
    }

    /** Returns how many log lines with a text were written since the last input. */
    [[nodiscard]] std::size_t countLines(const std::string &text) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_outputs, [&text](const auto &output) {
            const auto *line = std::get_if<LogLine>(&output);
            return line != nullptr && line->text == text;
        }));
    }

    [[nodiscard]] bool missesWorkers() const
    {
        return m_machine.missesWorkers();
    }

    [[nodiscard]] Duration reportInterval() const
    {
        return m_machine.reportInterval();
    }

    void reportCapacity(const AgentName &agent, GuardTime clock = {}, MilliCores free = MilliCores(32'000))
    {
        CapacityReport report;
        report.incarnation = Incarnation(1);
        report.accepting = true;
        report.clock = clock;
        report.service = ServiceName("service");
        report.capacity = report.free = {MilliCores(32'000), Megabytes(1'000), Accelerators(0)};
        report.free.cores = free;
        feed(CapacityReported{agent, ZoneName("z"), report});
    }

    /** The guard of worker A reports its clock. @return the time until which it takes the batch of a job that is submitted then */
    Duration reportClock(Duration clock)
    {
        reportCapacity(AgentName("A"), GuardTime(clock.count()));
        submit("job-" + std::to_string(m_lastCaller));
        return Duration(last<SendBatch>()->batch.receiveBy.value());
    }

    /** Submits a job of one task. @return the batch that was sent */
    BatchNumber submit(const std::string &id = "job", Duration runTime = RunTime)
    {
        feed(submission(id, runTime));
        return last<SendBatch>()->batch.batch;
    }

    QueueJobSubmitted submission(const std::string &id, Duration runTime = RunTime)
    {
        auto spec = std::make_shared<QueueJobSpec>();
        spec->id = QueueJobId(id);
        spec->steps.push_back({.count = 1, .size = {MilliCores(1'000), Megabytes(1), Accelerators(0)}, .declaredRunTime = runTime});
        QueueRecord queue;
        queue.name = QueueName("queue");
        queue.service = ServiceName("service");
        queue.priority = 1;
        queue.maxAttempts = 3;
        queue.stretch = 1.6;
        queue.latencyAllowance = Allowance;
        return {ConnectionId(++m_lastCaller), std::make_shared<const QueueRecord>(queue), spec, Duration::zero()};
    }

    /** Changes the queue of a submission by @p change, which takes a QueueRecord. */
    template<typename Change>
    static void changeQueue(QueueJobSubmitted &submission, const Change &change)
    {
        auto queue = *submission.queue;
        change(queue);
        submission.queue = std::make_shared<const QueueRecord>(std::move(queue));
    }

    /** Returns the clock of a guard that reported zero at the start. */
    [[nodiscard]] GuardTime guardTime() const
    {
        return GuardTime((m_now - Start).count());
    }

    void advance(Duration time)
    {
        m_now += time;
    }

    template<typename Output>
    [[nodiscard]] std::optional<Output> last() const
    {
        std::optional<Output> found;
        for (const auto &output : m_outputs) {
            if (const auto *match = std::get_if<Output>(&output)) {
                found = *match;
            }
        }
        return found;
    }

private:
    static SchedulerSettings settingsOf(Duration resubmitAfter, SheddingMode shedding)
    {
        SchedulerSettings settings{EntryName("S"), Incarnation(3), ZoneName("z"), resubmitAfter};
        settings.shedding = shedding;
        return settings;
    }

    static constexpr MonotonicTime Start{std::chrono::hours(1)};

    MonotonicTime m_now = Start;
    SchedulerMachine m_machine;
    SchedulerOutputs m_outputs;
    std::uint64_t m_lastCaller = 0;
};

} // namespace Sycamoremoor
