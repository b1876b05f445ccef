// Reads, writes and learns the roster.
#include "roster_controller.h"

#include <sycamoremoor/core/roster_func.h>

#include <algorithm>
#include <string>

namespace Sycamoremoor
{

namespace
{

constexpr std::string_view Part = "roster";
constexpr int LostReadIntervals = 3; ///< a read unanswered for so many intervals is sent again
constexpr int HurryFraction = 8;     ///< a hurried read comes no sooner than this part of the interval after the last

} // namespace

RosterController::RosterController(const EntrySettings &settings, ChangeHook changed)
    : m_settings(settings)
    , m_changed(std::move(changed))
    , m_incarnation(settings.incarnation)
{
}

void RosterController::onHeadRead(EntryStep &step, const HeadRead &read)
{
    m_readSentAt.reset();
    m_baseModRevision = read.rosterModRevision;
    m_baseIsNone = read.roster == nullptr;
    if (read.roster == nullptr) {
        m_writeBase.reset();
        write(step);
        return;
    }
    learn(step, read.roster);
    m_writeBase = read.roster->epoch == epoch() ? m_roster : nullptr;
    proveByHead(read.requestedAt, *read.roster);
    updateExclusivity(step);
    write(step);
}

void RosterController::onHeadReadFailed(EntryStep &step, const HeadReadFailed & /*failure*/)
{
    m_readSentAt.reset();
    m_writeBase.reset();
    m_baseIsNone = false;
    updateExclusivity(step);
}

void RosterController::onWriteEnded(EntryStep &step, const RosterWriteEnded &ended)
{
    if (m_writing == nullptr || m_writing->epoch != ended.epoch) {
        return;
    }
    const auto written = std::exchange(m_writing, nullptr);
    m_writeBase.reset();
    m_baseIsNone = false;
    m_nextRead = step.now();
    if (ended.outcome == WriteOutcome::Written) {
        learn(step, written);
        proveByHead(m_writeSentAt, *written);
        updateExclusivity(step);
    }
}

PeerHeartbeatReply RosterController::onPeerHeartbeat(EntryStep &step, const PeerHeartbeat &heartbeat)
{
    m_peers.heard(step.now(), heartbeat.from, heartbeat.incarnation, heartbeat.rosterEpoch);
    if (heartbeat.rosterEpoch > epoch()) {
        hurry();
    }
    updateExclusivity(step);
    PeerHeartbeatReply reply;
    reply.from = m_settings.name;
    reply.incarnation = m_incarnation;
    reply.sequence = heartbeat.sequence;
    reply.rosterEpoch = epoch();
    if (m_roster != nullptr && heartbeat.rosterEpoch < epoch()) {
        reply.roster = m_roster;
    }
    reply.silent = silentMembers(step.now());
    return reply;
}

void RosterController::onPeerReply(EntryStep &step, const PeerHeartbeatReply &reply)
{
    if (reply.roster != nullptr) {
        learn(step, reply.roster);
    }
    m_peers.replied(step.now(), reply);
    updateExclusivity(step);
    write(step);
}

void RosterController::onTime(EntryStep &step, Revision configRevision)
{
    const auto now = step.now();
    const auto readLost = m_readSentAt && now - *m_readSentAt > LostReadIntervals * m_settings.headReadInterval;
    if (now >= m_nextRead && (!m_readSentAt || readLost)) {
        m_readSentAt = now;
        m_nextRead = now + m_settings.headReadInterval;
        step.emit(ReadHead{});
    }
    if (now >= m_nextHeartbeat) {
        m_nextHeartbeat = now + m_settings.peerHeartbeatInterval;
        sendHeartbeats(step, configRevision);
    }
    updateExclusivity(step);
}

void RosterController::forgiveSilence(MonotonicTime now)
{
    m_peers.forgive(now);
}

void RosterController::learn(EntryStep &step, const std::shared_ptr<const RosterRecord> &roster)
{
    if (roster == nullptr || roster->epoch <= epoch()) {
        return;
    }
    const auto before = std::exchange(m_roster, roster);
    if (m_writeBase != nullptr && m_writeBase->epoch != roster->epoch) {
        m_writeBase.reset();
    }
    m_baseIsNone = false;
    m_nextHeartbeat = step.now();
    for (const auto &member : roster->members) {
        m_peers.watch(step.now(), member.name, member.incarnation);
    }
    m_peers.retain(*roster);
    step.count(CounterMetric::RosterChanges);
    AuditRecord record;
    record.at = step.wall();
    record.kind = AuditKind::RosterChange;
    record.actor = m_settings.name.value();
    record.subject = "roster";
    record.reason = std::to_string(roster->members.size()) + " members";
    record.before = before == nullptr ? 0 : before->epoch.value();
    record.after = roster->epoch.value();
    step.emit(std::move(record));
    if (const auto *member = findMember(*roster, m_settings.name); member != nullptr && member->incarnation == m_incarnation) {
        m_wasMember = true;
    } else if (m_wasMember && member == nullptr && m_intent != MembershipIntent::Gone) {
        beginNewLife(step);
    }
    updateTenures(step);
    m_changed(step);
}

void RosterController::beginNewLife(EntryStep &step)
{
    const auto mixed = m_incarnation.value() ^ (step.entropy() | 1U);
    m_incarnation = Incarnation(mixed == 0 ? 1 : mixed);
    m_wasMember = false;
    step.log(Severity::Warning, Part, "removed from the roster, going on as another incarnation");
}

void RosterController::hurry()
{
    if (!m_readSentAt) {
        const auto soonest = m_nextRead - m_settings.headReadInterval + m_settings.headReadInterval / HurryFraction;
        m_nextRead = std::min(m_nextRead, soonest);
    }
}

void RosterController::setIntent(MembershipIntent intent, bool clean)
{
    if (m_intent != intent) {
        m_intent = intent;
        hurry();
    }
    m_leavesClean = clean;
}

void RosterController::setMoveGuard(std::function<bool()> mayMove)
{
    m_mayMove = std::move(mayMove);
}

bool RosterController::isWriting() const
{
    return m_writing != nullptr;
}

bool RosterController::isSelfMember() const
{
    const auto *member = m_roster == nullptr ? nullptr : findMember(*m_roster, m_settings.name);
    return member != nullptr && member->incarnation == m_incarnation;
}

const std::shared_ptr<const RosterRecord> &RosterController::roster() const
{
    return m_roster;
}

Epoch RosterController::epoch() const
{
    return m_roster == nullptr ? Epoch() : m_roster->epoch;
}

Incarnation RosterController::incarnation() const
{
    return m_incarnation;
}

const std::vector<Tenure> &RosterController::tenures() const
{
    return m_tenures;
}

const Tenure *RosterController::tenure(OwnerSlotIndex slot) const
{
    const auto found = std::ranges::find(m_tenures, slot, &Tenure::slot);
    return found == m_tenures.end() ? nullptr : &*found;
}

bool RosterController::isMember(const FormerOwner &former) const
{
    const auto *member = m_roster == nullptr ? nullptr : findMember(*m_roster, former.name);
    return member != nullptr && member->incarnation == former.incarnation;
}

bool RosterController::isLeavingMember(const FormerOwner &former) const
{
    return isMember(former) && findMember(*m_roster, former.name)->leaving;
}

std::vector<EntryName> RosterController::silentMembers(MonotonicTime now) const
{
    std::vector<EntryName> silent;
    if (m_roster == nullptr) {
        return silent;
    }
    for (const auto &member : m_roster->members) {
        if (member.name != m_settings.name && !m_peers.isHeard(now, member.name, m_settings.failureTimeout)) {
            silent.push_back(member.name);
        }
    }
    return silent;
}

MonotonicTime RosterController::nextWake() const
{
    auto wake = m_nextHeartbeat;
    wake = std::min(wake, m_readSentAt ? *m_readSentAt + LostReadIntervals * m_settings.headReadInterval : m_nextRead);
    for (const auto &held : m_tenures) {
        if (!held.exclusive && held.majorityAt) {
            wake = std::min(wake, *held.majorityAt + m_settings.servingLease);
        }
    }
    return wake;
}

RosterMember RosterController::self() const
{
    return RosterMember{m_settings.name, m_incarnation, m_settings.endpoint, m_settings.zone, m_settings.region, false};
}

RosterPlanContext RosterController::planContext(const EntryStep &step) const
{
    return RosterPlanContext{step.wall(), m_settings.keyMaxAge + 4 * m_settings.clockSkew};
}

std::optional<RosterRecord> RosterController::plan(EntryStep &step) const
{
    if (m_baseIsNone && m_roster == nullptr && m_intent == MembershipIntent::Member) {
        return firstRoster(self(), planContext(step));
    }
    if (m_writeBase == nullptr) {
        return std::nullopt;
    }
    const auto &base = *m_writeBase;
    const auto *member = findMember(base, m_settings.name);
    const auto current = member != nullptr && member->incarnation == m_incarnation;
    if (m_intent == MembershipIntent::Gone) {
        return current && majorityKnows(base) ? std::optional(rosterWithoutMember(base, m_settings.name, m_leavesClean, planContext(step)))
                                              : std::nullopt;
    }
    if (m_intent == MembershipIntent::Leaving) {
        const auto ready = current && !member->leaving && (!m_mayMove || m_mayMove());
        return ready ? std::optional(rosterWithLeaving(base, m_settings.name, planContext(step))) : std::nullopt;
    }
    if (!current) {
        const auto superseded = member != nullptr && m_wasMember;
        const auto allowed = member != nullptr ? !superseded : majorityKnows(base);
        return allowed ? std::optional(rosterWithMember(base, self(), planContext(step))) : std::nullopt;
    }
    if (const auto silent = memberToRemove(step.now())) {
        step.log(Severity::Warning, Part, "removing " + silent->value() + ", no reachable entry hears it");
        return rosterWithoutMember(base, *silent, false, planContext(step));
    }
    return std::nullopt;
}

std::optional<EntryName> RosterController::memberToRemove(MonotonicTime now) const
{
    const auto silent = silentMembers(now);
    if (silent.empty() || !majorityHeard(now) || !majorityKnows(*m_writeBase)) {
        return std::nullopt;
    }
    const auto isSilent = [&](const EntryName &name) {
        return std::ranges::find(silent, name) != silent.end();
    };
    const auto first = std::ranges::find_if_not(m_writeBase->members, isSilent, &RosterMember::name);
    if (first == m_writeBase->members.end() || first->name != m_settings.name) {
        return std::nullopt; // the earliest member that is heard removes
    }
    for (const auto &candidate : silent) {
        const auto heardByNone = std::ranges::all_of(m_writeBase->members, [&](const RosterMember &member) {
            return member.name == m_settings.name || isSilent(member.name) || m_peers.reportsSilent(member.name, candidate);
        });
        if (heardByNone) {
            return candidate;
        }
    }
    return std::nullopt;
}

void RosterController::write(EntryStep &step)
{
    if (m_writing != nullptr) {
        return;
    }
    if (auto next = plan(step)) {
        m_writing = std::make_shared<const RosterRecord>(*std::move(next));
        m_writeSentAt = step.now();
        step.emit(WriteRoster{m_writing, m_baseModRevision});
    }
}

void RosterController::updateTenures(EntryStep &step)
{
    std::vector<Tenure> next;
    for (std::uint32_t index = 0; index < m_roster->slots.size(); ++index) {
        const auto &slot = m_roster->slots[index];
        if (slot.owner != m_settings.name || slot.incarnation != m_incarnation) {
            continue;
        }
        const auto *held = tenure(OwnerSlotIndex(index));
        if (held != nullptr && held->token == slot.token) {
            next.push_back(*held);
            next.back().former = slot.former;
            continue;
        }
        Tenure taken;
        taken.slot = OwnerSlotIndex(index);
        taken.token = slot.token;
        taken.learnedAt = step.now();
        taken.former = slot.former;
        next.push_back(std::move(taken));
    }
    m_tenures = std::move(next);
    updateExclusivity(step);
}

void RosterController::sendHeartbeats(EntryStep &step, Revision configRevision)
{
    PeerHeartbeat heartbeat;
    heartbeat.from = m_settings.name;
    heartbeat.incarnation = m_incarnation;
    heartbeat.rosterEpoch = epoch();
    heartbeat.configRevision = configRevision;
    if (m_roster == nullptr) {
        for (const auto &seed : m_settings.peerSeeds) {
            heartbeat.sequence = m_peers.sending(step.now(), EntryName());
            step.emit(SendToPeer{EntryName(), seed, heartbeat, std::nullopt});
        }
        return;
    }
    for (const auto &member : m_roster->members) {
        if (member.name == m_settings.name) {
            continue;
        }
        heartbeat.to = member.name;
        heartbeat.sequence = m_peers.sending(step.now(), member.name);
        step.emit(SendToPeer{member.name, member.endpoint, heartbeat, std::nullopt});
    }
}

} // namespace Sycamoremoor
