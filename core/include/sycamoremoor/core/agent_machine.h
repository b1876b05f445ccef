// The decisions of an agent: starts tasks on its upstream at most once and remembers them.
#pragma once

#include <sycamoremoor/core/agent_input_type.h>
#include <sycamoremoor/core/agent_output_type.h>
#include <sycamoremoor/core/agent_settings_type.h>

#include <memory>

namespace Sycamoremoor
{

struct LedgerRules;

/**
 * An agent without sockets, clocks or threads.
 *
 * Feed it inputs one at a time; it appends what is to be done to the outputs.
 * Equal inputs with equal contexts give equal outputs.
 */
class AgentMachine
{
public:
    explicit AgentMachine(AgentSettings settings);

    /** For tests: an agent that keeps only some of the ledger's rules. */
    AgentMachine(AgentSettings settings, const LedgerRules &rules);
    ~AgentMachine();

    AgentMachine(AgentMachine &&) noexcept;
    AgentMachine &operator=(AgentMachine &&) noexcept;

    /**
     * Takes one input.
     * @param context time and randomness of this step; time never steps back
     * @param input what happened
     * @param outputs what to do about it is appended here, in order
     */
    void step(const StepContext &context, AgentInput input, AgentOutputs &outputs);

    /** Tells whether the agent takes tasks: its upstream is healthy and neither is stopping. */
    [[nodiscard]] bool isReady() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sycamoremoor
