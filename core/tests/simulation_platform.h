// Simulated key-value service of the platform: compare-and-swap, outages, slow and lost answers.
#pragma once

#include "simulation_network.h"

#include <sycamoremoor/core/entry_output_type.h>

#include <map>
#include <memory>

namespace Sycamoremoor
{

/** Stores the roster, the configuration and the agents of each slot. Each call returns its answer as an input of the entry. */
class SimulationPlatform
{
public:
    SimulationPlatform();

    /** Makes the service healthy, down, slow, or lose answers to writes. */
    void setCondition(std::uint32_t choice);

    [[nodiscard]] bool isDown() const;
    [[nodiscard]] bool losesAnswer(SimulationRandom &random) const;
    [[nodiscard]] Duration answerDelay(SimulationRandom &random) const;

    HeadRead readHead(MonotonicTime requestedAt) const;
    RosterWriteEnded write(const WriteRoster &request);
    ConfigRead read(const ReadConfig &request) const;
    SlotAgentsRead read(const ReadSlotAgents &request) const;
    SlotAgentsWriteEnded write(const WriteSlotAgents &request);

    [[nodiscard]] const std::shared_ptr<const RosterRecord> &roster() const;

    bool comparesBeforeWrite = true; ///< off in the test that shows that the comparison is needed

private:
    enum class Condition {
        Healthy,
        Down,
        Slow,
        LosesAnswers,
    };

    struct SlotAgents {
        std::vector<AgentName> agents;
        std::int64_t modRevision = 0;
    };

    Condition m_condition = Condition::Healthy;
    std::int64_t m_revision = 1;
    std::shared_ptr<const RosterRecord> m_roster;
    std::int64_t m_rosterModRevision = 0;
    std::shared_ptr<const ConfigSet> m_config;
    std::map<OwnerSlotIndex, SlotAgents> m_slotAgents;
};

} // namespace Sycamoremoor
