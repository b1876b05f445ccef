// Proof of membership: by reads of the roster, by answers of peers, and the end of former owners' rights.
#include "roster_controller.h"

#include <sycamoremoor/core/roster_func.h>

#include <algorithm>
#include <functional>
#include <string>

namespace Sycamoremoor
{

bool RosterController::mayServe(MonotonicTime now, OwnerSlotIndex slot) const
{
    const auto *held = tenure(slot);
    if (held == nullptr || !held->exclusive) {
        return false;
    }
    if (m_roster->members.size() == 1) {
        return true; // alone, this entry is the majority
    }
    auto proof = held->provenAt;
    if (const auto byPeers = peerProof(); byPeers && (!proof || *byPeers > *proof)) {
        proof = byPeers;
    }
    return proof && now - *proof < m_settings.servingLease;
}

bool RosterController::majorityKnows(const RosterRecord &roster) const
{
    if (roster.members.empty()) {
        return true;
    }
    const auto knowing = std::ranges::count_if(roster.members, [&](const RosterMember &member) {
        return member.name == m_settings.name || m_peers.knowsOrForgot(member.name, member.incarnation, roster.epoch);
    });
    return 2 * static_cast<std::size_t>(knowing) > roster.members.size();
}

bool RosterController::majorityHeard(MonotonicTime now) const
{
    const auto silent = silentMembers(now).size();
    return 2 * (m_roster->members.size() - silent) > m_roster->members.size();
}

bool RosterController::majorityKnowsToken(const Tenure &tenure) const
{
    std::size_t voters = m_roster->members.size();
    std::size_t knowing = 0;
    for (const auto &member : m_roster->members) {
        const auto knows = member.name == m_settings.name || m_peers.knowsOrForgot(member.name, member.incarnation, tenure.token);
        knowing += knows ? 1 : 0;
    }
    if (const auto &displaced = tenure.former.front(); !displaced.clean && findMember(*m_roster, displaced.name) == nullptr) {
        ++voters; // it was a member of the roster before
        knowing += m_peers.knowsOrForgot(displaced.name, displaced.incarnation, tenure.token) ? 1 : 0;
    }
    return 2 * knowing > voters;
}

std::optional<MonotonicTime> RosterController::peerProof() const
{
    std::vector<MonotonicTime> confirmed;
    for (const auto &member : m_roster->members) {
        if (member.name == m_settings.name) {
            continue;
        }
        if (const auto at = m_peers.confirmedAt(member.name, member.incarnation, epoch())) {
            confirmed.push_back(*at);
        }
    }
    const auto needed = m_roster->members.size() / 2; // besides this entry
    if (needed == 0 || confirmed.size() < needed) {
        return std::nullopt;
    }
    const auto nth = confirmed.begin() + static_cast<std::ptrdiff_t>(needed - 1);
    std::ranges::nth_element(confirmed, nth, std::greater<>{});
    return *nth;
}

void RosterController::proveByHead(MonotonicTime requestedAt, const RosterRecord &roster)
{
    for (auto &held : m_tenures) {
        if (held.slot.value() >= roster.slots.size()) {
            continue;
        }
        const auto &slot = roster.slots[held.slot.value()];
        const auto same = slot.owner == m_settings.name && slot.incarnation == m_incarnation && slot.token == held.token;
        if (same && (!held.provenAt || *held.provenAt < requestedAt)) {
            held.provenAt = requestedAt;
        }
    }
}

void RosterController::updateExclusivity(EntryStep &step)
{
    for (auto &held : m_tenures) {
        if (held.exclusive) {
            continue;
        }
        bool needsMajority = false;
        bool waits = false;
        for (const auto &former : held.former) {
            if (former.clean || (former.name == m_settings.name && former.incarnation == m_incarnation)) {
                continue;
            }
            if (isMember(former)) {
                waits = waits || !m_peers.hasTold(former.name, former.incarnation, held.token);
            } else {
                needsMajority = true;
            }
        }
        if (needsMajority && !held.majorityAt && majorityKnowsToken(held)) {
            held.majorityAt = step.now();
        }
        const auto leaseOver = held.majorityAt && step.now() - *held.majorityAt >= m_settings.servingLease;
        if (!waits && (!needsMajority || leaseOver)) {
            held.exclusive = true;
            held.exclusiveAt = step.now();
            held.exclusiveSince = step.wall();
            step.log(Severity::Info, "roster", "acting for owner slot " + std::to_string(held.slot.value()));
            AuditRecord record;
            record.at = step.wall();
            record.kind = AuditKind::Takeover;
            record.actor = m_settings.name.value();
            record.subject = "owner slot " + std::to_string(held.slot.value());
            record.reason = held.former.empty() ? "no former owner" : "after " + held.former.front().name.value();
            record.after = held.token.value();
            step.emit(std::move(record));
            step.emit(Observation{HistogramMetric::TakeoverSeconds, toSeconds(step.now() - held.learnedAt)});
        }
    }
}

} // namespace Sycamoremoor
