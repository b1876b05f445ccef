// Checks the promises of docs/ONCE.md against the runners' start logs and the callers' answers.
#pragma once

#include <sycamoremoor/core/job_type.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Sycamoremoor
{

/** Returns the result that a simulated runner produces for a payload. */
std::string simulatedResult(const std::string &payload);

/** Checks every start and every answer, and records the violations of a promise. */
class SimulationChecker
{
public:
    /** Records a submission; to be called for each resubmission too. */
    void submitted(const JobSpec &job);

    /** Checks the start of a task. @param where name and incarnation of the runner */
    void started(const TaskId &task, const std::string &where);

    /** Checks an answer. @param job the job as submitted by the caller that got the answer */
    void answered(const JobSpec &job, const JobAnswer &answer);

    /** Records that an entry lost its state, or may be considered dead: outcomes that it answered may become unknown. */
    void memoryLost();

    /** Records a violation that was detected elsewhere. */
    void fail(const std::string &what);

    [[nodiscard]] const std::vector<std::string> &violations() const;
    [[nodiscard]] std::size_t starts() const;
    [[nodiscard]] std::size_t completeAnswers() const;
    [[nodiscard]] std::size_t failedAnswers() const;

private:
    /** An answer that reported a task as not run. */
    struct NotRunClaim {
        std::uint32_t submissions = 0; ///< of the key at the time of the answer
        bool retryIsSafe = false;
    };

    /** The answers to the submissions under one key. */
    struct KeyHistory {
        std::uint32_t submissions = 0;
        std::optional<JobAnswer> complete;
        std::optional<JobAnswer> finalFailure;
        std::uint32_t memoryLosses = 0; ///< of all entries at the time of the first submission
    };

    void checkResults(const JobSpec &job, const JobAnswer &answer);
    void checkAccount(const JobSpec &job, const JobAnswer &answer);
    void checkNotRun(const JobSpec &job, const JobAnswer &answer);
    void checkConsistency(const JobSpec &job, const JobAnswer &answer);
    [[nodiscard]] bool mayDiffer(const KeyHistory &history, const JobAnswer &failed) const;
    void claimNotRun(const TaskId &task, const JobAnswer &answer);

    std::vector<std::string> m_violations;
    std::unordered_map<TaskId, std::string> m_starts;
    std::unordered_map<TaskId, NotRunClaim> m_notRun;
    std::map<SubmissionKey, KeyHistory> m_history;
    std::uint32_t m_memoryLosses = 0;
    std::size_t m_complete = 0;
    std::size_t m_failed = 0;
};

} // namespace Sycamoremoor
