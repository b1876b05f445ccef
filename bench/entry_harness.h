// An entry alone with a fake platform, for measurements.
#pragma once

#include <sycamoremoor/core/entry_machine.h>

#include <cstddef>
#include <memory>
#include <vector>

namespace Sycamoremoor
{

/** One entry that owns the only slot, and the starts that it sent. */
class EntryHarness
{
public:
    EntryHarness();

    /** Gives an input and answers what the entry asks of the platform. */
    void step(EntryInput input);

    /** Lets time pass in steps of a millisecond at most. */
    void pass(Duration duration);

    /** Heartbeats of agents 0 to @p count, brief after the first, through their JSON. @return bytes of heartbeats and answers */
    std::size_t heartbeats(std::size_t count);

    /** Submits a job. @param payloadBytes of each task */
    void submit(std::size_t tasks, std::size_t payloadBytes);

    /** Ends every task that was sent, through the JSON of starts and reports. @return bytes of both */
    std::size_t finishAll();

    [[nodiscard]] std::size_t answers() const;

private:
    void answerPlatform(const EntryOutputs &outputs);
    [[nodiscard]] AgentHeartbeat heartbeat(std::size_t index, bool brief) const;

    EntryMachine m_machine;
    MonotonicTime m_now{std::chrono::seconds(1'000)};
    WallTime m_wall{std::chrono::seconds(1'780'000'000)};
    std::shared_ptr<const RosterRecord> m_roster;
    std::shared_ptr<const ConfigSet> m_config;
    std::vector<StartTasks> m_starts;
    std::vector<std::uint64_t> m_sequences; ///< of each agent's reports
    std::uint64_t m_entropy = 1;
    std::uint64_t m_connection = 1;
    std::size_t m_answers = 0;
    std::size_t m_replyBytes = 0;
};

} // namespace Sycamoremoor
