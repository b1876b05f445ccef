// Simulated runner of the pool simulation: executes orders under leases and does not check its capacity.
#pragma once

#include "pool_rule.h"

#include <sycamoremoor/core/guard_output_type.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Sycamoremoor
{

/** Content of an order to start a run. */
struct RunnerStart {
    RunId run;
    std::string payload;
    std::uint32_t worker = 0;
};

/** A run on the runner. */
struct RunnerRun {
    MonotonicTime endsAt;                  ///< when it ends unless it is stopped or the lease expires
    RunOutcome outcome = RunOutcome::Done; ///< at endsAt
    std::optional<Duration> crashesAfter;  ///< time from its start after which it crashes the runner, if it still runs
};

/** One incarnation of a runner with its lists of running and ended runs. */
class PoolRunner
{
public:
    explicit PoolRunner(PoolRules rulesOff = {});

    /** Begins a new incarnation with empty lists. */
    void restart(MonotonicTime now);

    /** Starts a run. Orders with a token below the highest one received are refused, as in stop() and renew(). */
    StartAnswer start(MonotonicTime now, const RunnerStart &start, UpstreamTime leaseUntil, FencingToken token, const RunnerRun &run);

    /** Stops a run, and prevents it and all earlier runs of its task from starting later. */
    void stop(MonotonicTime now, const RunId &run, FencingToken token);

    /** Extends the lease of all runs unless @p leaseUntil is zero, and drops ended runs up to @p acknowledged. */
    void renew(MonotonicTime now, UpstreamTime leaseUntil, FencingToken token, std::uint64_t acknowledged);

    /** Ends the runs whose end time is reached, or all if the lease has expired. @return the runs that ended */
    std::vector<RunId> advance(MonotonicTime now);

    /** Returns the time of the next end, if anything runs. */
    [[nodiscard]] std::optional<MonotonicTime> nextEnd() const;

    [[nodiscard]] UpstreamTime clock(MonotonicTime now) const;
    [[nodiscard]] std::vector<RunId> running() const;
    [[nodiscard]] const std::vector<EndedRun> &ended() const;
    [[nodiscard]] std::int64_t startTimeMs() const;
    [[nodiscard]] bool isRunning(const RunId &run) const;

private:
    void end(const RunId &run, RunOutcome outcome);
    void extendLease(MonotonicTime now, UpstreamTime leaseUntil);
    [[nodiscard]] bool isFenced(FencingToken token) const;

    PoolRules m_rulesOff;
    MonotonicTime m_startTime;
    std::int64_t m_startTimeMs = 0;
    FencingToken m_token{0};
    MonotonicTime m_leaseUntil;
    std::map<RunId, RunnerRun> m_runs;
    std::map<QueueTaskId, std::uint32_t> m_lastClosedRuns; ///< highest run number that was stopped or ended, by task
    std::vector<EndedRun> m_ended;
    std::uint64_t m_lastEnd = 0;
};

} // namespace Sycamoremoor
