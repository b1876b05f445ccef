// Which guards a scheduler follows, when there are more than it needs.
#include <sycamoremoor/core/guard_subset.h>

#include <xxhash.h>

#include <cmath>
#include <utility>
#include <vector>

namespace Sycamoremoor
{

namespace
{

constexpr double OwnZoneWeight = 3; ///< messages within a zone are faster and cheaper; the other zones even out its load

} // namespace

GuardSubset::GuardSubset(EntryName scheduler, ZoneName zone, std::size_t size)
    : m_scheduler(std::move(scheduler))
    , m_zone(std::move(zone))
    , m_size(size)
{
}

void GuardSubset::widen()
{
    m_size *= 2;
}

double GuardSubset::rankOf(const AgentRecord &guard) const
{
    const auto seed = XXH3_64bits(m_scheduler.value().data(), m_scheduler.value().size());
    const auto hash = XXH3_64bits_withSeed(guard.agent.value().data(), guard.agent.value().size(), seed);
    const auto fraction = (static_cast<double>(hash) + 1) / std::exp2(64);
    return -std::log(fraction) / (guard.zone == m_zone ? OwnZoneWeight : 1);
}

std::set<AgentName> GuardSubset::choose(const Guards &guards, const std::set<AgentName> &silent) const
{
    std::multimap<double, AgentName> byRank;
    for (const auto &[agent, record] : guards) {
        byRank.emplace(rankOf(record), agent);
    }
    std::set<AgentName> chosen;
    std::size_t heard = 0;
    for (const auto &[rank, agent] : byRank) {
        if (heard == m_size) {
            break;
        }
        chosen.insert(agent);
        heard += silent.contains(agent) ? 0 : 1;
    }
    return chosen;
}

} // namespace Sycamoremoor
