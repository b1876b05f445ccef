// Driver of one agent machine for tests: simulated clock, inputs on demand, and typed access to outputs.
#pragma once

#include <sycamoremoor/core/agent_machine.h>
#include <sycamoremoor/core/ledger_rules_type.h>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Sycamoremoor
{

/** An agent whose roster has entries E1 and E2; E1 owns slot 0 with token 5. */
class AgentDriver
{
public:
    explicit AgentDriver(const LedgerRules &rules = {}, const std::function<void(AgentSettings &)> &adjust = {});

    /** Processes one input; outputs then holds the outputs of this step. */
    AgentDriver &feed(AgentInput input);

    /** Advances the clocks and processes a Tick whenever the machine's timer is due; outputs then holds all outputs of that time. */
    AgentDriver &advance(Duration time);

    /** Reports a healthy upstream and a roster to the machine. */
    AgentDriver &makeReady();

    /** Returns a roster in which @p owner owns slot 0 with @p token. */
    static std::shared_ptr<RosterRecord> roster(const EntryName &owner, Epoch token);

    [[nodiscard]] OwnerClaim claim(std::uint64_t token = 5, const char *owner = "E1") const;
    [[nodiscard]] AgentStamp stampNow() const;

    /** Returns a start of tasks @p indexes of one submission, as the owner would send it now. */
    [[nodiscard]] StartTasks start(const std::vector<std::uint32_t> &indexes) const;

    [[nodiscard]] TaskId task(std::uint32_t index) const;

    /** Returns the outputs of one kind. */
    template<typename Output>
    [[nodiscard]] std::vector<Output> all() const
    {
        std::vector<Output> found;
        for (const auto &output : outputs) {
            if (const auto *match = std::get_if<Output>(&output)) {
                found.push_back(*match);
            }
        }
        return found;
    }

    /** Returns the last report of a task in ReportToOwner outputs; reports in heartbeats don't count. */
    [[nodiscard]] std::optional<TaskReport> report(std::uint32_t index) const;

    AgentSettings settings;
    SubmissionKey key;
    MonotonicTime now{std::chrono::hours(1)};
    WallTime wall{std::chrono::hours(500'000)};
    AgentOutputs outputs;
    std::unique_ptr<AgentMachine> machine;
    std::optional<MonotonicTime> timer;
    int startsSeen = 0; ///< number of StartOnUpstream outputs since construction

private:
    void collect(AgentInput input);
};

} // namespace Sycamoremoor
