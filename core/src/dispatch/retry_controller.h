// Decides whether and when a task that provably did not start is retried.
#pragma once

#include "job_entry.h"

#include <sycamoremoor/core/config_type.h>

namespace Sycamoremoor
{

/** Budget for retries, earned as a share of the starts, with a jittered backoff that doubles with each retry of a task. */
class RetryController
{
public:
    /** Applies the policy in force. */
    void configure(const PolicyRecord &policy);

    /** Counts a start, which adds to the budget. */
    void countStart();

    /** Takes one retry from the budget. @return false if the budget is spent and the retry must wait for further starts */
    bool spend();

    /** Returns the backoff before the next retry of a task, and counts the retry. */
    Duration backOff(JobEntry &entry, TaskIndex task);

private:
    double m_perStart = 0;
    double m_budget = 0;
};

} // namespace Sycamoremoor
