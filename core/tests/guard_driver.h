// Drives the machine of one guard in tests.
#pragma once

#include <sycamoremoor/core/guard_machine.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Sycamoremoor
{

/** Drives one guard whose upstream has announced itself and runs nothing. */
class GuardDriver
{
public:
    static constexpr std::int64_t RunnerCores = 10'000;
    static constexpr Incarnation GuardIncarnation{7};
    static constexpr Duration BatchLease = std::chrono::milliseconds(1'100);
    static constexpr Duration JobTime = std::chrono::milliseconds(2'000); ///< from the time at which a batch is sent

    /** @param evacuateWithin @param drainWithin as in GuardSettings */
    explicit GuardDriver(Duration evacuateWithin = {}, Duration drainWithin = {})
        : m_machine(settings(evacuateWithin, drainWithin))
    {
        announce(incarnation());
        answerRenewal({}, {});
    }

    /**
     * An announcement of the upstream arrives.
     * @param sequence its number, the next one if empty
     * @param change changes its other fields, unless empty
     */
    void announce(const UpstreamIncarnation &announcing,
                  bool leaving = false,
                  std::optional<std::uint64_t> sequence = std::nullopt,
                  const std::function<void(UpstreamAnnounced &)> &change = {})
    {
        UpstreamAnnounced announced;
        announced.leaving = leaving;
        announced.incarnation = announcing;
        announced.service = ServiceName("service");
        announced.capacity = {MilliCores(RunnerCores), Megabytes(1'000), Accelerators(0)};
        announced.sequence = sequence.value_or(++m_sequence);
        if (change) {
            change(announced);
        }
        feed(announced);
    }

    /** Feeds one input; all() returns the resulting outputs of a type. */
    void feed(GuardInput input)
    {
        m_outputs.clear();
        m_machine.step({m_now, WallTime{}, 0}, std::move(input), m_outputs);
        for (const auto &output : m_outputs) {
            if (const auto *renewal = std::get_if<RenewLease>(&output)) {
                m_renewal = renewal->number;
            }
        }
    }

    /** The upstream answers the renewal that was sent last. */
    void answerRenewal(const std::vector<RunId> &running,
                       const std::vector<EndedRun> &ended,
                       const UpstreamIncarnation &answering = incarnation())
    {
        UpstreamListed listed;
        listed.renewal = m_renewal;
        listed.incarnation = answering;
        listed.running = running;
        listed.ended = ended;
        feed(listed);
    }

    /** The upstream does not answer the renewal that was sent last. */
    void leaveRenewalUnanswered()
    {
        feed(RenewalUnanswered{m_renewal});
    }

    /** The renewal that was sent last is refused. */
    void failRenewal(RenewalFailure failure)
    {
        feed(RenewalUnanswered{m_renewal, failure});
    }

    void advance(Duration time)
    {
        m_now += time;
    }

    void advanceTo(MonotonicTime time)
    {
        m_now = std::max(m_now, time);
    }

    /** Sends a batch of small runs. @param reference run time expected on a worker of usual speed */
    void order(std::uint64_t connection, const std::vector<RunId> &runs, Duration reference)
    {
        auto batch = batchOf(connection);
        for (const auto &run : runs) {
            RunOrder order;
            order.run = run;
            order.size = {MilliCores(1), Megabytes(1), Accelerators(0)};
            order.startWithin = std::chrono::milliseconds(80);
            order.runLimit = std::chrono::milliseconds(500);
            order.reference = reference;
            batch.orders.push_back(order);
        }
        feed(BatchReceived{ConnectionId(connection), batch});
    }

    /** Sends a batch of one run. @param delay how long the batch is on its way */
    void order(std::uint64_t connection,
               std::uint32_t index,
               std::int64_t cores,
               Duration delay = {},
               Duration runLimit = std::chrono::milliseconds(500),
               Incarnation guard = GuardIncarnation,
               const QueueName &queue = QueueName("queue"),
               Duration expected = {})
    {
        auto batch = batchOf(connection);
        batch.queue = queue;
        batch.guard = guard;
        m_now += delay;
        RunOrder order;
        order.run = run(index);
        order.size = {MilliCores(cores), Megabytes(1), Accelerators(0)};
        order.startWithin = std::chrono::milliseconds(80);
        order.expected = expected;
        order.runLimit = runLimit;
        order.expected = expected;
        batch.orders.push_back(order);
        feed(BatchReceived{ConnectionId(connection), batch});
    }

    /** The scheduler extends the lease of a batch. */
    void renew(std::uint64_t batch)
    {
        feed(BatchesRenewed{{EntryName("S"), Incarnation(4), {BatchNumber(batch)}, guardTime(m_now + BatchLease)}});
    }

    /** The scheduler recalls a batch of one run. @param guard the incarnation of the guard that it was sent to */
    void recall(std::uint64_t connection, std::uint64_t batch, Incarnation guard = GuardIncarnation)
    {
        feed(RecallReceived{ConnectionId(connection), {EntryName("S"), Incarnation(4), BatchNumber(batch), guard, 1}});
    }

    static GuardTime guardTime(MonotonicTime time)
    {
        return GuardTime(time.time_since_epoch().count());
    }

    static UpstreamIncarnation incarnation()
    {
        return {"runner", 5};
    }

    static ZoneName zone()
    {
        return ZoneName("z");
    }

    static RunId run(std::uint32_t index)
    {
        return {{QueueJobId("job"), 0, index}, 1};
    }

    [[nodiscard]] RenewalNumber lastRenewal() const
    {
        return m_renewal;
    }

    template<typename Output>
    [[nodiscard]] std::vector<Output> all() const
    {
        std::vector<Output> found;
        for (const auto &output : m_outputs) {
            if (const auto *match = std::get_if<Output>(&output)) {
                found.push_back(*match);
            }
        }
        return found;
    }

private:
    /** Returns a batch without runs that is sent now. */
    [[nodiscard]] StartBatch batchOf(std::uint64_t connection) const
    {
        StartBatch batch;
        batch.queue = QueueName("queue");
        batch.scheduler = EntryName("S");
        batch.batch = BatchNumber(connection);
        batch.schedulerIncarnation = Incarnation(4);
        batch.guard = GuardIncarnation;
        batch.receiveBy = guardTime(m_now + std::chrono::milliseconds(250));
        batch.leaseUntil = guardTime(m_now + BatchLease);
        batch.expiresAt = guardTime(m_now + JobTime);
        return batch;
    }

    static GuardSettings settings(Duration evacuateWithin, Duration drainWithin)
    {
        GuardSettings settings;
        settings.zone = zone();
        settings.evacuateWithin = evacuateWithin;
        settings.drainWithin = drainWithin;
        settings.incarnation = GuardIncarnation;
        settings.firstToken = FencingToken(100);
        return settings;
    }

    MonotonicTime m_now{std::chrono::hours(1)};
    std::uint64_t m_sequence = 0;
    GuardMachine m_machine;
    GuardOutputs m_outputs;
    RenewalNumber m_renewal;
};

} // namespace Sycamoremoor
