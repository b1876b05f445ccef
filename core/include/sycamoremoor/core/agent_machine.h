// State machine of an agent: starts each task on its upstream at most once and records it in a ledger.
#pragma once

#include <sycamoremoor/core/agent_input_type.h>
#include <sycamoremoor/core/agent_output_type.h>
#include <sycamoremoor/core/agent_settings_type.h>

#include <memory>

namespace Sycamoremoor
{

struct LedgerRules;

/**
 * State machine of an agent, without sockets, clocks or threads.
 *
 * It processes one input at a time and appends the resulting actions to the outputs.
 * Equal inputs with equal contexts give equal outputs.
 */
class AgentMachine
{
public:
    explicit AgentMachine(AgentSettings settings);

    /** For tests: an agent that enforces only the given ledger rules. */
    AgentMachine(AgentSettings settings, const LedgerRules &rules);
    ~AgentMachine();

    AgentMachine(AgentMachine &&) noexcept;
    AgentMachine &operator=(AgentMachine &&) noexcept;

    /**
     * Processes one input.
     * @param context time and randomness of this step; time is monotonic
     * @param input the event to process
     * @param outputs the resulting actions are appended here, in order
     */
    void step(const StepContext &context, AgentInput input, AgentOutputs &outputs);

    /** Returns whether the agent accepts tasks: its upstream is healthy and neither of them is shutting down. */
    [[nodiscard]] bool isReady() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sycamoremoor
