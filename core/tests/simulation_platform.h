// A fake of the platform's key-value service: compare-and-swap, outages, slow and lost answers.
#pragma once

#include "simulation_network.h"

#include <sycamoremoor/core/entry_output_type.h>

#include <map>
#include <memory>

namespace Sycamoremoor
{

/** Holds roster, configuration and recorded agents. Each call answers by an input of the entry. */
class SimulationPlatform
{
public:
    SimulationPlatform();

    /** Chooses how the service is: well, down, slow, losing answers after writes. */
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

    bool comparesBeforeWrite = true; ///< switched off to show that the compare is needed

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
