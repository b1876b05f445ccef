// Command status: of one submission, or of every process.
#include "clock_func.h"
#include "commands.h"
#include "entry_directory.h"
#include "options.h"
#include "process_status_func.h"
#include "text_table.h"

#include <sycamoremoor/wire/message_codec.h>

#include <nlohmann/json.hpp>

#include <iostream>

namespace Sycamoremoor
{

ExitCode submissionStatus(const Options &options);

ExitCode statusCommand(const Options &options)
{
    if (!options.operands().empty()) {
        return submissionStatus(options);
    }
    const auto statuses = askStatuses(options);
    if (options.isSet("json")) {
        nlohmann::json entries = nlohmann::json::array();
        for (const auto &status : statuses.answered) {
            entries.push_back(nlohmann::json::parse(encode(status)));
        }
        std::cout << nlohmann::json{{"entries", entries}, {"silent", statuses.silent}}.dump(2) << "\n";
        return exitCodeOfStatuses(statuses);
    }
    TextTable table({"process", "role", "ready", "draining", "epoch", "revision", "owned slots", "jobs", "queued", "running"});
    for (const auto &status : statuses.answered) {
        table.add({status.name,
                   status.role,
                   status.ready ? "yes" : "no",
                   status.draining ? "yes" : "no",
                   std::to_string(status.rosterEpoch.value()),
                   std::to_string(status.configRevision.value()),
                   std::to_string(status.ownedSlots.size()),
                   std::to_string(status.openJobs),
                   std::to_string(status.queuedTasks),
                   std::to_string(status.outstandingTasks)});
        for (const auto &worker : status.workers) {
            table.add({"  " + worker.agent.value(),
                       "agent",
                       worker.reachable && !worker.ejected ? "yes" : "no",
                       worker.leaving ? "yes" : "no",
                       "",
                       std::to_string(worker.configRevision.value()),
                       "",
                       "",
                       "",
                       std::to_string(worker.running) + "/" + std::to_string(worker.slots.value())});
        }
    }
    table.print(std::cout);
    tellSilent(statuses);
    return exitCodeOfStatuses(statuses);
}

} // namespace Sycamoremoor
