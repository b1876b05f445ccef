// Ejects workers whose tasks fail, and readmits them step by step.
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
 * Ejects and readmits workers by the outcomes of their tasks.
 *
 * Each consecutive failure of a different job halves a worker's slots; enough of them eject it, for a time that doubles at each
 * ejection. It is readmitted with one slot, and each success doubles its slots. Failures of a job or a kind of task that fails
 * on several workers count against no worker.
 */
class EjectionController
{
public:
    using EventHandler = std::function<void(const WorkerEvent &)>;

    explicit EjectionController(EventHandler handler);

    /** Applies the policy in force. */
    void configure(const PolicyRecord &policy);

    /** Records that a task succeeded on @p worker. */
    void recordSuccess(Worker &worker, const JobEntry &job, TaskIndex task);

    /** Records that a task failed or was lost on @p worker. @param workers number of workers of the service */
    void recordFailure(MonotonicTime now, Worker &worker, JobEntry &job, TaskIndex task, std::size_t workers);

    /** Records a new incarnation of the worker's agent: ends an ejection and drops the failures of the former incarnation. */
    void recordRestart(Worker &worker);

    /** Clears an ejection without reporting it and leaves the worker one slot; called on its removal and readmission. */
    void clearEjection(Worker &worker);

    /** Readmits the workers whose ejection time has passed; calls @p changed with each. */
    void readmit(MonotonicTime now, const std::function<void(Worker &)> &changed);

    /** Returns the time of the next readmission. */
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
