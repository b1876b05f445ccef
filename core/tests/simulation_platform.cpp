// Simulated key-value service of the platform.
#include "simulation_platform.h"

namespace Sycamoremoor
{

namespace
{

constexpr std::uint32_t LostAnswerPercent = 40;
constexpr std::uint64_t MaxAnswerDelay = 6'000'000; ///< microseconds

std::shared_ptr<const ConfigSet> firstConfig()
{
    auto config = std::make_shared<ConfigSet>();
    config->revision = Revision(1);
    config->changeId = ChangeId("first");
    ServiceRecord service;
    service.name = ServiceName("reclaim-desk");
    config->services[service.name] = service;
    TeamRecord team;
    team.name = TeamName("intake");
    config->teams[team.name] = team;
    return config;
}

} // namespace

SimulationPlatform::SimulationPlatform()
    : m_config(firstConfig())
{
}

void SimulationPlatform::setCondition(std::uint32_t choice)
{
    m_condition = static_cast<Condition>(choice % 4);
}

bool SimulationPlatform::isDown() const
{
    return m_condition == Condition::Down;
}

bool SimulationPlatform::losesAnswer(SimulationRandom &random) const
{
    return m_condition == Condition::LosesAnswers && random.percent(LostAnswerPercent);
}

Duration SimulationPlatform::answerDelay(SimulationRandom &random) const
{
    return m_condition == Condition::Slow ? Duration(random.below(MaxAnswerDelay)) : Duration();
}

HeadRead SimulationPlatform::readHead(MonotonicTime requestedAt) const
{
    return {requestedAt, m_roster, m_rosterModRevision, m_config->revision};
}

RosterWriteEnded SimulationPlatform::write(const WriteRoster &request)
{
    if (comparesBeforeWrite && request.expectedModRevision != m_rosterModRevision) {
        return {request.roster->epoch, WriteOutcome::Conflict};
    }
    m_roster = request.roster;
    m_rosterModRevision = ++m_revision;
    return {request.roster->epoch, WriteOutcome::Written};
}

ConfigRead SimulationPlatform::read(const ReadConfig & /*request*/) const
{
    return {m_config};
}

SlotAgentsRead SimulationPlatform::read(const ReadSlotAgents &request) const
{
    const auto found = m_slotAgents.find(request.slot);
    if (found == m_slotAgents.end()) {
        return {request.slot, {}, 0};
    }
    return {request.slot, found->second.agents, found->second.modRevision};
}

SlotAgentsWriteEnded SimulationPlatform::write(const WriteSlotAgents &request)
{
    auto &stored = m_slotAgents[request.slot];
    if (comparesBeforeWrite && request.expectedModRevision != stored.modRevision) {
        return {request.slot, WriteOutcome::Conflict, stored.modRevision};
    }
    stored = {request.agents, ++m_revision};
    return {request.slot, WriteOutcome::Written, stored.modRevision};
}

const std::shared_ptr<const RosterRecord> &SimulationPlatform::roster() const
{
    return m_roster;
}

} // namespace Sycamoremoor
