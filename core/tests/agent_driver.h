// Drives one agent machine in tests: a clock, an upstream that answers on demand, and typed access to outputs.
#pragma once

#include <sycamoremoor/core/agent_machine.h>
#include <sycamoremoor/core/ledger_rules_type.h>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Sycamoremoor
{

/** An agent with one entry, E1, that owns slot 0 with token 5. */
class AgentDriver
{
public:
    explicit AgentDriver(const LedgerRules &rules = {}, const std::function<void(AgentSettings &)> &adjust = {});

    /** Feeds one input; outputs() holds what came of it. */
    AgentDriver &feed(AgentInput input);

    /** Lets time pass, waking the machine whenever its timer is due. Keeps all outputs of that time. */
    AgentDriver &advance(Duration time);

    /** Makes the upstream healthy and the roster known. */
    AgentDriver &makeReady();

    /** A roster in which @p owner has slot 0 with @p token. */
    static std::shared_ptr<RosterRecord> roster(const EntryName &owner, Epoch token);

    [[nodiscard]] OwnerClaim claim(std::uint64_t token = 5, const char *owner = "E1") const;
    [[nodiscard]] AgentStamp stampNow() const;

    /** A start of tasks @p indexes of one submission, as the owner would send it now. */
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

    /** Returns the last report of a task in the outputs, sent by itself. */
    [[nodiscard]] std::optional<TaskReport> report(std::uint32_t index) const;

    AgentSettings settings;
    SubmissionKey key;
    MonotonicTime now{std::chrono::hours(1)};
    WallTime wall{std::chrono::hours(500'000)};
    AgentOutputs outputs;
    std::unique_ptr<AgentMachine> machine;
    std::optional<MonotonicTime> timer;
    int startsSeen = 0; ///< StartOnUpstream since the beginning

private:
    void collect(AgentInput input);
};

} // namespace Sycamoremoor
