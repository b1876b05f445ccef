// Proof of what former owners started, before a new owner takes a key that they may have had.
#pragma once

#include "entry_step.h"
#include "open_job_type.h"
#include "roster_controller.h"
#include "slot_agents_controller.h"
#include "submission_type.h"
#include "worker_directory.h"

#include <sycamoremoor/core/entry_input_type.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Sycamoremoor
{

/** Collects ledgers and the word of leaving owners; holds submissions until their past is known. */
class TakeoverController
{
public:
    struct Parts {
        const EntrySettings &settings;
        RosterController &roster;
        WorkerDirectory &workers;
        SlotAgentsController &slotAgents;
    };

    /** What happens to a submission whose past is known. */
    struct Hooks {
        std::function<void(EntryStep &, const std::vector<Submission> &)> fresh; ///< provably never taken before
        std::function<void(EntryStep &, const std::vector<Submission> &, const std::vector<AdoptedTask> &, bool cancelled)> adopt;
        std::function<void(EntryStep &, const Submission &, const FormerOwner &)> forward; ///< a leaving owner has it
        std::function<void(EntryStep &, const Submission &)> release;                      ///< this entry lost the slot meanwhile
        std::function<void(EntryStep &, const Submission &, ErrorKind)> refuse;
    };

    TakeoverController(Parts parts, Hooks hooks);

    /** Tells whether a key may have been taken by a former owner of its slot. */
    [[nodiscard]] bool needsProof(const SubmissionKey &key, const Tenure &tenure) const;

    /** Holds a submission until its past is known. */
    void prove(EntryStep &step, const Submission &submission, OwnerSlotIndex slot);

    LedgerReportReply onLedgerReport(EntryStep &step, const LedgerReport &report);
    void onOwnerQueryReply(EntryStep &step, const OwnerQueryReply &reply);
    void onCallerGone(ConnectionId connection);
    void onRosterChanged(EntryStep &step);
    void onTime(EntryStep &step);

    /** Marks a held submission as cancelled. @return false if it is not held */
    bool cancel(const SubmissionKey &key);

    /** Refuses everything that is held. @return how many callers */
    std::uint32_t cutOff(EntryStep &step);

    [[nodiscard]] bool isProving(const SubmissionKey &key) const;
    [[nodiscard]] std::uint32_t provingCount() const;
    [[nodiscard]] std::optional<MonotonicTime> nextWake() const;

private:
    /** How much of the ledger of one life of an agent has arrived. */
    struct AgentLedger {
        WallTime startedAt{};
        std::uint32_t parts = 0;
        std::set<std::uint32_t> arrived;
    };

    /** An entry of an agent's ledger. */
    struct LedgerEntry {
        AgentName agent;
        Incarnation incarnation;
        TaskReport report;
    };

    /** Ledgers of one slot under one token. */
    struct SlotProof {
        Epoch token;
        std::map<std::pair<AgentName, Incarnation>, AgentLedger> ledgers; ///< a late report of an earlier life changes no later one
        std::map<TaskId, std::vector<LedgerEntry>> entries;
        std::set<AgentName> givenUp;
        std::optional<MonotonicTime> waitingSince;
        bool complete = false;
    };

    /** A submission whose past is not known yet. */
    struct Proving {
        std::vector<Submission> callers;
        OwnerSlotIndex slot;
        MonotonicTime deadline;
        std::set<EntryName> denied; ///< leaving owners that do not have it
        MonotonicTime askAgainAt;
        bool cancelled = false;
    };

    void ask(EntryStep &step, const SubmissionKey &key, Proving &proving);
    void advance(EntryStep &step, const SubmissionKey &key);
    bool updateProof(MonotonicTime now, OwnerSlotIndex slot);
    [[nodiscard]] bool isReported(const SlotProof &proof, const AgentName &agent, MonotonicTime exclusiveAt) const;
    /** Tells whether the agent reported, and all lives of it that did began before @p bound. */
    [[nodiscard]] static bool beganBefore(const SlotProof &proof, const AgentName &agent, WallTime bound);
    [[nodiscard]] bool reachesBack(const SlotProof &proof, OwnerSlotIndex slot, WallTime created) const;
    [[nodiscard]] std::vector<AdoptedTask> recall(const JobSpec &job, const SlotProof &proof, OwnerSlotIndex slot) const;
    [[nodiscard]] AdoptedTask recallTask(const TaskId &id, const SlotProof &proof, bool ledgersReachBack) const;
    [[nodiscard]] static bool hasOtherBody(const JobSpec &job, const SlotProof &proof);
    SlotProof &proofOf(const Tenure &tenure);

    Parts m_parts;
    Hooks m_hooks;
    std::map<OwnerSlotIndex, SlotProof> m_proofs;
    std::map<SubmissionKey, Proving> m_proving;
    std::optional<MonotonicTime> m_nextCheck;
};

} // namespace Sycamoremoor
