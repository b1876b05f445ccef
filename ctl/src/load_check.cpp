// Promises checked on answers and runners' logs, and counters read from metrics.
#include "load_type.h"

#include <sycamoremoor/wire/json_parse_func.h>

#include <nlohmann/json.hpp>

#include <charconv>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace Sycamoremoor
{

namespace
{

constexpr std::string_view MessagesMetric = "sycamoremoor_messages_total{direction=\"";
constexpr std::string_view InternalPrefix = "/internal/";

std::string labelOf(const std::string &line, const std::string &name)
{
    const auto begin = line.find(name + "=\"") + name.size() + 2;
    return line.substr(begin, line.find('"', begin) - begin);
}

std::string taskId(const SubmissionKey &key, std::size_t index)
{
    return key.toString() + "." + std::to_string(index);
}

/** Checks one job's answer against the starts that the runners saw. */
void checkJob(const JobOutcome &outcome, const PlannedJob &job, const std::map<std::string, int> &starts, std::vector<std::string> &broken)
{
    const auto name = "submission " + outcome.key.toString();
    if (!outcome.answered) {
        broken.push_back(name + " got no answer");
        return;
    }
    const auto isComplete = outcome.error == ErrorKind::None;
    if (isComplete && outcome.results.size() != job.tasks.size()) {
        broken.push_back(name + " was called complete with a part of its results");
    }
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        const auto started = starts.contains(taskId(outcome.key, index));
        if (isComplete && index < outcome.results.size() && outcome.results[index] != expectedResult(outcome.key, index)) {
            broken.push_back(name + " got another's result for task " + std::to_string(index));
        }
        if (isComplete && !started) {
            broken.push_back(name + " was called complete, task " + std::to_string(index) + " never started");
        }
        const auto calledNotRun
            = (!isComplete && outcome.ran == RunState::NotRun) || (index < outcome.taskRan.size() && outcome.taskRan[index] == "not_run");
        if (calledNotRun && started) {
            broken.push_back(name + ": task " + std::to_string(index) + " was called not run and had started");
        }
    }
}

} // namespace

std::string expectedResult(const SubmissionKey &key, std::size_t task)
{
    return taskId(key, task);
}

void addMetrics(const std::string &text, MessageCounts &counts)
{
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        const auto space = line.rfind(' ');
        if (line.empty() || line.front() == '#' || space == std::string::npos) {
            continue;
        }
        double value = 0;
        std::from_chars(line.data() + space + 1, line.data() + line.size(), value);
        if (!line.starts_with(MessagesMetric)) {
            if (line.find('{') == std::string::npos) {
                counts.counters[line.substr(0, space)] += value;
            }
            continue;
        }
        if (const auto path = labelOf(line, "path"); path.starts_with(InternalPrefix)) {
            const auto direction = labelOf(line, "direction");
            (direction == "in" ? counts.byPath : counts.reports)[path] += value;
        }
    }
}

std::map<std::string, int> readStartLogs(const std::string &folder)
{
    std::map<std::string, int> starts;
    for (const auto &item : std::filesystem::directory_iterator(folder)) {
        if (item.path().extension() != ".starts") {
            continue;
        }
        std::ifstream file(item.path());
        for (std::string line; std::getline(file, line);) {
            if (const auto json = parseJson(line); json.is_object()) {
                ++starts[json.value("id", "")];
            }
        }
    }
    return starts;
}

std::vector<std::string>
brokenPromises(const std::vector<JobOutcome> &outcomes, const std::vector<PlannedJob> &plan, const std::map<std::string, int> &starts)
{
    std::vector<std::string> broken;
    for (const auto &[id, count] : starts) {
        if (count > 1) {
            broken.push_back("task " + id + " started " + std::to_string(count) + " times");
        }
    }
    for (std::size_t index = 0; index < outcomes.size(); ++index) {
        checkJob(outcomes[index], plan[index], starts, broken);
        broken.insert(broken.end(), outcomes[index].faults.begin(), outcomes[index].faults.end());
    }
    return broken;
}

} // namespace Sycamoremoor
