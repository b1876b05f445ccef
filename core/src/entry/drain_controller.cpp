// Phases of a planned stop.
#include "drain_controller.h"

#include <sycamoremoor/core/roster_func.h>

#include <algorithm>
#include <map>
#include <string>

namespace Sycamoremoor
{

namespace
{

constexpr std::string_view LogPart = "drain";
constexpr Duration CheckInterval = std::chrono::milliseconds(50);
constexpr Duration ResendDelay = std::chrono::seconds(1);
constexpr std::size_t MaxRecordsInPart = 200;
constexpr std::size_t MaxResultBytesInPart = std::size_t{512} * 1024;

std::size_t recordBytes(const SubmissionRecord &record)
{
    std::size_t bytes = 0;
    if (record.answer != nullptr) {
        for (const auto &result : record.answer->results) {
            bytes += result.size();
        }
        bytes += record.answer->account.size() * sizeof(TaskAccount);
    }
    return bytes;
}

} // namespace

DrainController::DrainController(Parts parts)
    : m_parts(parts)
{
    m_parts.roster.setMoveGuard([this] { return m_parts.dispatcher.queuedTasks() == 0 || !hasPatience(); });
}

void DrainController::begin(EntryStep &step)
{
    if (m_phase != DrainPhase::None) {
        return;
    }
    m_beganAt = step.now();
    m_checkedAt = step.now();
    enter(DrainPhase::Emptying, step.now());
    audit(step, "a planned stop began");
    advance(step);
}

void DrainController::enter(DrainPhase phase, MonotonicTime now)
{
    m_phase = phase;
    m_nextCheck = now;
}

void DrainController::onHandoverReply(const HandoverReply &reply)
{
    for (auto &part : m_handover) {
        const auto same = part.target == reply.from && part.message.slot == reply.slot && part.message.part == reply.part;
        part.acknowledged = part.acknowledged || same;
    }
}

void DrainController::onSendFailed(EntryStep &step, const EntryName &peer)
{
    for (auto &part : m_handover) {
        if (part.target == peer && !part.acknowledged) {
            part.sentAt = step.now() - ResendDelay / 2;
        }
    }
}

void DrainController::onTime(EntryStep &step)
{
    if (!isDraining() || isStopped() || step.now() < m_nextCheck) {
        return;
    }
    m_checkedAt = step.now();
    m_nextCheck = step.now() + CheckInterval;
    if (step.now() - m_beganAt >= m_parts.settings.drainTimeout) {
        step.log(Severity::Warning, LogPart, "the bound of the planned stop passed");
        stop(step);
        return;
    }
    advance(step);
}

void DrainController::advance(EntryStep &step)
{
    if (m_phase == DrainPhase::Emptying) {
        const auto waiting = m_parts.dispatcher.queuedTasks() > 0 || m_parts.takeover.provingCount() > 0;
        if (waiting && hasPatience() && !m_parts.roster.tenures().empty()) {
            return;
        }
        m_parts.roster.setIntent(MembershipIntent::Leaving, false);
        enter(DrainPhase::Moving, step.now());
    }
    if (m_phase == DrainPhase::Moving && isMoved()) {
        enter(DrainPhase::Finishing, step.now());
    }
    const auto open = m_parts.jobs.unansweredJobs() + m_parts.forwards.heldCount() + m_parts.takeover.provingCount();
    if (m_phase == DrainPhase::Finishing && open == 0) {
        enter(DrainPhase::HandingOver, step.now());
        m_partsEpoch = Epoch();
    }
    if (m_phase == DrainPhase::HandingOver) {
        if (m_partsEpoch != m_parts.roster.epoch()) {
            prepareHandover(step);
        }
        sendParts(step);
        if (std::ranges::all_of(m_handover, &Part::acknowledged)) {
            m_parts.roster.setIntent(MembershipIntent::Gone, true);
            enter(DrainPhase::Removing, step.now());
        }
    }
    if (m_phase == DrainPhase::Removing) {
        if (!m_parts.roster.isSelfMember()) {
            stop(step);
        } else if (m_partsEpoch != m_parts.roster.epoch()) {
            enter(DrainPhase::HandingOver, step.now());
        }
    }
}

bool DrainController::isMoved() const
{
    const auto &roster = m_parts.roster.roster();
    if (!m_parts.roster.tenures().empty()) {
        // Alone there is nobody to move to: what is open ends here.
        return roster != nullptr && roster->members.size() == 1 && findMember(*roster, m_parts.settings.name)->leaving;
    }
    return true;
}

void DrainController::prepareHandover(EntryStep & /*step*/)
{
    m_handover.clear();
    const auto roster = m_parts.roster.roster();
    m_partsEpoch = m_parts.roster.epoch();
    if (roster == nullptr || roster->slots.empty()) {
        return;
    }
    std::vector<const EndedSubmission *> ended;
    for (const auto &[key, submission] : m_parts.answers.all()) {
        ended.push_back(&submission);
    }
    std::ranges::sort(ended, {}, [](const EndedSubmission *submission) { return submission->key; });
    std::map<OwnerSlotIndex, std::size_t> newest;
    std::map<OwnerSlotIndex, std::size_t> bytes;
    for (const auto *submission : ended) {
        const auto slot = slotOfKey(submission->key, roster->slots.size());
        const auto *owner = ownerOf(*roster, slot);
        if (owner == nullptr || owner->name == m_parts.settings.name) {
            continue;
        }
        SubmissionRecord record{submission->key, submission->digest, submission->state, submission->answer};
        const auto size = recordBytes(record);
        const auto last = newest.find(slot);
        const auto full = last == newest.end() || m_handover[last->second].message.submissions.size() >= MaxRecordsInPart
            || bytes[slot] + size > MaxResultBytesInPart;
        if (full) {
            Part part;
            part.target = owner->name;
            part.message.from = m_parts.settings.name;
            part.message.incarnation = m_parts.roster.incarnation();
            part.message.to = owner->name;
            part.message.slot = slot;
            part.message.part = last == newest.end() ? 0 : m_handover[last->second].message.part + 1;
            newest[slot] = m_handover.size();
            bytes[slot] = 0;
            m_handover.push_back(std::move(part));
        }
        bytes[slot] += size;
        m_handover[newest[slot]].message.submissions.push_back(std::move(record));
    }
    for (auto &part : m_handover) {
        part.message.parts = m_handover[newest[part.message.slot]].message.part + 1;
        part.sentAt = MonotonicTime() - ResendDelay;
    }
}

void DrainController::sendParts(EntryStep &step)
{
    for (auto &part : m_handover) {
        const auto *member = findMember(*m_parts.roster.roster(), part.target);
        if (part.acknowledged || member == nullptr || step.now() - part.sentAt < ResendDelay) {
            continue;
        }
        part.sentAt = step.now();
        step.emit(SendToPeer{part.target, member->endpoint, part.message, std::nullopt});
    }
}

void DrainController::stop(EntryStep &step)
{
    m_phase = DrainPhase::Stopped;
    const auto cutOff = m_parts.jobs.cutOff(step) + m_parts.forwards.cutOff(step) + m_parts.takeover.cutOff(step);
    audit(step, cutOff == 0 ? "the planned stop is done" : "the planned stop cut off " + std::to_string(cutOff));
    step.emit(Stopped{cutOff});
}

void DrainController::audit(EntryStep &step, const std::string &reason)
{
    step.log(Severity::Info, LogPart, reason);
    AuditRecord record;
    record.at = step.wall();
    record.kind = AuditKind::Drain;
    record.actor = "operator";
    record.subject = m_parts.settings.name.value();
    record.reason = reason;
    record.before = m_parts.roster.epoch().value();
    record.after = m_parts.roster.epoch().value();
    step.emit(std::move(record));
}

bool DrainController::isDraining() const
{
    return m_phase != DrainPhase::None;
}

bool DrainController::isClosed(MonotonicTime now) const
{
    return isDraining() && now - m_beganAt >= m_parts.settings.drainGrace;
}

bool DrainController::isStopped() const
{
    return m_phase == DrainPhase::Stopped;
}

bool DrainController::isMoving() const
{
    return m_phase == DrainPhase::Moving && m_parts.roster.isWriting();
}

bool DrainController::isFinishingAlone() const
{
    return m_phase >= DrainPhase::Finishing && !m_parts.roster.tenures().empty();
}

bool DrainController::hasPatience() const
{
    return m_checkedAt - m_beganAt < m_parts.settings.drainTimeout / 2;
}

std::optional<MonotonicTime> DrainController::nextWake() const
{
    return isDraining() && !isStopped() ? std::optional(m_nextCheck) : std::nullopt;
}

} // namespace Sycamoremoor
