// A job that an owner works on.
#pragma once

#include <sycamoremoor/core/job_type.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Sycamoremoor
{

/** After its deadline a job waits so long for the truth about tasks that were sent. */
inline constexpr Duration EndingGrace = std::chrono::seconds(1);

/** Takes every "not run" in an answer back to "unknown": what could not be proven then. */
inline void withdrawDenial(JobAnswer &answer)
{
    answer.ran = answer.ran == RunState::NotRun ? RunState::Unknown : answer.ran;
    for (auto &line : answer.account) {
        if (line.ran == RunState::NotRun) {
            line.ran = RunState::Unknown;
            answer.ran = RunState::Unknown;
        }
    }
}

/** Where a task of an open job is. */
enum class TaskStage {
    Waiting, ///< in the dispatcher's queue
    Sent,    ///< placed at an agent; the dispatcher waits for its end
    Ended,
    End,
};

/** A task of an open job. */
struct OpenTask {
    TaskStage stage = TaskStage::Waiting;
    TaskAccount account;
    std::string result;
    Incarnation agentIncarnation;
    MonotonicTime queuedAt;
    MonotonicTime sentAt;
    bool onlyStartSent = true; ///< no stop or query about it was sent since its start
    bool stopSent = false;     ///< its agent was told to stop it
    bool doubted = false;      ///< its agent is to be asked about it
    MonotonicTime askedAt;
};

/** A job that was taken and has open tasks or no answer yet. */
struct OpenJob {
    JobSpecPointer spec;
    OwnerSlotIndex slot;
    Epoch token; ///< with which it was taken
    JobState state = JobState::Queued;
    MonotonicTime receivedAt;
    WallTime receivedWall{};
    MonotonicTime deadline;
    std::vector<OpenTask> tasks;
    std::uint32_t ended = 0;
    ErrorKind error = ErrorKind::None; ///< why it fails; the first cause
    std::string detail;
    std::vector<ConnectionId> callers;
    std::uint32_t timesSubmitted = 1;
    bool answered = false; ///< by its deadline, with tasks whose truth was not known then
};

/** What is known of one task of a submission that an earlier owner took. */
struct AdoptedTask {
    enum class Kind {
        Fresh,   ///< provably never started
        Known,   ///< an agent's ledger tells its state
        Unknown, ///< may have started
        End,
    };
    Kind kind = Kind::Fresh;
    AgentName agent;
    Incarnation agentIncarnation;
    TaskReport report;
};

} // namespace Sycamoremoor
