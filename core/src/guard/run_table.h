// Runs that a guard has taken on, and the room that they take.
#pragma once

#include <sycamoremoor/core/guard_output_type.h>
#include <sycamoremoor/core/room_func.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace Sycamoremoor
{

/** How far a run has come. */
enum class RunStage {
    Waiting,  ///< for room
    Starting, ///< its order was sent
    Running,  ///< the upstream has confirmed the start
    Stopping, ///< it is to end; it takes room until the upstream lists its end, or has promised never to start it
    End,
};

/** Place of a waiting run: the lesser goes first. */
struct WaitRank {
    bool isOrdinary = true;
    MonotonicTime latestStart; ///< to be on time
    RunId run;

    friend auto operator<=>(const WaitRank &, const WaitRank &) = default;
};

/** A run and the batch that it belongs to. */
struct GuardedRun {
    ConnectionId connection;
    std::uint32_t order = 0; ///< position in the batch
    TaskSize size;
    RunStage stage = RunStage::Waiting;
    bool isOrdinary = true;                       ///< its queue does not go before all others
    MonotonicTime latestStart;                    ///< to be on time
    MonotonicTime startBy;                        ///< not started later
    Duration runLimit{};                          ///< stopped when it has run for so long
    MonotonicTime startedAt;                      ///< when the start was confirmed
    bool started = false;                         ///< the start was confirmed
    ErrorKind stopReason = ErrorKind::None;       ///< why it is stopped, if nobody asked for that
    std::optional<RenewalNumber> unansweredAfter; ///< renewal last sent when its start went without an answer
    std::optional<MonotonicTime> stopDue;         ///< when the stop is sent, or sent again
    MonotonicTime stopSentAt;                     ///< last
    std::optional<RenewalNumber> confirmedAfter;  ///< renewal last sent when the upstream confirmed its start or its stop
};

/** The runs of one upstream. No decisions, only sums that always agree with the runs. */
class RunTable
{
public:
    using Runs = std::map<RunId, GuardedRun>;

    /** Adds a run that waits. */
    GuardedRun &add(const RunId &run, const GuardedRun &record);

    /** Moves a waiting run on: from here it takes room. */
    void reserve(const RunId &run);

    /** Forgets a run. */
    void remove(const RunId &run);

    [[nodiscard]] GuardedRun *find(const RunId &run);

    /** Tells whether any run of @p task is here. */
    [[nodiscard]] bool hasTask(const QueueTaskId &task) const;

    [[nodiscard]] const Runs &runs() const;
    [[nodiscard]] Runs &runs();

    /** Returns what is taken by all runs but those that wait. */
    [[nodiscard]] const TaskSize &reserved() const;

    /** Returns what the waiting runs ask for. */
    [[nodiscard]] const TaskSize &requested() const;

    /** Returns the waiting runs, the most urgent first. */
    [[nodiscard]] const std::map<WaitRank, TaskSize> &waiting() const;

    /** Returns when the first waiting run becomes useless, and which it is. */
    [[nodiscard]] std::optional<std::pair<MonotonicTime, RunId>> nextExpiry() const;

private:
    void dequeue(const RunId &run, const GuardedRun &record);

    Runs m_runs;
    std::map<WaitRank, TaskSize> m_waiting;
    std::set<std::pair<MonotonicTime, RunId>> m_startDeadlines; ///< of the waiting runs
    TaskSize m_reserved = NoRoom;
    TaskSize m_requested = NoRoom;
};

} // namespace Sycamoremoor
