// What the controllers of an agent share.
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

/** One step: its time and where its outputs go. */
struct AgentStep {
    const StepContext &context;
    AgentOutputs &outputs;
};

/** A task that has not ended. */
struct ActiveTask {
    TaskSpec spec;             ///< emptied once handed to the upstream
    MonotonicTime startBy{};   ///< it must not start later
    MonotonicTime startedAt{}; ///< when it was handed to the upstream
    MonotonicTime queryAt{};   ///< when the upstream is asked about it
    Duration queryDelay{};
    Duration expectedRunTime{};       ///< declared run time
    std::uint32_t unknownAnswers = 0; ///< times in a row that the upstream did not know it
    bool startConfirmed = false;      ///< the upstream said that it has the task
    ErrorKind stopReason = ErrorKind::None;
};

/** State that more than one controller reads. Each field is written by the one named. */
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
    WallTime startedAt{};                          ///< of this life
    MonotonicTime firstStep{};
    bool upstreamHealthy = false;    ///< UpstreamController
    bool upstreamLeaving = false;    ///< UpstreamController
    Incarnation upstreamIncarnation; ///< UpstreamController
    WorkerUsage usage;               ///< UpstreamController
    bool draining = false;
    std::deque<AuditRecord> audit;

    /** Tells whether new tasks are taken. */
    [[nodiscard]] bool accepting() const
    {
        return upstreamHealthy && !isLeaving();
    }

    /** Tells whether the agent or its upstream is stopping. */
    [[nodiscard]] bool isLeaving() const
    {
        return draining || upstreamLeaving;
    }
};

} // namespace Sycamoremoor
