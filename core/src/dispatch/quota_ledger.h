// Queued and placed tasks of teams, and their quotas.
#pragma once

#include <sycamoremoor/core/config_type.h>
#include <sycamoremoor/core/error_type.h>

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace Sycamoremoor
{

/** Queued and placed tasks of a team in all services, with its limits. */
struct TeamUsage {
    std::size_t index = 0; ///< position in the order of first use; the tie-breaker between teams
    std::uint32_t queued = 0;
    std::uint32_t placed = 0;
    std::uint32_t quota = 0; ///< tasks that may be placed at once; zero means no limit
    double weight = 1;
    std::uint32_t maxQueued = 0;

    [[nodiscard]] bool isAtQuota() const
    {
        return quota != 0 && placed >= quota;
    }
};

/** Usage of every team. References to a team's usage stay valid. */
class QuotaLedger
{
public:
    /** Applies the teams' records. @param ownerShare this entry's share of the quotas */
    void configure(const ConfigSet &config, double ownerShare);

    /** Returns a team's usage and creates it if it is new. A team without a record has no quota. */
    TeamUsage &usage(const TeamName &team);

    /** Returns UnknownTeam if the team has no record, QuotaExceeded if its queue cannot hold @p tasks more, else None. */
    [[nodiscard]] ErrorKind checkQueue(const TeamName &team, std::size_t tasks) const;

private:
    void apply(const TeamRecord &record, TeamUsage &usage) const;

    double m_ownerShare = 1;
    std::unordered_map<TeamName, TeamRecord> m_records;
    std::unordered_map<TeamName, TeamUsage> m_usages;
};

} // namespace Sycamoremoor
