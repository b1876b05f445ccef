// Checks the promises of docs/ONCE.md against the runners' start logs and the callers' answers.
#include "simulation_checker.h"

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

std::string nameOf(const TaskId &task)
{
    return task.submission.toString() + "/" + std::to_string(task.index.value());
}

/** Returns whether an answer is a final failure: the caller must not expect another outcome. */
bool isFinalFailure(const JobAnswer &answer)
{
    const bool leavesOutcomeOpen
        = answer.error == ErrorKind::KeyConflict || answer.error == ErrorKind::AnswerReleased || answer.error == ErrorKind::KeyExpired;
    return answer.error != ErrorKind::None && !leavesOutcomeOpen && !errorRow(answer.error).retryIsSafe;
}

} // namespace

std::string simulatedResult(const std::string &payload)
{
    return "result of " + payload;
}

void SimulationChecker::fail(const std::string &what)
{
    m_violations.push_back(what);
}

void SimulationChecker::submitted(const JobSpec &job)
{
    auto &history = m_history[job.key];
    if (history.submissions++ == 0) {
        history.memoryLosses = m_memoryLosses;
    }
}

void SimulationChecker::started(const TaskId &task, const std::string &where)
{
    if (const auto [first, fresh] = m_starts.emplace(task, where); !fresh) {
        fail("started twice: " + nameOf(task) + " at " + first->second + " and " + where);
    }
    if (const auto claim = m_notRun.find(task); claim != m_notRun.end()) {
        const bool resubmitted = claim->second.retryIsSafe && m_history[task.submission].submissions > claim->second.submissions;
        if (!resubmitted) {
            fail("started after it was told as not run: " + nameOf(task) + " at " + where);
        }
    }
}

void SimulationChecker::answered(const JobSpec &job, const JobAnswer &answer)
{
    ++(answer.error == ErrorKind::None ? m_complete : m_failed);
    checkResults(job, answer);
    checkAccount(job, answer);
    checkNotRun(job, answer);
    checkConsistency(job, answer);
}

void SimulationChecker::checkResults(const JobSpec &job, const JobAnswer &answer)
{
    const auto key = job.key.toString();
    if (answer.key != job.key) {
        fail("answer for another key: " + answer.key.toString() + " instead of " + key);
    }
    if (answer.error != ErrorKind::None) {
        if (!answer.results.empty()) {
            fail("results in a failed answer: " + key);
        }
        return;
    }
    if (answer.results.size() != job.tasks.size()) {
        fail("incomplete answer: " + key);
        return;
    }
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        if (answer.results[index] != simulatedResult(job.tasks[index].payload)) {
            fail("wrong result: " + key + "/" + std::to_string(index) + " is " + answer.results[index]);
        }
    }
}

void SimulationChecker::checkAccount(const JobSpec &job, const JobAnswer &answer)
{
    if (!answer.account.empty() && answer.account.size() != job.tasks.size()) {
        fail("incomplete account: " + job.key.toString());
    }
    for (const auto &line : answer.account) {
        const TaskId task{job.key, line.index};
        const bool started = m_starts.contains(task);
        if (line.ran == RunState::Ran && !started) {
            fail("reported as run, but never started: " + nameOf(task));
        }
        if (line.ran == RunState::NotRun && started) {
            fail("reported as not run, but started: " + nameOf(task) + ", " + std::string(errorRow(answer.error).code));
        }
        if (line.ran == RunState::NotRun) {
            claimNotRun(task, answer);
        }
    }
}

void SimulationChecker::checkNotRun(const JobSpec &job, const JobAnswer &answer)
{
    if (answer.ran != RunState::NotRun) {
        return;
    }
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        const TaskId task{job.key, TaskIndex(index)};
        if (m_starts.contains(task)) {
            fail("submission reported as not run, but started: " + nameOf(task) + ", " + std::string(errorRow(answer.error).code));
            return;
        }
        claimNotRun(task, answer);
    }
}

void SimulationChecker::claimNotRun(const TaskId &task, const JobAnswer &answer)
{
    m_notRun[task] = {m_history[task.submission].submissions, errorRow(answer.error).retryIsSafe};
}

void SimulationChecker::checkConsistency(const JobSpec &job, const JobAnswer &answer)
{
    auto &history = m_history[job.key];
    if (answer.error == ErrorKind::None) {
        if (history.finalFailure && !mayDiffer(history, *history.finalFailure)) {
            fail("failed, then complete: " + job.key.toString() + ", " + std::string(errorRow(history.finalFailure->error).code));
        }
        if (history.complete && history.complete->results != answer.results) {
            fail("two complete answers differ: " + job.key.toString());
        }
        history.complete = answer;
        return;
    }
    if (!isFinalFailure(answer)) {
        return;
    }
    if (history.complete && !mayDiffer(history, answer)) {
        fail("complete, then failed: " + job.key.toString() + ", " + std::string(errorRow(answer.error).code));
    }
    history.finalFailure = answer;
}

bool SimulationChecker::mayDiffer(const KeyHistory &history, const JobAnswer &failed) const
{
    // An outcome that was lost with its owner is reported as unknown, which contradicts no other answer.
    const bool isUnknown = failed.ran == RunState::Unknown
        || std::ranges::any_of(failed.account, [](const TaskAccount &line) { return line.ran == RunState::Unknown; });
    return isUnknown && history.memoryLosses != m_memoryLosses;
}

void SimulationChecker::memoryLost()
{
    ++m_memoryLosses;
}

const std::vector<std::string> &SimulationChecker::violations() const
{
    return m_violations;
}

std::size_t SimulationChecker::starts() const
{
    return m_starts.size();
}

std::size_t SimulationChecker::completeAnswers() const
{
    return m_complete;
}

std::size_t SimulationChecker::failedAnswers() const
{
    return m_failed;
}

} // namespace Sycamoremoor
