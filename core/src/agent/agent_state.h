// State shared by the controllers of an agent.
#pragma once

#include "ledger.h"
#include "owner_table.h"
#include "slot_tokens.h"

#include <sycamoremoor/core/agent_output_type.h>
#include <sycamoremoor/core/agent_settings_type.h>
#include <sycamoremoor/core/ledger_rules_type.h>

#include <deque>
#include <memory>
#include <utility>

namespace Sycamoremoor
{

/** One step of the machine: its context and the list that its outputs are appended to. */
struct AgentStep {
    const StepContext &context;
    AgentOutputs &outputs;
};

/** A task that has not ended. */
struct ActiveTask {
    TaskSpec spec;             ///< emptied when the task is started on the upstream
    MonotonicTime startBy{};   ///< the task must not be started later
    MonotonicTime startedAt{}; ///< when the task was started on the upstream
    MonotonicTime queryAt{};   ///< time of the next query to the upstream
    Duration queryDelay{};
    Duration expectedRunTime{};       ///< declared run time
    std::uint32_t unknownAnswers = 0; ///< consecutive answers of the upstream that it does not know the task
    bool startConfirmed = false;      ///< the upstream has reported that it knows the task
    ErrorKind stopReason = ErrorKind::None;
};

/** State that more than one controller reads. Each field is written only by the controllers named beside it. */
struct AgentState {
    explicit AgentState(AgentSettings agentSettings, const LedgerRules &ledgerRules)
        : settings(std::move(agentSettings))
        , rules(ledgerRules)
        , ledger(settings, rules, owners)
    {
    }

    AgentSettings settings;
    LedgerRules rules;
    OwnerTable owners;
    Ledger ledger;                                 ///< TaskController
    SlotTokens tokens;                             ///< TaskController, HeartbeatController
    std::unordered_map<TaskId, ActiveTask> active; ///< TaskController
    std::deque<TaskId> queue;                      ///< TaskController; tasks that wait for a slot, oldest first
    std::uint32_t running = 0;                     ///< TaskController
    std::shared_ptr<const RosterRecord> roster;    ///< HeartbeatController
    std::shared_ptr<const ConfigSet> config;       ///< HeartbeatController
    WallTime configSince{};                        ///< HeartbeatController
    WallTime startedAt{};                          ///< start time of this incarnation
    MonotonicTime firstStep{};
    bool upstreamHealthy = false;    ///< UpstreamController
    bool upstreamLeaving = false;    ///< UpstreamController
    Incarnation upstreamIncarnation; ///< UpstreamController
    WorkerUsage usage;               ///< UpstreamController
    bool draining = false;
    std::deque<AuditRecord> audit;

    /** Returns whether new tasks are accepted. */
    [[nodiscard]] bool accepting() const
    {
        return upstreamHealthy && !isLeaving();
    }

    /** Returns whether the agent or its upstream is shutting down. */
    [[nodiscard]] bool isLeaving() const
    {
        return draining || upstreamLeaving;
    }
};

} // namespace Sycamoremoor
