// Jobs: submissions of tasks that are answered as a whole.
#pragma once

#include <sycamoremoor/core/task_type.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Sycamoremoor
{

/** A submission as received from the caller. A single request is a job of one task. */
struct JobSpec {
    SubmissionKey key;
    ServiceName service;
    TeamName team;
    Duration deadline{};         ///< time limit from the receipt by the first entry; zero means the default of the service
    std::vector<TaskSpec> tasks; ///< 1 to 1,000
    bool singleRequest = false;  ///< submitted through /v1/requests, whose answers have a different schema
    std::uint64_t digest = 0;    ///< XXH3 of the fields above except key and deadline, to detect another body with the same key

    friend bool operator==(const JobSpec &, const JobSpec &) = default;
};

using JobSpecPointer = std::shared_ptr<const JobSpec>;

/** State of a job. */
enum class JobState {
    Proving,  ///< after a takeover: waits until the agents have reported which of its tasks the previous owner started
    Queued,   ///< no task was sent to an agent yet
    Running,  ///< at least one task was sent
    Ending,   ///< failed or cancelled; waits for the final states of the tasks that were sent
    Complete, ///< final: every task succeeded
    Failed,   ///< final: there is no result
    End,
};

/** Returns the name of @p state in lower case. */
std::string_view jobStateName(JobState state);

/** Returns the name of @p state in lower case with underscores. */
std::string_view taskStateName(TaskState state);

/** Answer to a submission: complete with every result, or failed with none. */
struct JobAnswer {
    SubmissionKey key;
    ErrorKind error = ErrorKind::None; ///< None means complete
    RunState ran = RunState::NotRun;   ///< NotRun only if no task ran; Unknown if any may have
    std::string detail;                ///< human-readable, may be empty
    Duration retryAfter{};             ///< for refusals: estimated time until a retry is accepted, zero if unknown
    bool singleRequest = false;
    std::vector<std::string> results; ///< one per task if complete, else empty
    std::vector<TaskAccount> account; ///< one per task, or empty if the submission was refused on arrival

    friend bool operator==(const JobAnswer &, const JobAnswer &) = default;
};

using JobAnswerPointer = std::shared_ptr<const JobAnswer>;

/** Answer to GET on a job. */
struct JobStatus {
    SubmissionKey key;
    JobState state = JobState::Queued;
    std::uint32_t tasks = 0;
    std::uint32_t finished = 0;
    JobAnswerPointer answer; ///< set from the end of the job for as long as the answer is stored
};

} // namespace Sycamoremoor
