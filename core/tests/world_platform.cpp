// A fake of the platform's key-value service.
#include "world_platform.h"

namespace Sycamoremoor
{

namespace
{

constexpr std::uint32_t LostAnswerPercent = 40;
constexpr std::uint64_t MaxSlowness = 6'000'000; ///< microseconds

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

WorldPlatform::WorldPlatform()
    : m_config(firstConfig())
{
}

void WorldPlatform::setMood(std::uint32_t choice)
{
    m_mood = static_cast<Mood>(choice % 4);
}

bool WorldPlatform::isDown() const
{
    return m_mood == Mood::Down;
}

bool WorldPlatform::losesAnswer(WorldRandom &random) const
{
    return m_mood == Mood::LosesAnswers && random.percent(LostAnswerPercent);
}

Duration WorldPlatform::slowness(WorldRandom &random) const
{
    return m_mood == Mood::Slow ? Duration(random.below(MaxSlowness)) : Duration();
}

HeadRead WorldPlatform::readHead(MonotonicTime requestedAt) const
{
    return {requestedAt, m_roster, m_rosterModRevision, m_config->revision};
}

RosterWriteEnded WorldPlatform::write(const WriteRoster &request)
{
    if (comparesBeforeWrite && request.expectedModRevision != m_rosterModRevision) {
        return {request.roster->epoch, WriteOutcome::Conflict};
    }
    m_roster = request.roster;
    m_rosterModRevision = ++m_revision;
    return {request.roster->epoch, WriteOutcome::Written};
}

ConfigRead WorldPlatform::read(const ReadConfig & /*request*/) const
{
    return {m_config};
}

SlotAgentsRead WorldPlatform::read(const ReadSlotAgents &request) const
{
    const auto found = m_slotAgents.find(request.slot);
    if (found == m_slotAgents.end()) {
        return {request.slot, {}, 0};
    }
    return {request.slot, found->second.agents, found->second.modRevision};
}

SlotAgentsWriteEnded WorldPlatform::write(const WriteSlotAgents &request)
{
    auto &stored = m_slotAgents[request.slot];
    if (comparesBeforeWrite && request.expectedModRevision != stored.modRevision) {
        return {request.slot, WriteOutcome::Conflict, stored.modRevision};
    }
    stored = {request.agents, ++m_revision};
    return {request.slot, WriteOutcome::Written, stored.modRevision};
}

const std::shared_ptr<const RosterRecord> &WorldPlatform::roster() const
{
    return m_roster;
}

} // namespace Sycamoremoor
