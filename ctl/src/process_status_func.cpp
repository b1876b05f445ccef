// What every entry says of itself.
#include "process_status_func.h"

#include "entry_directory.h"

#include <sycamoremoor/wire/http_status.h>
#include <sycamoremoor/wire/message_codec.h>

#include <iostream>

namespace Sycamoremoor
{

EntryStatuses askStatuses(const Options &options)
{
    EntryStatuses statuses;
    for (const auto &[entry, reply] : askEntries(options, "/v1/status")) {
        ProcessStatus status;
        if (reply.status == HttpStatus::Ok && !decode(reply.body, status)) {
            statuses.answered.push_back(std::move(status));
        } else {
            statuses.silent.push_back(entry.name);
        }
    }
    return statuses;
}

void tellSilent(const EntryStatuses &statuses)
{
    for (const auto &name : statuses.silent) {
        std::cerr << "sycamorectl: " << name << " did not answer\n";
    }
    if (statuses.answered.empty() && statuses.silent.empty()) {
        std::cerr << "sycamorectl: no entry is known; see --entries and --platform\n";
    }
}

ExitCode exitCodeOfStatuses(const EntryStatuses &statuses)
{
    if (statuses.answered.empty()) {
        return ExitCode::Unreachable;
    }
    return statuses.silent.empty() ? ExitCode::Done : ExitCode::Incomplete;
}

} // namespace Sycamoremoor
