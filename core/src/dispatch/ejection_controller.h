// Sets workers aside that fail what they start, and takes them back with care.
#pragma once

#include "job_entry.h"
#include "worker.h"

#include <sycamoremoor/core/config_type.h>
#include <sycamoremoor/core/dispatcher.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Sycamoremoor
{

/**
 * Judges workers by the ends of tasks.
 *
 * Failures in a row of different jobs halve a worker's slots one by one, then set it aside for a time that doubles at each
 * ejection. It comes back with one task at a time; each success doubles that. Failures of a job or a kind of task that fails
 * on several workers count against none.
 */
class EjectionController
{
public:
    using EventHandler = std::function<void(const WorkerEvent &)>;

    explicit EjectionController(EventHandler handler);

    /** Takes over the policy in force. */
    void configure(const PolicyRecord &policy);

    /** A task ended well. */
    void recordSuccess(Worker &worker, const JobEntry &job, TaskIndex task);

    /** A task failed or was lost. @param workers number of workers of the service */
    void recordFailure(MonotonicTime now, Worker &worker, JobEntry &job, TaskIndex task, std::size_t workers);

    /** The worker's agent began another life: what is known of the earlier one no longer sets it aside. */
    void recordRestart(Worker &worker);

    /** The worker leaves; should it return, it begins with one task at a time. */
    void clearEjection(Worker &worker);

    /** Takes back workers whose time is over; calls @p changed with each. */
    void readmit(MonotonicTime now, const std::function<void(Worker &)> &changed);

    /** Returns when the next worker is to be taken back. */
    [[nodiscard]] std::optional<MonotonicTime> nextReadmission() const;

private:
    [[nodiscard]] bool isFaultOfJob(const Worker &worker, JobEntry &job, TaskIndex task);
    [[nodiscard]] bool mayEject(const ServiceName &service, std::size_t workers) const;
    void eject(MonotonicTime now, Worker &worker);
    void readmitWorker(Worker &worker, const char *reason);

    EventHandler m_eventHandler;
    PolicyRecord m_policy;
    std::set<std::pair<MonotonicTime, AgentName>> m_due;
    std::unordered_map<AgentName, Worker *> m_ejected;
    std::unordered_map<std::string, std::vector<AgentName>> m_kindFailures; ///< workers on which a kind failed since it last succeeded
};

} // namespace Sycamoremoor
