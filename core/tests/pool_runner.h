// A runner of the pool's world: starts what it is told to, under leases, and guards no room.
#pragma once

#include <sycamoremoor/core/guard_output_type.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Sycamoremoor
{

/** An order to start as the runner takes it. */
struct RunnerStart {
    RunId run;
    std::string payload;
    std::uint32_t worker = 0;
};

/** A run at the runner. */
struct RunnerRun {
    MonotonicTime endsAt;
    RunOutcome outcome = RunOutcome::Done; ///< when it ends by itself
};

/** One life of a runner and its lists. */
class PoolRunner
{
public:
    /** Begins another life that knows nothing of the one before. */
    void restart(MonotonicTime now);

    StartAnswer start(MonotonicTime now, const RunnerStart &start, UpstreamTime leaseUntil, FencingToken token, const RunnerRun &run);
    void stop(MonotonicTime now, const RunId &run, FencingToken token);
    void renew(MonotonicTime now, UpstreamTime leaseUntil, FencingToken token, std::uint64_t acknowledged);

    /** Ends runs whose time or lease is over. @return those that ended */
    std::vector<RunId> advance(MonotonicTime now);

    /** Returns when advance() has something to do. */
    [[nodiscard]] std::optional<MonotonicTime> nextEnd() const;

    [[nodiscard]] UpstreamTime clock(MonotonicTime now) const;
    [[nodiscard]] std::vector<RunId> running() const;
    [[nodiscard]] const std::vector<EndedRun> &ended() const;
    [[nodiscard]] std::int64_t startTimeMs() const;
    [[nodiscard]] bool isRunning(const RunId &run) const;

private:
    void end(const RunId &run, RunOutcome outcome);
    void extendLease(MonotonicTime now, UpstreamTime leaseUntil);

    MonotonicTime m_startTime;
    std::int64_t m_startTimeMs = 0;
    FencingToken m_token{0};
    MonotonicTime m_leaseUntil;
    std::map<RunId, RunnerRun> m_runs;
    std::map<WorkTaskId, std::uint32_t> m_lastClosedRuns; ///< highest run that was stopped or ended, by task
    std::vector<EndedRun> m_ended;
    std::uint64_t m_lastEnd = 0;
};

} // namespace Sycamoremoor
