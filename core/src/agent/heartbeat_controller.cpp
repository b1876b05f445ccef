// Sends heartbeats to the assigned entry, to owners with unfinished tasks or reports, and to other entries if there is no answer.
#include "heartbeat_controller.h"

#include <sycamoremoor/core/roster_func.h>

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

constexpr int EarlySendDivisor = 4; ///< an early heartbeat follows the last one after at least the interval divided by this

} // namespace

HeartbeatController::HeartbeatController(AgentState &state, ReportController &reports)
    : m_state(state)
    , m_reports(reports)
    , m_interval(state.settings.heartbeatInterval)
{
}

bool HeartbeatController::handleReply(AgentStep &step, const HeartbeatReplyReceived &input)
{
    const auto &reply = input.reply;
    m_unansweredSince.reset();
    m_leavingIsAcknowledged = m_leavingIsAcknowledged || m_sentLeaving;
    updateReceiver(step, reply);
    const bool newer = reply.roster && (!m_state.roster || reply.roster->epoch > m_state.roster->epoch);
    if (newer) {
        adoptRoster(step, reply.roster);
    }
    if (reply.config && (!m_state.config || reply.config->revision > m_state.config->revision)) {
        adoptConfig(step, reply.config);
    }
    if (m_state.config && reply.configUnchanged > m_state.config->revision) {
        auto same = std::make_shared<ConfigSet>(*m_state.config);
        same->revision = reply.configUnchanged;
        adoptConfig(step, same);
    }
    if (!newer && !reply.assigned && isTarget(reply.entry)) {
        targetNextEntry(); // The agent is not assigned to this entry, or the entry can't act: another one may have a newer roster.
    } else {
        targetAssignedEntry();
    }
    if (newer) {
        sendSoon(step);
    }
    return newer;
}

void HeartbeatController::updateReceiver(AgentStep &step, const AgentHeartbeatReply &reply)
{
    if (reply.assigned) {
        m_interval = reply.interval > Duration::zero() ? reply.interval : m_state.settings.heartbeatInterval;
    }
    const auto index = m_state.owners.find(reply.entry, reply.incarnation);
    if (index == NoOwner) {
        return;
    }
    m_reports.acknowledge(index, reply.acknowledged);
    m_state.owners.at(index).hasDescription = !reply.needsDescription;
    if (reply.needsDescription) {
        sendSoon(step);
    }
}

void HeartbeatController::adoptRoster(AgentStep &step, const std::shared_ptr<const RosterRecord> &roster)
{
    AuditRecord record;
    record.at = step.context.wall;
    record.kind = AuditKind::RosterChange;
    record.before = m_state.roster ? m_state.roster->epoch.value() : 0;
    record.after = roster->epoch.value();
    step.outputs.emplace_back(record);
    m_state.audit.push_back(std::move(record));
    m_state.roster = roster;
    if (m_state.rules.fenceByLedgerReport) {
        m_state.tokens.raise(*roster);
    }
    for (const auto &slot : roster->slots) {
        m_state.owners.add(slot.owner, slot.incarnation);
    }
    m_state.owners.updateFrom(*roster);
}

void HeartbeatController::adoptConfig(AgentStep &step, const std::shared_ptr<const ConfigSet> &config)
{
    AuditRecord record;
    record.at = step.context.wall;
    record.kind = AuditKind::ConfigInForce;
    record.actor = config->author;
    record.before = m_state.config ? m_state.config->revision.value() : 0;
    record.after = config->revision.value();
    step.outputs.emplace_back(record);
    m_state.audit.push_back(std::move(record));
    m_state.config = config;
    m_state.configSince = step.context.wall;
}

const RosterMember *HeartbeatController::assignedEntry() const
{
    if (!m_state.roster) {
        return nullptr;
    }
    const auto &settings = m_state.settings;
    const auto slot = assignedSlot(*m_state.roster, settings.name, settings.zone, settings.region);
    return slot ? ownerOf(*m_state.roster, *slot) : nullptr;
}

void HeartbeatController::targetAssignedEntry()
{
    if (const auto *entry = assignedEntry(); entry != nullptr) {
        m_target = entry->endpoint;
    }
}

bool HeartbeatController::isTarget(const EntryName &entry) const
{
    const auto *member = m_state.roster ? findMember(*m_state.roster, entry) : nullptr;
    return member != nullptr && member->endpoint == m_target;
}

std::vector<Endpoint> HeartbeatController::candidates() const
{
    std::vector<Endpoint> entries;
    if (m_state.roster) {
        for (const auto &member : m_state.roster->members) {
            entries.push_back(member.endpoint);
        }
    }
    for (const auto &seed : m_state.settings.entrySeeds) {
        if (std::ranges::find(entries, seed) == entries.end()) {
            entries.push_back(seed);
        }
    }
    return entries;
}

void HeartbeatController::targetNextEntry()
{
    const auto entries = candidates();
    if (entries.empty()) {
        return;
    }
    const auto current = std::ranges::find(entries, m_target);
    m_target = current == entries.end() || current + 1 == entries.end() ? entries.front() : *(current + 1);
    m_unansweredSince.reset();
}

void HeartbeatController::handleFailure(AgentStep &step, const Endpoint &entry)
{
    if (entry == m_target) {
        targetNextEntry();
        sendSoon(step);
    }
}

