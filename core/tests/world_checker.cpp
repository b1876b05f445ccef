// The promises of docs/ONCE.md, checked against the runners' start logs and the callers' answers.
#include "world_checker.h"

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

std::string nameOf(const TaskId &task)
{
    return task.submission.toString() + "/" + std::to_string(task.index.value());
}

/** Tells whether an answer settles the submission: the caller must not expect another one. */
bool isForGood(const JobAnswer &answer)
{
    const bool saysNothing
        = answer.error == ErrorKind::KeyConflict || answer.error == ErrorKind::AnswerReleased || answer.error == ErrorKind::KeyExpired;
    return answer.error != ErrorKind::None && !saysNothing && !errorRow(answer.error).retryIsSafe;
}

} // namespace

std::string worldResult(const std::string &payload)
{
    return "result of " + payload;
}

void WorldChecker::fail(const std::string &what)
{
    m_broken.push_back(what);
}

void WorldChecker::submitted(const JobSpec &job)
{
    auto &history = m_history[job.key];
    if (history.submissions++ == 0) {
        history.memoryLosses = m_memoryLosses;
    }
}

void WorldChecker::started(const TaskId &task, const std::string &where)
{
    if (const auto [first, fresh] = m_starts.emplace(task, where); !fresh) {
        fail("started twice: " + nameOf(task) + " at " + first->second + " and " + where);
    }
    if (const auto claim = m_notRun.find(task); claim != m_notRun.end()) {
        const bool askedAgain = claim->second.retryIsSafe && m_history[task.submission].submissions > claim->second.submissions;
        if (!askedAgain) {
            fail("started after it was told as not run: " + nameOf(task) + " at " + where);
        }
    }
}

void WorldChecker::answered(const JobSpec &job, const JobAnswer &answer)
{
    ++(answer.error == ErrorKind::None ? m_complete : m_failed);
    checkWhole(job, answer);
    checkAccount(job, answer);
    checkNotRun(job, answer);
    checkAgainstEarlier(job, answer);
}

void WorldChecker::checkWhole(const JobSpec &job, const JobAnswer &answer)
{
    const auto key = job.key.toString();
    if (answer.key != job.key) {
        fail("another's answer: " + answer.key.toString() + " to " + key);
    }
    if (answer.error != ErrorKind::None) {
        if (!answer.results.empty()) {
            fail("results in a failed answer: " + key);
        }
        return;
    }
    if (answer.results.size() != job.tasks.size()) {
        fail("part of an answer: " + key);
        return;
    }
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        if (answer.results[index] != worldResult(job.tasks[index].payload)) {
            fail("another task's result: " + key + "/" + std::to_string(index) + " is " + answer.results[index]);
        }
    }
}

void WorldChecker::checkAccount(const JobSpec &job, const JobAnswer &answer)
{
    if (!answer.account.empty() && answer.account.size() != job.tasks.size()) {
        fail("part of an account: " + job.key.toString());
    }
    for (const auto &line : answer.account) {
        const TaskId task{job.key, line.index};
        const bool started = m_starts.contains(task);
        if (line.ran == RunState::Ran && !started) {
            fail("told as ran, never started: " + nameOf(task));
        }
        if (line.ran == RunState::NotRun && started) {
            fail("told as not run, but started: " + nameOf(task) + ", " + std::string(errorRow(answer.error).code));
        }
        if (line.ran == RunState::NotRun) {
            claimNotRun(task, answer);
        }
    }
}

void WorldChecker::checkNotRun(const JobSpec &job, const JobAnswer &answer)
{
    if (answer.ran != RunState::NotRun) {
        return;
    }
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        const TaskId task{job.key, TaskIndex(index)};
        if (m_starts.contains(task)) {
            fail("submission told as not run, but started: " + nameOf(task) + ", " + std::string(errorRow(answer.error).code));
            return;
        }
        claimNotRun(task, answer);
    }
}

void WorldChecker::claimNotRun(const TaskId &task, const JobAnswer &answer)
{
    m_notRun[task] = {m_history[task.submission].submissions, errorRow(answer.error).retryIsSafe};
}

void WorldChecker::checkAgainstEarlier(const JobSpec &job, const JobAnswer &answer)
{
    auto &history = m_history[job.key];
    if (answer.error == ErrorKind::None) {
        if (history.failedForGood && !mayDiffer(history, *history.failedForGood)) {
            fail("failed, then complete: " + job.key.toString() + ", " + std::string(errorRow(history.failedForGood->error).code));
        }
        if (history.complete && history.complete->results != answer.results) {
            fail("two complete answers differ: " + job.key.toString());
        }
        history.complete = answer;
        return;
    }
    if (!isForGood(answer)) {
        return;
    }
    if (history.complete && !mayDiffer(history, answer)) {
        fail("complete, then failed: " + job.key.toString() + ", " + std::string(errorRow(answer.error).code));
    }
    history.failedForGood = answer;
}

bool WorldChecker::mayDiffer(const KeyHistory &history, const JobAnswer &failed) const
{
    // What was lost together with an owner is told as unknown; that contradicts nothing.
    const bool isUnknown = failed.ran == RunState::Unknown
        || std::ranges::any_of(failed.account, [](const TaskAccount &line) { return line.ran == RunState::Unknown; });
    return isUnknown && history.memoryLosses != m_memoryLosses;
}

void WorldChecker::memoryLost()
{
    ++m_memoryLosses;
}

const std::vector<std::string> &WorldChecker::broken() const
{
    return m_broken;
}

std::size_t WorldChecker::starts() const
{
    return m_starts.size();
}

std::size_t WorldChecker::completeAnswers() const
{
    return m_complete;
}

std::size_t WorldChecker::failedAnswers() const
{
    return m_failed;
}

} // namespace Sycamoremoor
