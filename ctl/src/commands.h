// The commands of sycamorectl.
#pragma once

#include "exit_code_type.h"

#include <string>
#include <vector>

namespace Sycamoremoor
{

class Options;
struct CommandRow;

ExitCode submitCommand(const Options &options);
ExitCode requestCommand(const Options &options);
ExitCode cancelCommand(const Options &options);
ExitCode statusCommand(const Options &options);
ExitCode accountCommand(const Options &options);
ExitCode configCheckCommand(const Options &options);
ExitCode configDiffCommand(const Options &options);
ExitCode configApplyCommand(const Options &options);
ExitCode configRollbackCommand(const Options &options);
ExitCode configHistoryCommand(const Options &options);
ExitCode configShowCommand(const Options &options);
ExitCode configWatchCommand(const Options &options);
ExitCode loadCommand(const Options &options);
ExitCode lossesCommand(const Options &options);

/** Returns the table of all commands. */
const std::vector<CommandRow> &commandTable();

/** Runs the command that the words name. @param words the command line without the program's name */
ExitCode runCommand(const std::vector<std::string> &words);

} // namespace Sycamoremoor