void HeartbeatController::sendSoon(AgentStep &step)
{
    const auto now = step.context.now;
    const auto earliest = m_lastSent ? *m_lastSent + m_state.settings.heartbeatInterval / EarlySendDivisor : now;
    m_nextAt = std::min(m_nextAt, std::max(earliest, now));
}

void HeartbeatController::tick(AgentStep &step)
{
    const auto now = step.context.now;
    if (m_target == Endpoint{}) {
        targetNextEntry();
    }
    if (m_unansweredSince && now - *m_unansweredSince >= m_state.settings.failureTimeout) {
        targetNextEntry();
    }
    if (m_state.upstreamHealthy != m_sentHealthy || m_state.isLeaving() != m_sentLeaving) {
        m_nextAt = now;
    }
    if (nextToTarget() <= now) {
        m_nextAt = now + m_interval;
        sendToTarget(step);
    }
    for (auto &owner : m_state.owners.owners()) {
        if (needsOwnHeartbeat(owner) && dueAt(owner) <= now) {
            send(step, owner.endpoint);
        }
    }
}

void HeartbeatController::sendToTarget(AgentStep &step)
{
    if (m_target == Endpoint{}) {
        return;
    }
    m_lastSent = step.context.now;
    m_unansweredSince = m_unansweredSince.value_or(step.context.now);
    m_sentHealthy = m_state.upstreamHealthy;
    m_sentLeaving = m_state.isLeaving();
    send(step, m_target);
}

bool HeartbeatController::needsOwnHeartbeat(const Owner &owner) const
{
    return owner.inRoster && owner.endpoint != m_target && (owner.held > 0 || !owner.unacknowledged.empty());
}

MonotonicTime HeartbeatController::dueAt(const Owner &owner) const
{
    const auto byInterval = owner.lastHeartbeatAt ? *owner.lastHeartbeatAt + m_state.settings.heartbeatInterval : MonotonicTime::min();
    return owner.held > 0 ? byInterval : std::max(byInterval, m_reports.nextDue(owner));
}

void HeartbeatController::send(AgentStep &step, const Endpoint &entry)
{
    const auto receiver = ownerAt(entry);
    if (receiver != NoOwner) {
        m_state.owners.at(receiver).lastHeartbeatAt = step.context.now;
    }
    step.outputs.emplace_back(SendHeartbeat{entry, heartbeatFor(step, receiver)});
}

OwnerIndex HeartbeatController::ownerAt(const Endpoint &entry) const
{
    const auto &owners = m_state.owners.owners();
    const auto found = std::ranges::find_if(owners, [&entry](const Owner &owner) { return owner.inRoster && owner.endpoint == entry; });
    return found == owners.end() ? NoOwner : static_cast<OwnerIndex>(found - owners.begin());
}

AgentHeartbeat HeartbeatController::heartbeatFor(AgentStep &step, OwnerIndex receiver)
{
    const auto &settings = m_state.settings;
    AgentHeartbeat heartbeat;
    heartbeat.agent = settings.name;
    heartbeat.incarnation = settings.incarnation;
    heartbeat.brief = receiver != NoOwner && m_state.owners.at(receiver).hasDescription;
    if (!heartbeat.brief) {
        heartbeat.startedAt = m_state.startedAt;
        heartbeat.endpoint = settings.endpoint;
        heartbeat.zone = settings.zone;
        heartbeat.region = settings.region;
        heartbeat.service = settings.service;
        heartbeat.upstream = settings.upstream;
        heartbeat.capacity = settings.capacity;
    }
    heartbeat.usage = m_state.usage;
    heartbeat.stamp = AgentStamp(step.context.now.time_since_epoch().count());
    heartbeat.rosterEpoch = m_state.roster ? m_state.roster->epoch : Epoch();
    heartbeat.configRevision = m_state.config ? m_state.config->revision : Revision();
    heartbeat.configSince = m_state.configSince;
    heartbeat.leaving = m_state.isLeaving();
    heartbeat.upstreamHealthy = m_state.upstreamHealthy;
    heartbeat.queued = static_cast<std::uint32_t>(m_state.queue.size());
    heartbeat.running = m_state.running;
    if (receiver != NoOwner) {
        heartbeat.receiver = m_state.owners.at(receiver).incarnation;
        heartbeat.heldForOwner = m_state.owners.at(receiver).held;
        heartbeat.unacknowledged = m_reports.collectDue(step, receiver);
    }
    return heartbeat;
}

MonotonicTime HeartbeatController::nextToTarget() const
{
    const auto owner = ownerAt(m_target);
    if (owner == NoOwner || m_state.owners.at(owner).unacknowledged.empty() || !m_lastSent) {
        return m_nextAt;
    }
    // An overdue report does not wait for the interval that the entry has set if that is longer than the agent's setting.
    const auto soonest = *m_lastSent + m_state.settings.heartbeatInterval;
    return std::min(m_nextAt, std::max(soonest, m_reports.nextDue(m_state.owners.at(owner))));
}

MonotonicTime HeartbeatController::nextWake() const
{
    auto wake = nextToTarget();
    for (const auto &owner : m_state.owners.owners()) {
        if (needsOwnHeartbeat(owner)) {
            wake = std::min(wake, dueAt(owner));
        }
    }
    return wake;
}

bool HeartbeatController::leavingIsAcknowledged() const
{
    return m_leavingIsAcknowledged;
}

} // namespace Sycamoremoor
