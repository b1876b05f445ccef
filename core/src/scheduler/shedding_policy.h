// Which of two jobs yields when capacity is short, and whether a job is refused now.
#pragma once

#include <sycamoremoor/core/queue_type.h>
#include <sycamoremoor/core/scheduler_machine.h>
#include <sycamoremoor/core/step_type.h>
#include <sycamoremoor/core/unit_type.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace Sycamoremoor
{

/** Place of a job among jobs that want the same capacity: the lesser one is served first, the greater one yields. */
struct JobRank {
    bool isOrdinary = true; ///< false for jobs that go before all others: those of priority 0, and others while these starve
    MonotonicTime turn;     ///< latest start, later if the job is set back

    friend auto operator<=>(const JobRank &, const JobRank &) = default;
};

/** What a job is ranked by. */
struct JobClaim {
    std::uint32_t priority = 0;
    MonotonicTime arrivedAt;
    MonotonicTime latestStart; ///< latest start that meets the objective
    double relativeNeed = 1;   ///< processor time that it needs, per usual job of its queue
    double draw = 0;           ///< random number from 0 to 1
};

/** Why a job is refused. The names in logs are those of refusalRuleName(). */
enum class RefusalRule {
    None,
    Stopping,     ///< it may not end before this process stops
    NeverFits,    ///< no worker is large enough
    Confined,     ///< its queue is confined, and all workers for confined queues are down
    Evacuated,    ///< all workers of its service are in evacuated zones
    NoWorkers,    ///< no worker accepts work of its service
    Behind,       ///< it arrived too late to be placed in time, given the lag of this process
    ExpectedWait, ///< the work that goes before it takes longer than its slack
    SlackOver,    ///< it waited until it can no longer meet its objective
    Expired,      ///< it was sent, none of it ran, and it can no longer end before it expires
    End,
};

/** Returns the counter of the jobs that a rule refused; of rules but None. */
[[nodiscard]] CounterMetric refusalCounter(RefusalRule rule);

/** Returns the name of a rule for logs. */
[[nodiscard]] std::string_view refusalRuleName(RefusalRule rule);

/** What the decision about a job that waits for capacity is based on. */
struct WaitingClaim {
    MonotonicTime now;
    MonotonicTime latestPlacement; ///< latest time to place it, so that it ends within its objective
    Duration expectedWait{};       ///< for those that go before it
    bool hasWorkers = true;        ///< a worker accepts work of its service
};

/**
 * The one policy for the time in which capacity is short; it decides by priority, deadline, and processor time needed.
 *
 * - Jobs of priority 0 go before others, which go by their latest start.
 * - A job is set back, behind all jobs whose latest start comes within another time of its slack, with a probability that rises with its
 *   priority value and with its need compared with the usual job of its queue. So a wide job yields to the several smaller ones that the
 *   same capacity serves, and a lower priority yields to a higher one.
 * - As the probability has a limit, at least half of the jobs of any size and priority keep their turn: none starves.
 * - While fewer than a quarter of the jobs of lower priorities are served, a quarter of them goes with priority 0, so that they do not
 *   starve where it takes all.
 * - The draws of schedulers are independent: they do not all yield the same capacity.
 *
 * While capacity is not short, which is until a second after a job found no room when it arrived, ranks are those by latest start.
 */
class SheddingPolicy
{
public:
    explicit SheddingPolicy(SheddingMode mode);

    [[nodiscard]] bool isByValue() const;

    /** Records the need of a job that arrived, for the usual need of its queue. */
    void recordArrival(const QueueName &queue, CoreTime need);

    /** Records that a job arrived and found no room: capacity is short for the next second. */
    void recordWaiting(MonotonicTime now);

    /** Records whether a job was placed, or was refused since capacity is short. */
    void recordOutcome(std::uint32_t priority, bool isServed);

    /** Returns whether a job that arrived recently found no room. */
    [[nodiscard]] bool isShort(MonotonicTime now) const;

    /** Returns @p need in multiples of the usual need of the queue; 1 if none is known. */
    [[nodiscard]] double relativeNeed(const QueueName &queue, CoreTime need) const;

    [[nodiscard]] JobRank rankOf(const JobClaim &claim) const;

    /** Returns whether a job has to be refused that got no capacity. @return None if it is to wait */
    [[nodiscard]] RefusalRule refusalOf(const WaitingClaim &claim) const;

    /** Returns when to decide again about a job that waits. */
    [[nodiscard]] MonotonicTime nextDecision(const WaitingClaim &claim) const;

    /**
     * Records a refusal and returns the time after which its caller is told to come back: when the job is expected to be served.
     * @param least of what is returned
     * @param draw random number from 0 to 1 that spreads the return of callers
     */
    [[nodiscard]] Duration retryAfter(MonotonicTime now, RefusalRule rule, Duration expectedWait, Duration least, double draw);

    /** Returns whether capacity is reserved for jobs of @p priority, whose tasks may also queue at guards. */
    [[nodiscard]] static bool hasReserve(std::uint32_t priority);

private:
    /** Returns the probability with which a job is set back. */
    [[nodiscard]] static double setbackProbability(const JobClaim &claim);

    SheddingMode m_mode;
    std::unordered_map<QueueName, double> m_usualNeeds; ///< logarithms of processor time
    double m_servedShare = 1;                           ///< moving mean, of the jobs of lower priorities than 0
    std::optional<MonotonicTime> m_waitedAt;            ///< when a job last found no room on its arrival
    MonotonicTime m_refusingSince;                      ///< first of the refusals for want of capacity without a pause between them
    MonotonicTime m_refusedAt;                          ///< the last of them
};

} // namespace Sycamoremoor
