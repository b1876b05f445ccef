// How many jobs ended how, from the logs of schedulers.
#include "loss_count.h"

#include <sycamoremoor/wire/json_parse_func.h>

#include <charconv>

namespace Sycamoremoor
{

namespace
{

constexpr std::array<std::string_view, JobFates> FateTexts{
    "in time",
    "late: waited for capacity",
    "late: tasks sent again",
    "late: ran longer than expected",
    "refused: expected wait too long",
    "refused: scheduler behind",
    "refused: waited in vain",
    "refused: planned stop",
    "refused: confined, workers down",
    "refused: no worker for it known",
    "refused: fits no worker",
    "failed",
    "failed: crashes upstreams",
    "lost",
    "caller left",
};

std::string textOf(const nlohmann::json &line, const char *name)
{
    const auto found = line.find(name);
    return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::int64_t numberOf(const nlohmann::json &line, const char *name)
{
    const auto text = textOf(line, name);
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

JobFate fateOfRefused(const nlohmann::json &line)
{
    const auto outcome = textOf(line, "outcome");
    if (outcome == "draining") {
        return JobFate::RefusedStop;
    }
    if (outcome == "never_fits") {
        return JobFate::RefusedSize;
    }
    if (numberOf(line, "worker_millicores") == 0 || textOf(line, "fitting_workers") == "0") {
        return JobFate::RefusedWorkers;
    }
    if (textOf(line, "confined") == "yes") {
        return JobFate::RefusedCrashes;
    }
    // Two waits in the scheduler, one for the batch and one for the reports, would have taken all of the slack.
    if (numberOf(line, "lag_ms") > 0 && numberOf(line, "lag_ms") * 2 >= numberOf(line, "slack_ms")) {
        return JobFate::RefusedBehind;
    }
    return numberOf(line, "held_ms") > 0 ? JobFate::RefusedHeld : JobFate::RefusedArrival;
}

JobFate fateOfEnded(const nlohmann::json &line, bool isInTime)
{
    const auto outcome = textOf(line, "outcome");
    if (outcome == "failed") {
        return textOf(line, "error") == "crashes_upstreams" ? JobFate::GivenUp : JobFate::Failed;
    }
    if (outcome == "lost") {
        return JobFate::Lost;
    }
    if (isInTime) {
        return JobFate::InTime;
    }
    if (numberOf(line, "runs") > numberOf(line, "tasks")) {
        return JobFate::LateAgain;
    }
    return numberOf(line, "began_after_ms") > 0 ? JobFate::LateBegan : JobFate::LateRan;
}

/** Returns what a line tells of a job, if it does. */
std::optional<JobFate> fateOf(const nlohmann::json &line)
{
    const auto text = textOf(line, "text");
    if (text == "A job ended in time." || text == "A job ended late.") {
        return fateOfEnded(line, text == "A job ended in time.");
    }
    if (text == "A job is refused.") {
        return fateOfRefused(line);
    }
    if (text.starts_with("The caller of a job disconnected")) {
        return JobFate::CallerLeft;
    }
    return std::nullopt;
}

} // namespace

std::string_view jobFateText(JobFate fate)
{
    return FateTexts.at(static_cast<std::size_t>(fate));
}

void LossCount::add(std::string_view line)
{
    const auto begin = line.find('{');
    if (begin == std::string_view::npos) {
        return;
    }
    const auto parsed = parseJson(line.substr(begin));
    if (!parsed.is_object()) {
        return;
    }
    if (const auto fate = fateOf(parsed)) {
        ++m_byQueue[textOf(parsed, "queue")].at(static_cast<std::size_t>(*fate));
    } else if (const auto text = textOf(parsed, "text"); text.find(" lines were left out") != std::string::npos) {
        std::uint64_t lines = 0;
        std::from_chars(text.data(), text.data() + text.size(), lines);
        m_leftOut += lines;
    }
}

const std::map<std::string, LossCount::Fates> &LossCount::byQueue() const
{
    return m_byQueue;
}

std::uint64_t LossCount::leftOut() const
{
    return m_leftOut;
}

} // namespace Sycamoremoor
