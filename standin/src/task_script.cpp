// What a task of the runner stand-in does, as its payload says.
#include "task_script.h"

#include <charconv>

namespace Sycamoremoor
{

namespace
{

void readWord(std::string_view word, TaskScript &script)
{
    const auto equals = word.find('=');
    if (equals == std::string_view::npos) {
        return;
    }
    const auto name = word.substr(0, equals);
    const auto value = word.substr(equals + 1);
    if (name == "result") {
        script.result = value;
    } else if (name == "fail") {
        script.fails = value != "0";
    } else if (name == "run_ms") {
        std::int64_t milliseconds = 0;
        std::from_chars(value.data(), value.data() + value.size(), milliseconds);
        script.runTime = std::chrono::milliseconds(milliseconds);
    }
}

} // namespace

TaskScript readTaskScript(std::string_view payload)
{
    TaskScript script;
    while (!payload.empty()) {
        const auto space = payload.find(' ');
        readWord(payload.substr(0, space), script);
        payload = space == std::string_view::npos ? std::string_view() : payload.substr(space + 1);
    }
    return script;
}

} // namespace Sycamoremoor
