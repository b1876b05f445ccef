// A load: what is sent when, and what came of it.
#pragma once

#include <sycamoremoor/core/error_type.h>
#include <sycamoremoor/core/submission_key.h>
#include <sycamoremoor/core/time_type.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Sycamoremoor
{

/** What a load is made of. */
struct LoadSettings {
    std::uint64_t seed = 1;
    double load = 0.7;       ///< offered work as a share of what the slots can do
    std::int64_t slots = 88; ///< of all runners together
    Duration length = std::chrono::seconds(10);
    double burstFactor = 2;     ///< arrivals during a burst against the mean outside of bursts
    double resubmitShare = 0;   ///< jobs that are also sent by another entry with the same key
    double cancelShare = 0;     ///< jobs that are cancelled while they run
    double impossibleShare = 0; ///< jobs with a task larger than any worker
    Duration deadline = std::chrono::seconds(30);
    std::string service;
    std::string team;
};

/** One task of a planned job. */
struct PlannedTask {
    Duration runTime{};         ///< what it takes
    Duration declaredRunTime{}; ///< what its caller believes
    std::int64_t milliCores = 1'000;
    std::int64_t megabytes = 256;
    bool idempotent = true;
};

/** One job of a plan. */
struct PlannedJob {
    Duration at{}; ///< when it is sent, from the start of the load
    std::vector<PlannedTask> tasks;
    bool resubmitted = false;
    bool cancelled = false;
    bool impossible = false;
};

/** What came of a job. */
struct JobOutcome {
    SubmissionKey key;
    Duration response{}; ///< from the planned time to the answer
    bool answered = false;
    ErrorKind error = ErrorKind::None;
    RunState ran = RunState::NotRun;
    std::vector<std::string> results;
    std::vector<std::string> taskRan; ///< the account's word per task, empty without account
    std::vector<std::string> faults;  ///< promises that the answer itself shows broken
};

/** Returns the result that the task of a job must have. */
std::string expectedResult(const SubmissionKey &key, std::size_t task);

/** Returns a plan; the same settings give the same plan. */
std::vector<PlannedJob> planLoad(const LoadSettings &settings);

/**
 * Returns each job's response time had the same slots been driven with perfect knowledge at no cost:
 * the job with the least work left goes first, its longest task first, nothing is interrupted.
 * Impossible jobs take no time.
 */
std::vector<Duration> idealResponses(const std::vector<PlannedJob> &plan, std::int64_t slots);

/** Counters of all processes, by name of metric or path of message. */
struct MessageCounts {
    std::map<std::string, double> byPath;  ///< requests received between the system's own processes
    std::map<std::string, double> reports; ///< reports streamed back
    std::map<std::string, double> counters;
};

/** Reads OpenMetrics text and adds its values. */
void addMetrics(const std::string &text, MessageCounts &counts);

/** Returns the starts of each task by id, from every file "*.starts" of a folder. */
std::map<std::string, int> readStartLogs(const std::string &folder);

/** Returns a sentence for each broken promise. */
std::vector<std::string>
brokenPromises(const std::vector<JobOutcome> &outcomes, const std::vector<PlannedJob> &plan, const std::map<std::string, int> &starts);

} // namespace Sycamoremoor
