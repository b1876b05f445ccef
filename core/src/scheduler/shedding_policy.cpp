// Which of two jobs yields when capacity is short, and whether a job is refused now.
#include "shedding_policy.h"

#include "../duration_func.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Sycamoremoor
{

namespace
{

constexpr double UsualNeedWeight = 0.02; ///< of a new job in the moving mean of the logarithm: some fifty jobs, of which five are wide
constexpr double SetbackPerDoubling
    = 0.35; ///< probability per doubling of the need: a job of twice the usual need yields in a third of cases
constexpr double SetbackPerPriority = 0.1; ///< probability per priority value above 1
constexpr double MaxSetback = 0.4; ///< a tenth below a half, as wide jobs find room less often, too: they are to be served half as often
/** Of jobs of lower priorities: while fewer of them are served, as many go with priority 0, so that they get something in any case. */
constexpr double MinServedShare = 0.25;
constexpr double ServedWeight
    = 0.02; ///< of a job in the moving mean of whether jobs of lower priorities are served: about a second of a queue
constexpr double JitterShare = 0.5;                     ///< of Retry-After: callers that are refused together return over half of that time
constexpr Duration MinJitter = std::chrono::seconds(1); ///< Retry-After is sent in whole seconds
constexpr Duration ShortagePause = std::chrono::seconds(1); ///< in which no job had to wait, after which a shortage has ended
constexpr Duration MaxShortage = std::chrono::seconds(7);   ///< bursts last 3 to 7 s
constexpr int DecisionsPerSlack = 4; ///< decisions about a job that waits: the expected wait changes with what arrives meanwhile

constexpr std::array<std::string_view, static_cast<std::size_t>(RefusalRule::End)> RuleNames{
    "none", "stopping", "never_fits", "confined", "evacuated", "no_workers", "behind", "expected_wait", "slack_over", "expired"};

constexpr std::array RuleCounters{CounterMetric::JobsRefused,
                                  CounterMetric::JobsRefusedStopping,
                                  CounterMetric::JobsRefusedNeverFits,
                                  CounterMetric::JobsRefusedConfined,
                                  CounterMetric::JobsRefusedEvacuated,
                                  CounterMetric::JobsRefusedNoWorkers,
                                  CounterMetric::JobsRefusedBehind,
                                  CounterMetric::JobsRefusedExpectedWait,
                                  CounterMetric::JobsRefusedSlackOver,
                                  CounterMetric::JobsRefusedExpired};
static_assert(RuleCounters.size() == static_cast<std::size_t>(RefusalRule::End));

} // namespace

CounterMetric refusalCounter(RefusalRule rule)
{
    return RuleCounters.at(static_cast<std::size_t>(rule));
}

std::string_view refusalRuleName(RefusalRule rule)
{
    return RuleNames.at(static_cast<std::size_t>(rule));
}

SheddingPolicy::SheddingPolicy(SheddingMode mode)
    : m_mode(mode)
{
}

bool SheddingPolicy::isByValue() const
{
    return m_mode == SheddingMode::Value;
}

void SheddingPolicy::recordWaiting(MonotonicTime now)
{
    m_waitedAt = now;
}

void SheddingPolicy::recordOutcome(std::uint32_t priority, bool isServed)
{
    if (priority > 0) {
        m_servedShare += ((isServed ? 1 : 0) - m_servedShare) * ServedWeight;
    }
}

bool SheddingPolicy::isShort(MonotonicTime now) const
{
    return m_waitedAt && now - *m_waitedAt <= ShortagePause;
}

void SheddingPolicy::recordArrival(const QueueName &queue, CoreTime need)
{
    const auto logarithm = std::log2(std::max(1.0, static_cast<double>(need.value())));
    const auto [usual, isFirst] = m_usualNeeds.try_emplace(queue, logarithm);
    if (!isFirst) {
        usual->second += (logarithm - usual->second) * UsualNeedWeight;
    }
}

double SheddingPolicy::relativeNeed(const QueueName &queue, CoreTime need) const
{
    const auto usual = m_usualNeeds.find(queue);
    return usual == m_usualNeeds.end() ? 1 : std::max(1.0, static_cast<double>(need.value())) / std::exp2(usual->second);
}

double SheddingPolicy::setbackProbability(const JobClaim &claim)
{
    const auto byNeed = SetbackPerDoubling * std::max(0.0, std::log2(claim.relativeNeed));
    const auto byPriority = claim.priority > 1 ? SetbackPerPriority * (claim.priority - 1) : 0;
    return std::min(byNeed + byPriority, MaxSetback);
}

JobRank SheddingPolicy::rankOf(const JobClaim &claim) const
{
    JobRank rank{claim.priority > 0, claim.latestStart};
    if (!isByValue() || !isShort(claim.arrivedAt)) {
        return rank;
    }
    if (claim.draw < setbackProbability(claim)) {
        rank.turn += claim.latestStart - claim.arrivedAt;
    } else if (claim.draw > 1 - MinServedShare && m_servedShare < MinServedShare) {
        rank = {false, claim.arrivedAt};
    }
    return rank;
}

RefusalRule SheddingPolicy::refusalOf(const WaitingClaim &claim) const
{
    if (isByValue() && !claim.hasWorkers) {
        return RefusalRule::NoWorkers;
    }
    if (claim.now >= claim.latestPlacement) {
        return RefusalRule::SlackOver;
    }
    return claim.expectedWait > claim.latestPlacement - claim.now ? RefusalRule::ExpectedWait : RefusalRule::None;
}

MonotonicTime SheddingPolicy::nextDecision(const WaitingClaim &claim) const
{
    const auto left = claim.latestPlacement - claim.now;
    constexpr Duration Least = std::chrono::milliseconds(10); // of several schedulers' decisions about the same burst, few fall together
    return isByValue() && left > Least * 2 ? claim.now + std::max(Least, left / DecisionsPerSlack) : claim.latestPlacement;
}

Duration SheddingPolicy::retryAfter(MonotonicTime now, RefusalRule rule, Duration expectedWait, Duration least, double draw)
{
    auto after = std::max(least, expectedWait);
    if (!isByValue()) {
        return after;
    }
    if (rule == RefusalRule::ExpectedWait || rule == RefusalRule::SlackOver) {
        m_refusingSince = now - m_refusedAt > ShortagePause ? now : m_refusingSince;
        m_refusedAt = now;
        // A burst of unknown length is expected to last for as long again as it has lasted.
        after = std::max(after, std::min<Duration>(now - m_refusingSince, MaxShortage));
    }
    return after + scaled(std::max(scaled(after, JitterShare), MinJitter), draw);
}

bool SheddingPolicy::hasReserve(std::uint32_t priority)
{
    return priority == 0;
}

} // namespace Sycamoremoor
