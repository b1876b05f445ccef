// Decides whether and when a task that provably did not start is sent again.
#pragma once

#include "job_entry.h"

#include <sycamoremoor/core/config_type.h>

namespace Sycamoremoor
{

/** A budget for retries, a share of the starts, with a jittered back-off from try to try. */
class RetryController
{
public:
    /** Takes over the policy in force. */
    void configure(const PolicyRecord &policy);

    /** Counts a start; starts earn the budget. */
    void countStart();

    /** Spends the budget on one retry. @return false if the budget is spent: the retry has to wait until more is earned */
    bool spend();

    /** Returns how long a task waits before its next try. */
    Duration backOff(JobEntry &entry, TaskIndex task);

private:
    double m_perStart = 0;
    double m_budget = 0;
};

} // namespace Sycamoremoor
