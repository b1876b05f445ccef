// Jobs of this owner: their tasks, their agents' reports, their whole answers.
#pragma once

#include "answer_store.h"
#include "entry_step.h"
#include "open_job_type.h"
#include "roster_controller.h"
#include "submission_type.h"
#include "worker_directory.h"

#include <sycamoremoor/core/dispatcher.h>
#include <sycamoremoor/core/entry_input_type.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Sycamoremoor
{

/** Carries jobs from their acceptance to their answer. */
class JobController
{
public:
    /** Parts of the entry that it works with. */
    struct Parts {
        const EntrySettings &settings;
        RosterController &roster;
        WorkerDirectory &workers;
        AnswerStore &answers;
        Dispatcher &dispatcher;
        std::function<void(EntryStep &step, KnownWorker &worker)> workerChanged; ///< tells the dispatcher what is known of a worker
    };

    explicit JobController(Parts parts);

    /** Takes a submission that is new. */
    void accept(EntryStep &step, const Submission &submission, OwnerSlotIndex slot);

    /** Takes a submission that an earlier owner had taken. @param tasks what is known, one for each task */
    void adopt(EntryStep &step, const Submission &submission, OwnerSlotIndex slot, const std::vector<AdoptedTask> &tasks);

    /** Adds a caller to an open job. */
    static void attach(OpenJob &job, ConnectionId caller);

    /** Cancels a job. @return false if no such job is open */
    bool cancel(EntryStep &step, const SubmissionKey &key);

    void onReports(EntryStep &step, const AgentName &agent, Incarnation incarnation, const std::vector<TaskReport> &reports);
    void onSendFailed(EntryStep &step, const AgentSendFailed &failure);

    /** A life of an agent ended, or was silent for too long: what became of its tasks is unknown. */
    void onAgentLost(EntryStep &step, const AgentName &agent, Incarnation incarnation);

    /** Compares what an agent holds with what was sent there, and asks about what is missing. */
    void onHeartbeat(EntryStep &step, KnownWorker &worker, std::uint32_t heldForOwner);

    void onCallerGone(ConnectionId connection);

    /** Sends what the dispatcher places. */
    void dispatch(EntryStep &step);

    void onTime(EntryStep &step);

    /** Lets go of every job, without an answer. @return submissions whose callers wait */
    std::vector<Submission> abandon(EntryStep &step);

    /** Lets go of the jobs of lost owner slots of which no task ever started. @return submissions whose callers wait */
    std::vector<Submission> releaseUnstarted();

    /** Answers every open job as it stands. @return how many */
    std::uint32_t cutOff(EntryStep &step);

    [[nodiscard]] OpenJob *find(const SubmissionKey &key);
    [[nodiscard]] const std::unordered_map<SubmissionKey, OpenJob> &jobs() const;
    [[nodiscard]] JobStatus status(const OpenJob &job) const;
    [[nodiscard]] std::uint32_t unansweredJobs() const;
    [[nodiscard]] std::optional<MonotonicTime> nextWake() const;

private:
    using PlacedTasks = std::map<AgentName, std::set<TaskId>>;

    OpenJob &open(EntryStep &step, const Submission &submission, OwnerSlotIndex slot);
    OpenTask *findTask(const TaskId &id);
    void onReport(EntryStep &step, const AgentName &agent, Incarnation incarnation, const TaskReport &report);
    void onFinalReport(EntryStep &step, OpenJob &job, OpenTask &task, const TaskReport &report);
    void onNotStarted(EntryStep &step, OpenJob &job, OpenTask &task, ErrorKind error, PlacementEnd::Kind end);
    void markLost(EntryStep &step, OpenJob &job, OpenTask &task, ErrorKind error);
    void adoptTask(EntryStep &step, OpenJob &job, TaskIndex index, const AdoptedTask &adopted, std::vector<TaskIndex> &fresh);
    void endTask(OpenJob &job, OpenTask &task);
    void leaveAgent(const OpenJob &job, OpenTask &task);
    void fail(EntryStep &step, OpenJob &job, ErrorKind error, const std::string &detail);
    void stopSentTasks(EntryStep &step, OpenJob &job);
    void settle(EntryStep &step, const SubmissionKey &key);
    void answer(EntryStep &step, OpenJob &job);
    void ask(EntryStep &step, const AgentName &agent, const std::vector<TaskId> &tasks);
    void askDoubted(EntryStep &step);
    void sendStarts(EntryStep &step, const AgentName &agent, const std::vector<Placement> &placements);
    void markSent(EntryStep &step, OpenJob &job, OpenTask &task, const KnownWorker &worker);
    [[nodiscard]] OwnerClaim right(OwnerSlotIndex slot) const;

    Parts m_parts;
    std::unordered_map<SubmissionKey, OpenJob> m_jobs;
    PlacedTasks m_placed;
    std::set<std::pair<MonotonicTime, SubmissionKey>> m_deadlines;
    std::set<TaskId> m_doubted;
    std::optional<MonotonicTime> m_nextAsk;
};

} // namespace Sycamoremoor
