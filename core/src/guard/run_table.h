// Runs that a guard has accepted, and the capacity that they occupy.
#pragma once

#include <sycamoremoor/core/guard_output_type.h>
#include <sycamoremoor/core/task_size_func.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Sycamoremoor
{

/** State of a run at its guard. */
enum class RunStage {
    Waiting,  ///< waits for capacity
    Starting, ///< the order to start it was sent
    Running,  ///< the upstream has confirmed the start
    Stopping, ///< it is to be stopped; it occupies capacity until the upstream lists its end, or confirms that it will never start
    End,
};

/** Returns the name of a stage for logs. */
[[nodiscard]] std::string_view runStageName(RunStage stage);

/** Position of a waiting run: the lesser one starts first. */
struct WaitRank {
    bool isOrdinary = true;    ///< false for runs of a queue of priority 0, which are started before all others
    MonotonicTime latestStart; ///< latest start time that meets the objective
    RunId run;

    friend auto operator<=>(const WaitRank &, const WaitRank &) = default;
};

/** A run and the batch that it belongs to. */
struct GuardedRun {
    ConnectionId connection;
    std::uint32_t order = 0; ///< index in StartBatch::orders
    TaskSize size;
    RunStage stage = RunStage::Waiting;
    bool isOrdinary = true;                       ///< false for runs of a queue of priority 0, which are started before all others
    MonotonicTime latestStart;                    ///< latest start time that meets the objective
    MonotonicTime startBy;                        ///< the run is not started later
    Duration expected{};                          ///< expected run time, zero if not known
    Duration projected{};                         ///< run time as its progress tells, zero unless it is much longer than expected
    std::uint32_t percent = 0;                    ///< of its work that is done, as last listed
    Duration reference{};                         ///< run time expected on a worker of usual speed, zero if it tells nothing
    Duration runLimit{};                          ///< the run is stopped when it has run this long
    MonotonicTime leaseUntil;                     ///< the run is stopped then, however short it has run; its scheduler extends it
    MonotonicTime expiresAt;                      ///< the run is stopped then, however short it has run
    FencingToken token;                           ///< of the order to start it
    MonotonicTime startSentAt;                    ///< when the order to start it was sent
    MonotonicTime startedAt;                      ///< when the start was confirmed
    bool started = false;                         ///< the start was confirmed
    ErrorKind stopReason = ErrorKind::None;       ///< why it is stopped
    std::optional<RenewalNumber> unansweredAfter; ///< last renewal sent before its start was found to have no answer
    std::optional<MonotonicTime> stopDue;         ///< when the stop is to be sent, or sent again
    MonotonicTime stopSentAt;                     ///< when the last stop was sent
    std::optional<RenewalNumber> confirmedAfter;  ///< last renewal sent before the upstream confirmed its start or its stop
};

/** Returns when a run that has started has to be stopped. */
[[nodiscard]] MonotonicTime stopTimeOf(const GuardedRun &record);

/** Returns what identifies a run in logs, and its stage. */
[[nodiscard]] std::vector<LogField> fieldsOf(const RunId &run, const GuardedRun &record);

/** The runs of one upstream, with sums and orderings that always agree with the runs. */
class RunTable
{
public:
    using Runs = std::map<RunId, GuardedRun>;

    /** Adds a run in stage Waiting. */
    GuardedRun &add(const RunId &run, const GuardedRun &record);

    /** Moves a waiting run to stage Starting and reserves its capacity. */
    void reserve(const RunId &run);

    /** Removes a run and releases its capacity. */
    void remove(const RunId &run);

    [[nodiscard]] GuardedRun *find(const RunId &run);

    /** Returns whether the table has a run of @p task. */
    [[nodiscard]] bool hasTask(const QueueTaskId &task) const;

    [[nodiscard]] const Runs &runs() const;
    [[nodiscard]] Runs &runs();

    /** Returns the total size of all runs except the waiting ones. */
    [[nodiscard]] const TaskSize &reserved() const;

    /** Returns the total size of the waiting runs. */
    [[nodiscard]] const TaskSize &requested() const;

    /** Returns the waiting runs and their sizes, the most urgent run first. */
    [[nodiscard]] const std::map<WaitRank, TaskSize> &waiting() const;

    /** Returns the waiting run with the earliest GuardedRun::startBy, and that time. */
    [[nodiscard]] std::optional<std::pair<MonotonicTime, RunId>> nextExpiry() const;

private:
    /** Removes a run from the orderings and the sum of the waiting runs. */
    void dequeue(const RunId &run, const GuardedRun &record);

    Runs m_runs;
    std::map<WaitRank, TaskSize> m_waiting;
    std::set<std::pair<MonotonicTime, RunId>> m_startDeadlines; ///< GuardedRun::startBy of the waiting runs
    TaskSize m_reserved = ZeroTaskSize;
    TaskSize m_requested = ZeroTaskSize;
};

} // namespace Sycamoremoor
