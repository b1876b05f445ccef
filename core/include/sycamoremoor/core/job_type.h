// A job: a submission of tasks that is answered as a whole.
#pragma once

#include <sycamoremoor/core/task_type.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Sycamoremoor
{

/** A submission as the caller sent it. A single request is a job of one task. */
struct JobSpec {
    SubmissionKey key;
    ServiceName service;
    TeamName team;
    Duration deadline{};         ///< time left from the receipt by the first entry; zero means the service's default
    std::vector<TaskSpec> tasks; ///< 1 to 1,000
    bool singleRequest = false;  ///< came by /v1/requests; the answer has another shape
    std::uint64_t digest = 0;    ///< XXH3 of everything above but the key and deadline, to recognise the same body

    friend bool operator==(const JobSpec &, const JobSpec &) = default;
};

using JobSpecPointer = std::shared_ptr<const JobSpec>;

/** How a job stands. */
enum class JobState {
    Proving,  ///< waits until it is known which of its tasks an earlier owner started
    Queued,   ///< no task was sent yet
    Running,  ///< some task was sent
    Ending,   ///< failed or cancelled, waits for the truth about tasks that were sent
    Complete, ///< ended, every task succeeded
    Failed,   ///< ended, no result is given
    End,
};

/** Returns the name of @p state in lower case. */
std::string_view jobStateName(JobState state);

/** Returns the name of @p state in lower case with underscores. */
std::string_view taskStateName(TaskState state);

/** The whole answer to a submission: complete with every result, or failed with none. */
struct JobAnswer {
    SubmissionKey key;
    ErrorKind error = ErrorKind::None; ///< None means complete
    RunState ran = RunState::NotRun;   ///< NotRun only if no task ran; Unknown if any may have
    std::string detail;                ///< for people, may be empty
    Duration retryAfter{};             ///< honest estimate for refusals, zero if none
    bool singleRequest = false;
    std::vector<std::string> results; ///< one per task when complete, else empty
    std::vector<TaskAccount> account; ///< one per task, or empty when the submission was refused before it was taken

    friend bool operator==(const JobAnswer &, const JobAnswer &) = default;
};

using JobAnswerPointer = std::shared_ptr<const JobAnswer>;

/** What GET on a job tells. */
struct JobStatus {
    SubmissionKey key;
    JobState state = JobState::Queued;
    std::uint32_t tasks = 0;
    std::uint32_t finished = 0;
    JobAnswerPointer answer; ///< set once it ended and while the answer is kept
};

} // namespace Sycamoremoor
