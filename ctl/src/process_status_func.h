// What every entry says of itself, and which did not answer.
#pragma once

#include "exit_code_type.h"

#include <sycamoremoor/core/account_type.h>

#include <string>
#include <vector>

namespace Sycamoremoor
{

class Options;

/** Statuses of all entries of the roster. */
struct EntryStatuses {
    std::vector<ProcessStatus> answered;
    std::vector<std::string> silent; ///< names of entries that did not answer
};

/** Asks every entry of the roster. */
EntryStatuses askStatuses(const Options &options);

/** Says on the error stream which entries did not answer. */
void tellSilent(const EntryStatuses &statuses);

ExitCode exitCodeOfStatuses(const EntryStatuses &statuses);

} // namespace Sycamoremoor
