// Decides what became of submissions of former owners.
#include "takeover_controller.h"

#include <algorithm>
#include <limits>

namespace Sycamoremoor
{

namespace
{

constexpr Duration CheckInterval = std::chrono::milliseconds(100);
constexpr Duration AskInterval = std::chrono::milliseconds(500);
constexpr std::size_t MaxProving = 20'000;

} // namespace

TakeoverController::TakeoverController(Parts parts, Hooks hooks)
    : m_parts(parts)
    , m_hooks(std::move(hooks))
{
}

bool TakeoverController::needsProof(const SubmissionKey &key, const Tenure &tenure) const
{
    if (tenure.former.empty()) {
        return false;
    }
    // Until then a former owner could take keys as far ahead of its clock as the skew bound allows.
    return key.created() <= tenure.exclusiveSince + 2 * m_parts.settings.clockSkew;
}

void TakeoverController::prove(EntryStep &step, const Submission &submission, OwnerSlotIndex slot)
{
    const auto &key = submission.job->key;
    auto found = m_proving.find(key);
    if (found != m_proving.end() && found->second.callers.front().job->digest != submission.job->digest) {
        m_hooks.refuse(step, submission, ErrorKind::KeyConflict);
        return;
    }
    if (found == m_proving.end()) {
        if (m_proving.size() >= MaxProving) {
            m_hooks.refuse(step, submission, ErrorKind::OwnerUnavailable);
            return;
        }
        found = m_proving.emplace(key, Proving()).first;
        found->second.slot = slot;
        found->second.deadline = submission.deadline;
        ask(step, key, found->second);
    }
    found->second.callers.push_back(submission);
    if (!m_nextCheck) {
        m_nextCheck = step.now() + CheckInterval;
    }
    advance(step, key);
}

void TakeoverController::ask(EntryStep &step, const SubmissionKey &key, Proving &proving)
{
    proving.askAgainAt = step.now() + AskInterval;
    const auto *tenure = m_parts.roster.tenure(proving.slot);
    if (tenure == nullptr) {
        return;
    }
    for (const auto &former : tenure->former) {
        if (former.clean || !m_parts.roster.isLeavingMember(former) || proving.denied.contains(former.name)) {
            continue;
        }
        const auto &members = m_parts.roster.roster()->members;
        const auto member = std::ranges::find(members, former.name, &RosterMember::name);
        step.emit(SendToPeer{
            former.name, member->endpoint, OwnerQuery{m_parts.settings.name, former.name, proving.slot, tenure->token, key}, std::nullopt});
    }
}

LedgerReportReply TakeoverController::onLedgerReport(EntryStep &step, const LedgerReport &report)
{
    const auto *tenure = m_parts.roster.tenure(report.slot);
    if (tenure == nullptr || tenure->token != report.token) {
        m_parts.roster.hurry();
        return LedgerReportReply{report.slot, tenure == nullptr ? Epoch() : tenure->token, report.part};
    }
    auto &proof = proofOf(*tenure);
    auto &ledger = proof.ledgers[{report.agent, report.incarnation}];
    ledger.startedAt = report.startedAt;
    ledger.parts = report.parts;
    if (ledger.arrived.insert(report.part).second) {
        for (const auto &entry : report.entries) {
            proof.entries[entry.task].push_back(LedgerEntry{report.agent, report.incarnation, entry});
        }
    }
    m_nextCheck = step.now();
    return LedgerReportReply{report.slot, report.token, report.part};
}

void TakeoverController::onOwnerQueryReply(EntryStep &step, const OwnerQueryReply &reply)
{
    const auto found = m_proving.find(reply.key);
    if (found == m_proving.end()) {
        return;
    }
    auto &proving = found->second;
    const auto *tenure = m_parts.roster.tenure(proving.slot);
    if (tenure == nullptr) {
        return;
    }
    const auto former = std::ranges::find_if(tenure->former, [&](const FormerOwner &candidate) {
        return candidate.name == reply.from && candidate.incarnation == reply.incarnation;
    });
    if (former == tenure->former.end()) {
        return;
    }
    if (!reply.known) {
        proving.denied.insert(reply.from);
        advance(step, reply.key);
        return;
    }
    const auto callers = std::move(proving.callers);
    const auto &owner = *former;
    m_proving.erase(found);
    for (const auto &caller : callers) {
        m_hooks.forward(step, caller, owner);
    }
}

void TakeoverController::onCallerGone(ConnectionId connection)
{
    for (auto &[key, proving] : m_proving) {
        const auto gone = std::ranges::find(proving.callers, connection, &Submission::connection);
        if (gone != proving.callers.end() && proving.callers.size() > 1) {
            proving.callers.erase(gone);
            return;
        }
    }
}

void TakeoverController::onRosterChanged(EntryStep &step)
{
    std::erase_if(m_proofs, [&](const auto &item) {
        const auto *tenure = m_parts.roster.tenure(item.first);
        return tenure == nullptr || tenure->token != item.second.token;
    });
    std::vector<Submission> released;
    std::erase_if(m_proving, [&](const auto &item) {
        if (m_parts.roster.tenure(item.second.slot) != nullptr) {
            return false;
        }
        released.insert(released.end(), item.second.callers.begin(), item.second.callers.end());
        return true;
    });
    for (const auto &submission : released) {
        m_hooks.release(step, submission);
    }
    m_nextCheck = step.now();
}

void TakeoverController::onTime(EntryStep &step)
{
    if (!m_nextCheck || step.now() < *m_nextCheck) {
        return;
    }
    m_nextCheck.reset();
    std::vector<SubmissionKey> keys;
    for (auto &[key, proving] : m_proving) {
        keys.push_back(key);
        if (step.now() >= proving.askAgainAt) {
            ask(step, key, proving);
        }
    }
    for (const auto &key : keys) {
        advance(step, key);
    }
    if (!m_proving.empty()) {
        m_nextCheck = step.now() + CheckInterval;
    }
}

void TakeoverController::advance(EntryStep &step, const SubmissionKey &key)
{
    const auto found = m_proving.find(key);
    if (found == m_proving.end()) {
        return;
    }
    auto &proving = found->second;
    if (step.now() >= proving.deadline) {
        const auto callers = std::move(proving.callers);
        m_proving.erase(found);
        for (const auto &caller : callers) {
            m_hooks.refuse(step, caller, ErrorKind::OwnerUnavailable);
        }
        return;
    }
    const auto *tenure = m_parts.roster.tenure(proving.slot);
    if (tenure == nullptr || !m_parts.roster.mayServe(step.now(), proving.slot)) {
        return;
    }
    bool needsLedgers = false;
    for (const auto &former : tenure->former) {
        if (former.clean) {
            continue;
        }
        if (!m_parts.roster.isLeavingMember(former)) {
            needsLedgers = true;
        } else if (!proving.denied.contains(former.name)) {
            return;
        }
    }
    if (needsLedgers && !updateProof(step.now(), proving.slot)) {
        return;
    }
    const auto taken = std::move(proving);
    m_proving.erase(found);
    std::vector<AdoptedTask> tasks;
    if (needsLedgers && hasOtherBody(*taken.callers.front().job, m_proofs.at(taken.slot))) {
        for (const auto &caller : taken.callers) {
            m_hooks.refuse(step, caller, ErrorKind::KeyConflict);
        }
        return;
    }
    if (needsLedgers) {
        tasks = recall(*taken.callers.front().job, m_proofs.at(taken.slot), taken.slot);
    }
    const auto isFresh = std::ranges::all_of(tasks, [](const AdoptedTask &task) { return task.kind == AdoptedTask::Kind::Fresh; });
    if (isFresh && !taken.cancelled) {
        m_hooks.fresh(step, taken.callers);
    } else {
        tasks.resize(taken.callers.front().job->tasks.size());
        m_hooks.adopt(step, taken.callers, tasks, taken.cancelled);
    }
}

bool TakeoverController::updateProof(MonotonicTime now, OwnerSlotIndex slot)
{
    const auto *recorded = m_parts.slotAgents.inherited(slot);
    if (recorded == nullptr) {
        return false;
    }
    const auto &tenure = *m_parts.roster.tenure(slot);
    auto &proof = proofOf(tenure);
    if (proof.complete) {
        return true;
    }
    if (!proof.waitingSince) {
        proof.waitingSince = now;
    }
    bool complete = true;
    for (const auto &agent : *recorded) {
        if (isReported(proof, agent, tenure.exclusiveAt) || proof.givenUp.contains(agent)) {
            continue;
        }
        const auto *worker = m_parts.workers.find(agent);
        if (worker == nullptr && now - *proof.waitingSince > m_parts.settings.agentLostTimeout) {
            proof.givenUp.insert(agent);
        } else {
            complete = false;
        }
    }
    proof.complete = complete;
    return complete;
}

bool TakeoverController::isReported(const SlotProof &proof, const AgentName &agent, MonotonicTime exclusiveAt) const
{
    // A life of the agent that began while the former owner could still act may hold tasks that an earlier life's ledger lacks.
    const auto *worker = m_parts.workers.find(agent);
    if (worker == nullptr || worker->heardAt < exclusiveAt) {
        return false;
    }
    const auto found = proof.ledgers.find({agent, worker->heartbeat.incarnation});
    return found != proof.ledgers.end() && found->second.parts != 0 && found->second.arrived.size() >= found->second.parts;
}

bool TakeoverController::reachesBack(const SlotProof &proof, OwnerSlotIndex slot, WallTime created) const
{
    const auto *recorded = m_parts.slotAgents.inherited(slot);
    return recorded != nullptr && proof.givenUp.empty() && std::ranges::all_of(*recorded, [&](const AgentName &agent) {
               return beganBefore(proof, agent, created - m_parts.settings.clockSkew);
           });
}

bool TakeoverController::beganBefore(const SlotProof &proof, const AgentName &agent, WallTime bound)
{
    bool isReported = false;
    for (auto ledger = proof.ledgers.lower_bound({agent, Incarnation()}); ledger != proof.ledgers.end() && ledger->first.first == agent;
         ++ledger) {
        isReported = true;
        if (ledger->second.startedAt >= bound) {
            return false;
        }
    }
    return isReported;
}

std::vector<AdoptedTask> TakeoverController::recall(const JobSpec &job, const SlotProof &proof, OwnerSlotIndex slot) const
{
    const auto reaches = reachesBack(proof, slot, job.key.created());
    std::vector<AdoptedTask> tasks;
    tasks.reserve(job.tasks.size());
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        tasks.push_back(recallTask(TaskId{job.key, TaskIndex(index)}, proof, reaches));
    }
    return tasks;
}

