// Commands that read the configuration: history, show, watch.
#include "clock_func.h"
#include "commands.h"
#include "config_print_func.h"
#include "config_store.h"
#include "options.h"
#include "process_status_func.h"
#include "text_table.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace Sycamoremoor
{

using Json = nlohmann::ordered_json;

namespace
{

/** Which revision one process has in force. */
struct InForceRow {
    std::string process;
    std::string role;
    Revision revision;
    WallTime since;
};

std::vector<InForceRow> inForceRows(const EntryStatuses &statuses)
{
    std::vector<InForceRow> rows;
    for (const auto &status : statuses.answered) {
        rows.push_back({status.name, status.role, status.configRevision, status.configSince});
        for (const auto &worker : status.workers) {
            rows.push_back({worker.agent.value(), "agent", worker.configRevision, worker.configSince});
        }
    }
    return rows;
}

ExitCode showInForce(const Options &options)
{
    const auto statuses = askStatuses(options);
    const auto rows = inForceRows(statuses);
    if (options.isSet("json")) {
        Json processes = Json::array();
        for (const auto &[process, role, revision, since] : rows) {
            processes.push_back({{"process", process}, {"role", role}, {"revision", revision.value()}, {"since", timeToText(since)}});
        }
        std::cout << Json{{"processes", processes}, {"silent", statuses.silent}}.dump(2) << "\n";
        return exitCodeOfStatuses(statuses);
    }
    TextTable table({"process", "role", "revision", "since"});
    for (const auto &[process, role, revision, since] : rows) {
        table.add({process, role, std::to_string(revision.value()), timeToText(since)});
    }
    table.print(std::cout);
    tellSilent(statuses);
    return exitCodeOfStatuses(statuses);
}

std::vector<std::string> historyCells(Revision revision, const std::string &author, WallTime changedAt, const ChangeId &changeId)
{
    return {std::to_string(revision.value()), author, timeToText(changedAt), changeId.value()};
}

} // namespace

ExitCode configHistoryCommand(const Options &options)
{
    if (!hasPlatform(options)) {
        return ExitCode::Usage;
    }
    ConfigStore store(platformSettings(options));
    std::string error;
    const auto history = store.readHistory(error);
    if (!history) {
        std::cerr << ConfigPrefix << "platform: " << error << "\n";
        return ExitCode::Unreachable;
    }
    if (options.isSet("json")) {
        Json list = Json::array();
        for (const auto &set : *history) {
            list.push_back({{"revision", set.revision.value()},
                            {"author", set.author},
                            {"changed_at", timeToText(set.changedAt)},
                            {"change_id", set.changeId.value()}});
        }
        std::cout << list.dump(2) << "\n";
        return ExitCode::Done;
    }
    TextTable table({"revision", "author", "changed", "change"});
    for (const auto &set : *history) {
        table.add(historyCells(set.revision, set.author, set.changedAt, set.changeId));
    }
    table.print(std::cout);
    return ExitCode::Done;
}

ExitCode configShowCommand(const Options &options)
{
    if (options.isSet("in-force")) {
        return showInForce(options);
    }
    if (!hasPlatform(options)) {
        return ExitCode::Usage;
    }
    ConfigStore store(platformSettings(options));
    std::string error;
    auto revision = Revision(static_cast<std::uint64_t>(options.whole("revision")));
    if (!options.isSet("revision")) {
        const auto head = store.readHead(error);
        if (!head) {
            std::cerr << ConfigPrefix << "platform: " << error << "\n";
            return ExitCode::Unreachable;
        }
        revision = head->head.revision;
    }
    const auto set = store.readSet(revision, error);
    if (!set) {
        std::cerr << ConfigPrefix << error << "\n";
        return ExitCode::NotFound;
    }
    std::cerr << "revision " << set->revision.value() << " by " << set->author << " at " << timeToText(set->changedAt) << "\n";
    std::cout << encodeConfigRecords(*set);
    return ExitCode::Done;
}

ExitCode configWatchCommand(const Options &options)
{
    if (!hasPlatform(options)) {
        return ExitCode::Usage;
    }
    ConfigStore store(platformSettings(options));
    auto left = options.whole("changes");
    store.watchHead([&left, &options](const ConfigHead &head) {
        if (options.isSet("json")) {
            std::cout
                << Json{{"revision", head.revision.value()}, {"author", head.author}, {"changed_at", timeToText(head.changedAt)}}.dump()
                << std::endl; // NOLINT(performance-avoid-endl): each line at once
        } else {
            std::cout << "revision " << head.revision.value() << " by " << head.author << " at " << timeToText(head.changedAt)
                      << std::endl; // NOLINT(performance-avoid-endl): each line at once
        }
        return left == 0 || --left > 0;
    });
    if (left > 0 || options.whole("changes") == 0) {
        std::cerr << ConfigPrefix << "platform: the watch ended\n";
        return ExitCode::Unreachable;
    }
    return ExitCode::Done;
}

} // namespace Sycamoremoor
