// Commands of callers: submit, request, cancel and the status of one submission.
#include "clock_func.h"
#include "commands.h"
#include "http_caller.h"
#include "options.h"
#include "text_table.h"

#include <sycamoremoor/wire/json_parse_func.h>
#include <sycamoremoor/wire/message_codec.h>

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

namespace Sycamoremoor
{

using Json = nlohmann::ordered_json;

namespace
{

constexpr const char *Prefix = "sycamorectl: ";

std::optional<std::string> readFile(const std::string &name)
{
    if (name == "-") {
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    }
    std::ifstream file(name);
    if (!file) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

/** Tells whether asking another entry, with the same key, may bring another answer. */
bool isWorthAnotherEntry(const HttpReply &reply)
{
    if (reply.status == 0) {
        return true; // the same key never starts anything twice
    }
    const auto json = parseJson<Json>(reply.body);
    return reply.status >= 500 && json.is_object() && json.contains("error") && json.at("error").value("retry_is_safe", false);
}

/** Sends a request to the entries in turn, with the same key, until one answers for good. */
HttpReply callInTurn(const Options &options, const HttpRequest &request, Duration timeout)
{
    HttpReply reply;
    const auto entries = options.endpoints("entries");
    const auto attempts = options.whole("attempts");
    for (std::int64_t attempt = 0; attempt < attempts && !entries.empty(); ++attempt) {
        reply = callOne(entries[static_cast<std::size_t>(attempt) % entries.size()], request, timeout);
        if (!isWorthAnotherEntry(reply)) {
            return reply;
        }
    }
    return reply;
}

std::string secondsBetween(const Json &task)
{
    const auto started = task.value("started_at", std::int64_t{0});
    const auto finished = task.value("finished_at", std::int64_t{0});
    return started == 0 || finished == 0 ? "-" : std::to_string((finished - started) / 1'000);
}

void printAccount(const Json &account)
{
    TextTable table({"task", "kind", "ran", "state", "agent", "upstream", "attempts", "started", "ms"});
    for (const auto &task : account) {
        table.add({std::to_string(task.value("index", 0)),
                   task.value("kind", ""),
                   task.value("ran", ""),
                   task.value("state", ""),
                   task.value("agent", ""),
                   task.value("upstream", ""),
                   std::to_string(task.value("attempts", 0)),
                   timeToText(WallTime(Duration(task.value("started_at", std::int64_t{0})))),
                   secondsBetween(task)});
    }
    table.print(std::cout);
}

void printResults(const Json &answer)
{
    if (answer.contains("result")) {
        std::cout << "result: " << answer.at("result").get<std::string>() << "\n";
    }
    if (answer.contains("results")) {
        std::size_t index = 0;
        for (const auto &result : answer.at("results")) {
            std::cout << "result " << index++ << ": " << result.get<std::string>() << "\n";
        }
    }
}

void printAnswer(const Json &answer)
{
    std::cout << "key: " << answer.value("key", "") << "\n";
    if (answer.contains("state")) {
        std::cout << "state: " << answer.at("state").get<std::string>() << "\n";
    }
    if (answer.contains("error")) {
        const auto &error = answer.at("error");
        std::cout << "error: " << error.value("code", "") << ", " << error.value("message", "") << "\n";
        std::cout << "ran: " << error.value("ran", "") << "\n";
    }
    if (answer.contains("finished")) {
        std::cout << "finished: " << answer.value("finished", 0) << " of " << answer.value("tasks", 0) << " tasks\n";
    }
    printResults(answer);
    if (answer.contains("account") && !answer.at("account").empty()) {
        printAccount(answer.at("account"));
    }
    if (answer.contains("answer")) {
        printAnswer(answer.at("answer"));
    }
}

ExitCode exitCodeOfAnswer(const Json &answer)
{
    if (!answer.contains("error")) {
        return ExitCode::Done;
    }
    const auto &error = answer.at("error");
    return exitCodeOf(errorKindFromCode(error.value("code", "")),
                      error.value("ran", "") == "not_run" ? RunState::NotRun : RunState::Unknown);
}

ExitCode tellReply(const Options &options, const HttpReply &reply)
{
    if (reply.status == 0) {
        std::cerr << Prefix << (options.isSet("entries") ? "no entry answered" : "--entries names no entry") << "\n";
        return options.isSet("entries") ? ExitCode::Unreachable : ExitCode::Usage;
    }
    const auto answer = parseJson<Json>(reply.body);
    if (!answer.is_object()) {
        std::cerr << Prefix << "the answer is no JSON object, status " << reply.status << "\n";
        return ExitCode::Fault;
    }
    if (options.isSet("json")) {
        std::cout << answer.dump(2) << "\n";
    } else {
        printAnswer(answer);
    }
    return exitCodeOfAnswer(answer);
}

ExitCode submitTo(const Options &options, const std::string &path)
{
    const auto body = readFile(options.operands().front());
    if (!body) {
        std::cerr << Prefix << options.operands().front() << ": cannot be read\n";
        return ExitCode::Usage;
    }
    const auto key = options.isSet("key") ? options.text("key") : newSubmissionKey().toString();
    if (!options.isSet("json")) {
        std::cerr << "key: " << key << "\n"; // before anything is sent, so that it can be asked for again
    }
    const HttpRequest request{.path = path, .body = *body, .headers = {{"Idempotency-Key", key}}};
    return tellReply(options, callInTurn(options, request, options.milliseconds("wait-ms")));
}

} // namespace

ExitCode submitCommand(const Options &options)
{
    return submitTo(options, "/v1/jobs");
}

ExitCode requestCommand(const Options &options)
{
    return submitTo(options, "/v1/requests");
}

ExitCode cancelCommand(const Options &options)
{
    const HttpRequest request{.method = HttpMethod::Delete, .path = "/v1/jobs/" + options.operands().front()};
    return tellReply(options, callInTurn(options, request, options.milliseconds("timeout-ms")));
}

/** Tells how one submission stands; called by statusCommand(). */
ExitCode submissionStatus(const Options &options)
{
    const HttpRequest request{.method = HttpMethod::Get, .path = "/v1/jobs/" + options.operands().front()};
    return tellReply(options, callInTurn(options, request, options.milliseconds("timeout-ms")));
}

} // namespace Sycamoremoor