AdoptedTask TakeoverController::recallTask(const TaskId &id, const SlotProof &proof, bool ledgersReachBack) const
{
    AdoptedTask task;
    const auto found = proof.entries.find(id);
    if (found != proof.entries.end()) {
        const auto started
            = std::ranges::find_if(found->second, [](const LedgerEntry &entry) { return entry.report.state != TaskState::NeverStarted; });
        if (started != found->second.end()) {
            task.kind = AdoptedTask::Kind::Known;
            task.agent = started->agent;
            task.agentIncarnation = started->incarnation;
            task.report = started->report;
            return task;
        }
    }
    task.kind = ledgersReachBack ? AdoptedTask::Kind::Fresh : AdoptedTask::Kind::Unknown;
    return task;
}

bool TakeoverController::hasOtherBody(const JobSpec &job, const SlotProof &proof)
{
    const auto first = proof.entries.lower_bound(TaskId{job.key, TaskIndex()});
    const auto last = proof.entries.upper_bound(TaskId{job.key, TaskIndex(std::numeric_limits<std::uint32_t>::max())});
    return std::any_of(first, last, [&](const auto &item) {
        return std::ranges::any_of(item.second,
                                   [&](const LedgerEntry &entry) { return entry.report.digest != 0 && entry.report.digest != job.digest; });
    });
}

TakeoverController::SlotProof &TakeoverController::proofOf(const Tenure &tenure)
{
    auto &proof = m_proofs[tenure.slot];
    if (proof.token != tenure.token) {
        proof = SlotProof();
        proof.token = tenure.token;
    }
    return proof;
}

bool TakeoverController::cancel(const SubmissionKey &key)
{
    const auto found = m_proving.find(key);
    if (found == m_proving.end()) {
        return false;
    }
    found->second.cancelled = true;
    return true;
}

std::uint32_t TakeoverController::cutOff(EntryStep &step)
{
    std::uint32_t count = 0;
    for (const auto &[key, proving] : m_proving) {
        for (const auto &caller : proving.callers) {
            m_hooks.refuse(step, caller, ErrorKind::OwnerUnavailable);
            ++count;
        }
    }
    m_proving.clear();
    return count;
}

bool TakeoverController::isProving(const SubmissionKey &key) const
{
    return m_proving.contains(key);
}

std::uint32_t TakeoverController::provingCount() const
{
    return static_cast<std::uint32_t>(m_proving.size());
}

std::optional<MonotonicTime> TakeoverController::nextWake() const
{
    return m_nextCheck;
}

} // namespace Sycamoremoor
