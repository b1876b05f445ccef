// Forwarding with retries; the submission's key makes repeats safe.
#include "forward_controller.h"

#include "open_job_type.h"

#include <sycamoremoor/core/roster_func.h>

#include <algorithm>
#include <vector>

namespace Sycamoremoor
{

namespace
{

constexpr Duration FirstRetryDelay = std::chrono::milliseconds(20);
constexpr Duration MaxRetryDelay = std::chrono::milliseconds(500);
constexpr Duration FirstCheckDelay = std::chrono::seconds(4); ///< an answer not there by then is asked for on another connection
constexpr int MaxDoublings = 5;
constexpr Duration AnswerTravelTime = std::chrono::seconds(1); ///< allowed to an owner's answer given at the very end

/** Tells whether an owner's answer means that it did not look at the submission, so that another attempt may do better. */
bool isNoAnswer(ErrorKind error)
{
    return error == ErrorKind::OwnerUnavailable || error == ErrorKind::Draining || error == ErrorKind::OwnerFenced;
}

/** Returns @p answer with "not run" taken back to "unknown". */
JobAnswerPointer withoutDenial(const JobAnswerPointer &answer)
{
    if (answer->error == ErrorKind::None) {
        return answer;
    }
    auto weaker = std::make_shared<JobAnswer>(*answer);
    withdrawDenial(*weaker);
    return weaker;
}

} // namespace

ForwardController::ForwardController(const EntrySettings &settings, RosterController &roster, ReturnHook takeBack)
    : m_settings(settings)
    , m_roster(roster)
    , m_takeBack(std::move(takeBack))
{
}

void ForwardController::hold(EntryStep &step, const Submission &submission)
{
    remove(submission.connection);
    m_held[submission.connection].submission = submission;
    advance(step, submission.connection);
}

void ForwardController::park(EntryStep &step, const Submission &submission)
{
    remove(submission.connection);
    auto &held = m_held[submission.connection];
    held.submission = submission;
    retryLater(step, held);
    reschedule(held);
}

void ForwardController::holdForFormer(EntryStep &step, const Submission &submission, const FormerOwner &former)
{
    remove(submission.connection);
    auto &held = m_held[submission.connection];
    held.submission = submission;
    held.former = former;
    advance(step, submission.connection);
}

void ForwardController::advance(EntryStep &step, ConnectionId connection)
{
    auto &held = m_held.at(connection);
    const auto roster = m_roster.roster();
    const auto formerGone = held.former && !m_roster.isMember(*held.former);
    const auto slot
        = roster == nullptr ? OwnerSlotIndex() : slotOfKey(held.submission.job->key, std::max<std::size_t>(roster->slots.size(), 1));
    const auto returns = formerGone || (!held.former && m_roster.mayServe(step.now(), slot));
    if (returns) {
        const auto submission = held.submission;
        remove(connection);
        m_takeBack(step, submission);
        return;
    }
    const auto *owner = roster == nullptr ? nullptr : ownerOf(*roster, slot);
    const auto ownedElsewhere = owner != nullptr && owner->name != m_settings.name;
    const auto newerHere = held.submission.forwarderEpoch <= m_roster.epoch();
    if (held.submission.forwardedBy && !held.former && ownedElsewhere && newerHere) {
        answerUnavailable(step, connection, "this entry does not own the key");
        return;
    }
    if (!newerHere) {
        m_roster.hurry();
    }
    forward(step, held);
    reschedule(held);
}

void ForwardController::forward(EntryStep &step, Held &held)
{
    const auto roster = m_roster.roster();
    const RosterMember *target = nullptr;
    if (held.former) {
        target = findMember(*roster, held.former->name);
    } else if (roster != nullptr && !roster->slots.empty() && !held.submission.forwardedBy) {
        target = ownerOf(*roster, slotOfKey(held.submission.job->key, roster->slots.size()));
    }
    if (target == nullptr || target->name == m_settings.name) {
        held.inFlight = false;
        retryLater(step, held);
        return;
    }
    const auto sameTarget = held.target == target->name && held.targetIncarnation == target->incarnation;
    if (!held.inFlight || !sameTarget) {
        send(step, held, *target);
    }
}

void ForwardController::send(EntryStep &step, Held &held, const RosterMember &target)
{
    auto job = held.submission.job;
    if (const auto left = held.submission.deadline - step.now(); left != job->deadline) {
        auto copy = std::make_shared<JobSpec>(*job);
        copy->deadline = std::max(left, Duration(1));
        job = std::move(copy);
    }
    held.target = target.name;
    held.targetIncarnation = target.incarnation;
    held.inFlight = true;
    ++held.copies;
    held.checkDelay = FirstCheckDelay;
    held.retryAt = step.now() + held.checkDelay;
    step.emit(SendToPeer{target.name,
                         target.endpoint,
                         ForwardJob{m_settings.name, target.name, target.incarnation, m_roster.epoch(), std::move(job)},
                         held.submission.connection});
}

void ForwardController::check(EntryStep &step, Held &held)
{
    held.checkDelay *= 2;
    held.checked = true;
    held.retryAt = step.now() + held.checkDelay;
    const auto *target = m_roster.roster() == nullptr ? nullptr : findMember(*m_roster.roster(), held.target);
    if (target != nullptr) {
        step.emit(SendToPeer{target->name,
                             target->endpoint,
                             ForwardQuery{m_settings.name, target->name, held.submission.job->key},
                             held.submission.connection});
    }
}

void ForwardController::retryLater(EntryStep &step, Held &held)
{
    const auto doublings = std::min(held.failures, MaxDoublings);
    const auto base = std::min(FirstRetryDelay * (1 << doublings), MaxRetryDelay);
    const auto mixed = (step.entropy() ^ held.submission.connection.value()) * 0x9E3779B97F4A7C15ULL;
    const auto jitter = Duration(static_cast<Duration::rep>((mixed >> 32U) % static_cast<std::uint64_t>(base.count())));
    ++held.failures;
    held.retryAt = step.now() + base / 2 + jitter;
}

void ForwardController::onAnswered(EntryStep &step, const ForwardAnswered &answered)
{
    const auto found = m_held.find(answered.connection);
    if (found == m_held.end() || answered.answer == nullptr) {
        return;
    }
    auto &held = found->second;
    if (answered.answer->key != held.submission.job->key) {
        step.log(Severity::Error, "forward", "an answer came for another submission, ignored");
        return;
    }
    --held.copies;
    if (isNoAnswer(answered.answer->error) && answered.answer->account.empty()) {
        held.inFlight = false;
        retryLater(step, held);
        reschedule(held);
        return;
    }
    auto answer = answered.answer;
    if (held.copies > 0) {
        answer = withoutDenial(answer); // another copy of the submission may still be taken
    }
    remove(answered.connection);
    step.emit(AnswerJob{answered.connection, std::move(answer)});
}

void ForwardController::answerCopies(EntryStep &step, const JobAnswerPointer &answer)
{
    std::vector<ConnectionId> copies;
    for (const auto &[connection, held] : m_held) {
        if (held.submission.job->key == answer->key) {
            copies.push_back(connection);
        }
    }
    for (const auto connection : copies) {
        remove(connection);
        step.emit(AnswerJob{connection, answer});
    }
}

bool ForwardController::onStatus(EntryStep &step, const ForwardStatusAnswered &answered)
{
    const auto found = m_held.find(answered.connection);
    if (found == m_held.end()) {
        return false;
    }
    auto &held = found->second;
    if (answered.status.key != held.submission.job->key) {
        return true;
    }
    if (answered.error == ErrorKind::None && answered.status.answer != nullptr) {
        // A status is found by key alone; only the submission itself tells the owner which body it had.
        held.inFlight = false;
        advance(step, answered.connection);
    } else if (answered.error != ErrorKind::None && held.inFlight) {
        held.inFlight = false;
        retryLater(step, held);
        reschedule(held);
    }
    return true;
}

bool ForwardController::onSendFailed(EntryStep &step, ConnectionId connection, Delivery delivery)
{
    const auto found = m_held.find(connection);
    if (found == m_held.end()) {
        return false;
    }
    found->second.inFlight = false;
    if (delivery == Delivery::NotSent && !found->second.checked) {
        --found->second.copies;
    }
    retryLater(step, found->second);
    reschedule(found->second);
    return true;
}

void ForwardController::onCallerGone(ConnectionId connection)
{
    remove(connection);
}

void ForwardController::onRosterChanged(EntryStep &step)
{
    std::vector<ConnectionId> connections;
    for (const auto &[connection, held] : m_held) {
        connections.push_back(connection);
    }
    for (const auto connection : connections) {
        if (m_held.contains(connection)) {
            advance(step, connection);
        }
    }
}

void ForwardController::onTime(EntryStep &step)
{
    while (!m_wakes.empty() && m_wakes.begin()->first <= step.now()) {
        const auto connection = m_wakes.begin()->second;
        auto &held = m_held.at(connection);
        if (step.now() >= limitOf(held)) {
            answerUnavailable(step, connection, "no owner of the key answered in time");
        } else if (held.inFlight) {
            check(step, held);
            reschedule(held);
        } else {
            advance(step, connection);
        }
    }
}

std::uint32_t ForwardController::cutOff(EntryStep &step)
{
    const auto count = heldCount();
    while (!m_held.empty()) {
        answerUnavailable(step, m_held.begin()->first, "this entry stopped");
    }
    return count;
}

std::uint32_t ForwardController::heldCount() const
{
    return static_cast<std::uint32_t>(m_held.size());
}

std::optional<MonotonicTime> ForwardController::nextWake() const
{
    return m_wakes.empty() ? std::nullopt : std::optional(m_wakes.begin()->first);
}

void ForwardController::answerUnavailable(EntryStep &step, ConnectionId connection, const std::string &detail)
{
    const auto found = m_held.find(connection);
    auto answer = std::make_shared<JobAnswer>();
    answer->key = found->second.submission.job->key;
    answer->error = ErrorKind::OwnerUnavailable;
    answer->ran = RunState::Unknown;
    answer->detail = detail;
    answer->singleRequest = found->second.submission.job->singleRequest;
    remove(connection);
    step.emit(AnswerJob{connection, std::move(answer)});
}

void ForwardController::remove(ConnectionId connection)
{
    if (const auto found = m_held.find(connection); found != m_held.end()) {
        m_wakes.erase({found->second.wake, connection});
        m_held.erase(found);
    }
}

void ForwardController::reschedule(Held &held)
{
    const auto connection = held.submission.connection;
    m_wakes.erase({held.wake, connection});
    held.wake = std::min(limitOf(held), held.retryAt);
    m_wakes.emplace(held.wake, connection);
}

MonotonicTime ForwardController::limitOf(const Held &held)
{
    return held.submission.deadline + (held.inFlight ? EndingGrace + AnswerTravelTime : Duration());
}

} // namespace Sycamoremoor
