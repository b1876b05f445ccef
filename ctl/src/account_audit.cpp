// Checks of the promises on the accounts of all entries together.
#include "account_audit.h"

#include <algorithm>
#include <map>
#include <set>

namespace Sycamoremoor
{

namespace
{

/** A start as an account tells it: an agent and a time. */
struct ToldStart {
    AgentName agent;
    WallTime startedAt;

    friend auto operator<=>(const ToldStart &, const ToldStart &) = default;
};

std::string nameOf(const SubmissionAccount &submission)
{
    return "submission " + submission.key.toString();
}

void auditOne(const SubmissionAccount &submission, std::vector<std::string> &broken)
{
    const auto hasRun = [](const TaskAccount &task) {
        return task.ran == RunState::Ran;
    };
    const auto succeeded = [](const TaskAccount &task) {
        return task.state == TaskState::Succeeded;
    };
    const auto ended = submission.state == JobState::Complete || submission.state == JobState::Failed;
    if (ended && submission.ran == RunState::NotRun && std::any_of(submission.tasks.begin(), submission.tasks.end(), hasRun)) {
        broken.push_back(nameOf(submission) + " was called not run, and a task of it ran");
    }
    if (submission.state == JobState::Complete && !std::all_of(submission.tasks.begin(), submission.tasks.end(), succeeded)) {
        broken.push_back(nameOf(submission) + " was called complete, and a task of it did not succeed");
    }
}

} // namespace

std::vector<std::string> auditAccounts(const std::vector<AccountReply> &replies)
{
    std::vector<std::string> broken;
    std::map<TaskId, std::set<ToldStart>> starts;
    for (const auto &reply : replies) {
        for (const auto &submission : reply.submissions) {
            auditOne(submission, broken);
            for (const auto &task : submission.tasks) {
                if (task.ran == RunState::Ran && task.startedAt != WallTime()) {
                    starts[{submission.key, task.index}].insert({task.agent, task.startedAt});
                }
            }
        }
    }
    for (const auto &[task, told] : starts) {
        if (told.size() > 1) {
            broken.push_back("task " + std::to_string(task.index.value()) + " of submission " + task.submission.toString() + " started "
                             + std::to_string(told.size()) + " times");
        }
    }
    return broken;
}

} // namespace Sycamoremoor
