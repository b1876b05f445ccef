// Quotas and queue bounds of teams.
#include "dispatch/quota_ledger.h"

#include <algorithm>
#include <cmath>

namespace Sycamoremoor
{

void QuotaLedger::configure(const ConfigSet &config, double ownerShare)
{
    m_ownerShare = ownerShare;
    m_records.clear();
    m_records.insert(config.teams.begin(), config.teams.end());
    for (auto &[team, use] : m_uses) {
        const auto record = m_records.find(team);
        apply(record == m_records.end() ? TeamRecord{} : record->second, use);
    }
}

TeamUse &QuotaLedger::use(const TeamName &team)
{
    const auto [found, isNew] = m_uses.try_emplace(team);
    if (isNew) {
        found->second.index = m_uses.size();
        const auto record = m_records.find(team);
        apply(record == m_records.end() ? TeamRecord{} : record->second, found->second);
    }
    return found->second;
}

ErrorKind QuotaLedger::checkQueue(const TeamName &team, std::size_t tasks) const
{
    const auto record = m_records.find(team);
    if (record == m_records.end()) {
        return ErrorKind::UnknownTeam;
    }
    const auto use = m_uses.find(team);
    const std::size_t queued = use == m_uses.end() ? 0 : use->second.queued;
    return queued + tasks > record->second.maxQueueTasks ? ErrorKind::QuotaExceeded : ErrorKind::None;
}

void QuotaLedger::apply(const TeamRecord &record, TeamUse &use) const
{
    use.weight = std::max<std::uint32_t>(record.weight, 1);
    use.maxQueued = record.maxQueueTasks;
    // The shares of all owners are rounded down, so that together they stay within the quota; each keeps one slot.
    const auto share = std::floor(record.quotaSlots * m_ownerShare);
    use.quota = record.quotaSlots == 0 ? 0 : std::max<std::uint32_t>(1, static_cast<std::uint32_t>(share));
}

} // namespace Sycamoremoor
