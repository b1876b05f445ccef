// Command account: what ran, over all entries.
#include "account_audit.h"
#include "clock_func.h"
#include "commands.h"
#include "entry_directory.h"
#include "options.h"
#include "text_table.h"

#include <sycamoremoor/wire/http_status.h>
#include <sycamoremoor/wire/message_codec.h>
#include <sycamoremoor/wire/text_codec.h>

#include <nlohmann/json.hpp>

#include <iostream>
#include <utility>

namespace Sycamoremoor
{

namespace
{

/** Accounts of all entries. */
struct Accounts {
    std::vector<AccountReply> answered;
    std::vector<std::string> silent;
    std::vector<std::string> broken; ///< promises that they show broken
};

std::string queryPath(const Options &options)
{
    constexpr std::array<std::pair<const char *, const char *>, 6> Parameters{
        {{"key", "key"}, {"team", "team"}, {"since-ms", "since_ms"}, {"until-ms", "until_ms"}, {"ran", "ran"}, {"limit", "limit"}}};
    std::string path = "/v1/account";
    auto separator = '?';
    for (const auto &[flag, parameter] : Parameters) {
        if (options.isSet(flag)) {
            path += std::exchange(separator, '&') + std::string(parameter) + "=" + options.text(flag);
        }
    }
    return path;
}

Accounts askAccounts(const Options &options)
{
    Accounts accounts;
    for (const auto &[entry, reply] : askEntries(options, queryPath(options))) {
        AccountReply account;
        if (reply.status == HttpStatus::Ok && !decode(reply.body, account)) {
            accounts.answered.push_back(std::move(account));
        } else {
            accounts.silent.push_back(entry.name);
        }
    }
    accounts.broken = auditAccounts(accounts.answered);
    return accounts;
}

void printJson(const Accounts &accounts)
{
    nlohmann::json entries = nlohmann::json::array();
    for (const auto &reply : accounts.answered) {
        entries.push_back(nlohmann::json::parse(encode(reply)));
    }
    std::cout << nlohmann::json{{"entries", entries}, {"silent", accounts.silent}, {"broken", accounts.broken}}.dump(2) << "\n";
}

void addTasks(TextTable &table, const SubmissionAccount &submission)
{
    for (const auto &task : submission.tasks) {
        const auto run = std::chrono::duration_cast<std::chrono::milliseconds>(task.finishedAt - task.startedAt).count();
        const auto hasTimes = task.startedAt != WallTime() && task.finishedAt != WallTime();
        table.add({"  task " + std::to_string(task.index.value()),
                   task.kind.value(),
                   std::string(taskStateName(task.state)),
                   std::string(runStateName(task.ran)),
                   task.error == ErrorKind::None ? "" : std::string(errorRow(task.error).code),
                   task.agent.value(),
                   task.upstream.port == 0 ? "" : endpointToString(task.upstream),
                   std::to_string(task.attempts),
                   timeToText(task.startedAt),
                   hasTimes ? std::to_string(run) + " ms" : "-"});
    }
}

void printTable(const Accounts &accounts)
{
    TextTable table({"submission", "service", "state", "ran", "error", "team", "entry", "times", "received", "answered"});
    for (const auto &reply : accounts.answered) {
        for (const auto &submission : reply.submissions) {
            table.add({submission.key.toString(),
                       submission.service.value(),
                       std::string(jobStateName(submission.state)),
                       std::string(runStateName(submission.ran)),
                       submission.error == ErrorKind::None ? "" : std::string(errorRow(submission.error).code),
                       submission.team.value(),
                       reply.entry.value(),
                       std::to_string(submission.timesSubmitted),
                       timeToText(submission.receivedAt),
                       timeToText(submission.answeredAt)});
            addTasks(table, submission);
        }
    }
    table.print(std::cout);
    for (const auto &reply : accounts.answered) {
        std::cout << reply.entry.value() << " tells of what it took since " << timeToText(reply.coversFrom);
        std::cout << (reply.released == 0 ? "" : "; it has let go " + std::to_string(reply.released) + " submissions") << "\n";
    }
}

void tellGaps(const Accounts &accounts)
{
    for (const auto &name : accounts.silent) {
        std::cerr << "sycamorectl: " << name << " did not answer; what it took is missing here\n";
    }
    for (const auto &sentence : accounts.broken) {
        std::cerr << "sycamorectl: promise broken: " << sentence << "\n";
    }
}

} // namespace

ExitCode accountCommand(const Options &options)
{
    const auto accounts = askAccounts(options);
    if (options.isSet("json")) {
        printJson(accounts);
    } else {
        printTable(accounts);
    }
    tellGaps(accounts);
    if (!accounts.broken.empty()) {
        return ExitCode::PromiseBroken;
    }
    if (accounts.answered.empty()) {
        return ExitCode::Unreachable;
    }
    return accounts.silent.empty() ? ExitCode::Done : ExitCode::Incomplete;
}

} // namespace Sycamoremoor
