// Ended submissions: answers for resubmission, bounded in bytes and time, and what is left of them after that.
#pragma once

#include <sycamoremoor/core/account_type.h>
#include <sycamoremoor/core/config_type.h>
#include <sycamoremoor/core/entry_settings_type.h>
#include <sycamoremoor/core/job_type.h>

#include <deque>
#include <set>
#include <unordered_map>
#include <utility>

namespace Sycamoremoor
{

/** A submission that ended. Outlives its answer until its key has expired. */
struct EndedSubmission {
    SubmissionKey key;
    std::uint64_t digest = 0;
    ServiceName service;
    TeamName team;
    JobState state = JobState::Failed;
    ErrorKind error = ErrorKind::None;
    RunState ran = RunState::NotRun;
    WallTime receivedAt{};
    WallTime answeredAt{};
    std::uint32_t timesSubmitted = 1;
    std::uint32_t timesAnswered = 0;
    JobAnswerPointer answer; ///< empty once released
};

/** Keeps ended submissions by key. */
class AnswerStore
{
public:
    explicit AnswerStore(const EntrySettings &settings);

    void configure(const PolicyRecord &policy);

    /** Keeps a submission; one that is kept already stays as it is. */
    void put(WallTime now, const EndedSubmission &submission);

    [[nodiscard]] EndedSubmission *find(const SubmissionKey &key);
    [[nodiscard]] const std::unordered_map<SubmissionKey, EndedSubmission> &all() const;

    /** Lets go of answers that are too old or too many, and of submissions whose keys have expired. */
    void release(WallTime now);

    /** Forgets everything. */
    void clear();

    /** Returns how many submissions were forgotten. */
    [[nodiscard]] std::uint64_t releasedCount() const;

private:
    /** An answer in the order of its keeping. */
    struct Kept {
        SubmissionKey key;
        WallTime at{};
        std::int64_t bytes = 0;
    };

    const EntrySettings &m_settings;
    Duration m_retention;
    ByteCount m_maxBytes;
    std::unordered_map<SubmissionKey, EndedSubmission> m_submissions;
    std::deque<Kept> m_answers;
    std::set<std::pair<WallTime, SubmissionKey>> m_expiry;
    std::int64_t m_bytes = 0;
    std::uint64_t m_released = 0;
};

} // namespace Sycamoremoor
