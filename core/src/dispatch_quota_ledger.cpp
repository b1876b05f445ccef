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
    for (auto &[team, usage] : m_usages) {
        const auto record = m_records.find(team);
        apply(record == m_records.end() ? TeamRecord{} : record->second, usage);
    }
}

TeamUsage &QuotaLedger::usage(const TeamName &team)
{
    const auto [found, isNew] = m_usages.try_emplace(team);
    if (isNew) {
        found->second.index = m_usages.size();
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
    const auto usage = m_usages.find(team);
    const std::size_t queued = usage == m_usages.end() ? 0 : usage->second.queued;
    return queued + tasks > record->second.maxQueueTasks ? ErrorKind::QuotaExceeded : ErrorKind::None;
}

void QuotaLedger::apply(const TeamRecord &record, TeamUsage &usage) const
{
    usage.weight = std::max<std::uint32_t>(record.weight, 1);
    usage.maxQueued = record.maxQueueTasks;
    // The share of each owner is rounded down, so that all together stay within the quota, but each has at least one slot.
    const auto share = std::floor(record.quotaSlots * m_ownerShare);
    usage.quota = record.quotaSlots == 0 ? 0 : std::max<std::uint32_t>(1, static_cast<std::uint32_t>(share));
}

} // namespace Sycamoremoor
