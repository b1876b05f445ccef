// Retry budget and backoff.
#include "dispatch/retry_controller.h"

#include <algorithm>
#include <functional>

namespace Sycamoremoor
{

namespace
{

/** Maximum retries in a burst, about twice the slots of a rack of three workers. */
constexpr double MaxBudget = 64;

constexpr Duration InitialDelay = std::chrono::milliseconds(10);
constexpr std::uint32_t MaxDoublings = 7;
constexpr double Percent = 100;
constexpr std::uint64_t JitterSteps = 1'024;

} // namespace

void RetryController::configure(const PolicyRecord &policy)
{
    if (m_perStart == 0) {
        m_budget = MaxBudget;
    }
    m_perStart = policy.retryBudgetPercent / Percent;
}

void RetryController::countStart()
{
    m_budget = std::min(MaxBudget, m_budget + m_perStart);
}

bool RetryController::spend()
{
    if (m_budget < 1) {
        return false;
    }
    m_budget -= 1;
    return true;
}

Duration RetryController::backOff(JobEntry &entry, TaskIndex task)
{
    const auto tries = entry.retries[task]++;
    const auto delay = InitialDelay * (std::int64_t{1} << std::min(tries, MaxDoublings));
    // The jitter is derived from the task's id, since the end of a task supplies no random bits.
    const auto bits = (std::hash<TaskId>{}({entry.job->key, task}) + tries) * 0x9E3779B97F4A7C15ULL;
    const auto step = static_cast<std::int64_t>((bits >> 32U) % JitterSteps);
    return delay / 2 + delay * step / static_cast<std::int64_t>(JitterSteps);
}

} // namespace Sycamoremoor
