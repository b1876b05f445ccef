// The parts of an entry and how inputs reach them.
#pragma once

#include "account_controller.h"
#include "answer_store.h"
#include "config_controller.h"
#include "drain_controller.h"
#include "forward_controller.h"
#include "job_controller.h"
#include "roster_controller.h"
#include "slot_agents_controller.h"
#include "submission_filter.h"
#include "takeover_controller.h"
#include "worker_directory.h"

#include <sycamoremoor/core/entry_machine.h>

#include <map>

namespace Sycamoremoor
{

/** Controllers for state, filters for submissions, and one handler for each input. */
class EntryMachine::Private
{
public:
    explicit Private(EntrySettings given);

    void step(const StepContext &context, EntryInput input, EntryOutputs &outputs);
    [[nodiscard]] bool isReady() const;

private:
    void on(EntryStep &step, const Tick &input);
    void on(EntryStep &step, const JobSubmitted &input);
    void on(EntryStep &step, const CancelRequested &input);
    void on(EntryStep &step, const StatusRequested &input);
    void on(EntryStep &step, const AccountRequested &input);
    void on(EntryStep &step, const ProcessStatusRequested &input);
    void on(EntryStep &step, const CallerDisconnected &input);
    void on(EntryStep &step, const AgentHeartbeatReceived &input);
    void on(EntryStep &step, const TaskReportsReceived &input);
    void on(EntryStep &step, const LedgerReportReceived &input);
    void on(EntryStep &step, const AgentSendFailed &input);
    void on(EntryStep &step, const PeerHeartbeatReceived &input);
    void on(EntryStep &step, const PeerHeartbeatReplyReceived &input);
    void on(EntryStep &step, const OwnerQueryReceived &input);
    void on(EntryStep &step, const OwnerQueryReplyReceived &input);
    void on(EntryStep &step, const HandoverReceived &input);
    void on(EntryStep &step, const HandoverReplyReceived &input);
    void on(EntryStep &step, const ForwardAnswered &input);
    void on(EntryStep &step, const ForwardStatusAnswered &input);
    void on(EntryStep &step, const PeerSendFailed &input);
    void on(EntryStep &step, const HeadRead &input);
    void on(EntryStep &step, const HeadReadFailed &input);
    void on(EntryStep &step, const RosterWriteEnded &input);
    void on(EntryStep &step, const ConfigRead &input);
    void on(EntryStep &step, const SlotAgentsRead &input);
    void on(EntryStep &step, const SlotAgentsWriteEnded &input);
    void on(EntryStep &step, const DrainRequested &input);

    void addFilters();
    FilterVerdict filterClosed(EntryStep &step, const Submission &submission) const;
    FilterVerdict filterStopped(const Submission &submission) const;
    FilterVerdict filterDuplicate(EntryStep &step, const Submission &submission);
    FilterVerdict filterOwnership(EntryStep &step, const Submission &submission);
    FilterVerdict filterKeyAge(EntryStep &step, const Submission &submission) const;
    FilterVerdict filterProof(EntryStep &step, const Submission &submission);
    FilterVerdict filterFutureKey(EntryStep &step, const Submission &submission) const;
    FilterVerdict filterConfiguration(const Submission &submission) const;
    FilterVerdict filterAdmission(EntryStep &step, const Submission &submission);

    TakeoverController::Hooks takeoverHooks();
    DispatcherHooks dispatcherHooks();
    void onRosterChanged(EntryStep &step);
    void onConfigChanged(EntryStep &step);
    void afterInput(EntryStep &step);
    void followTenures(EntryStep &step);
    void checkWorkers(EntryStep &step);
    void updateWorker(EntryStep &step, const KnownWorker &worker);
    void updateWorkers(EntryStep &step);
    void setTimer(EntryStep &step);
    [[nodiscard]] MonotonicTime nextWake() const;
    [[nodiscard]] bool isHome(const AgentHeartbeat &heartbeat) const;
    /** Tells whether this entry lost its proof of membership, so that the agent should ask another entry for the roster. */
    [[nodiscard]] bool isPowerless(MonotonicTime now, const AgentHeartbeat &heartbeat) const;
    [[nodiscard]] OwnerSlotIndex slotOf(const SubmissionKey &key) const;
    std::optional<JobStatus> statusOf(const SubmissionKey &key);
    void forwardStatus(EntryStep &step, ConnectionId connection, const SubmissionKey &key, bool forwarded, bool cancel);
    [[nodiscard]] const RosterMember *statusTarget(const SubmissionKey &key) const;

    EntrySettings m_settings;
    EntryStep *m_step = nullptr; ///< the step under way
    Dispatcher m_dispatcher;
    AnswerStore m_answers;
    WorkerDirectory m_workers;
    ConfigController m_config;
    RosterController m_roster;
    SlotAgentsController m_slotAgents;
    JobController m_jobs;
    ForwardController m_forwards;
    TakeoverController m_takeover;
    DrainController m_drain;
    AccountController m_account;
    SubmissionChain m_chain;
    SubmissionChain::Position m_afterReceipt = 0;
    SubmissionChain::Position m_afterProof = 0;
    std::map<ConnectionId, SubmissionKey> m_statusForwards;
    std::vector<std::pair<OwnerSlotIndex, Epoch>> m_followed;
    std::optional<MonotonicTime> m_lastStep;
    std::optional<MonotonicTime> m_timer;
};

} // namespace Sycamoremoor
