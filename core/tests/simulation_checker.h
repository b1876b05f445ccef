// The promises of docs/ONCE.md, checked against the runners' start logs and the callers' answers.
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

/** Returns the result that the fake runners give for a payload. */
std::string simulatedResult(const std::string &payload);

/** Watches every start and every answer; keeps what broke a promise. */
class SimulationChecker
{
public:
    /** A caller submitted; also for each resubmission. */
    void submitted(const JobSpec &job);

    /** A runner started a task. */
    void started(const TaskId &task, const std::string &where);

    /** A caller was answered. @param job what this caller had sent */
    void answered(const JobSpec &job, const JobAnswer &answer);

    /** An entry lost its memory, or may be taken for dead: what it answered may come to be unknown. */
    void memoryLost();

    /** Something else broke a promise. */
    void fail(const std::string &what);

    [[nodiscard]] const std::vector<std::string> &violations() const;
    [[nodiscard]] std::size_t starts() const;
    [[nodiscard]] std::size_t completeAnswers() const;
    [[nodiscard]] std::size_t failedAnswers() const;

private:
    /** What was told of a task that "never ran". */
    struct NotRunClaim {
        std::uint32_t submissions = 0; ///< of the key when it was told
        bool retryIsSafe = false;
    };

    /** What was told of a submission. */
    struct KeyHistory {
        std::uint32_t submissions = 0;
        std::optional<JobAnswer> complete;
        std::optional<JobAnswer> finalFailure;
        std::uint32_t memoryLosses = 0; ///< when it was first submitted
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
