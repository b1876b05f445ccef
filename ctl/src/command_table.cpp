// The table of commands, their help, and which one a command line names.
#include "commands.h"
#include "options.h"

#include <iostream>

namespace Sycamoremoor
{

namespace
{

constexpr const char *ExitCodeHelp
    = "Exit codes: 0 done, 1 fault of this program, 2 wrong usage, 3 nobody answered, 4 refused and nothing ran,\n"
      "5 the job failed, 6 conflict, 7 not found, 8 a promise was broken, 9 some process did not answer,\n"
      "10 it may have taken effect.\n";

const OptionRow attemptsOption{"attempts", OptionKind::Whole, "6", "how often to ask, at the entries in turn", 1, 100};
const OptionRow waitOption{"wait-ms", OptionKind::Whole, "310000", "how long to wait for a submission's answer", 1, 3'600'000};
const OptionRow keyOption{"key", OptionKind::Text, "", "the submission's key, a UUID of version 7; made if not given"};
const OptionRow authorOption{"author", OptionKind::Text, "", "who makes the change; else the variable USER"};
const OptionRow expectOption{"expect", OptionKind::Whole, "", "apply only if this revision is the newest", 0, INT64_MAX};
const OptionRow dryRunOption{"dry-run", OptionKind::Switch, "", "only tell what would change"};

bool startsWith(const std::vector<std::string> &words, std::string_view name, std::size_t &length)
{
    std::string joined;
    for (length = 0; length < words.size() && joined.size() < name.size(); ++length) {
        joined += (joined.empty() ? "" : " ") + words[length];
    }
    return joined == name;
}

void printOptions(const std::vector<OptionRow> &rows)
{
    for (const auto &row : rows) {
        const auto flag = std::string(row.name) + (row.kind == OptionKind::Switch ? "" : "=VALUE");
        std::cout << "  --" << flag << std::string(flag.size() < 22 ? 22 - flag.size() : 1, ' ') << row.help;
        if (!row.defaultValue.empty()) {
            std::cout << " (default " << row.defaultValue << ")";
        }
        std::cout << ", or " << environmentName(row.name) << "\n";
    }
}

void printHelp(const CommandRow &command)
{
    std::cout << "Usage: sycamorectl " << command.name << " [flags]" << (command.operands.empty() ? "" : " ") << command.operands << "\n"
              << command.help << "\n\n";
    printOptions(command.options);
    printOptions(commonOptions());
    std::cout << "\n" << ExitCodeHelp;
}

void printOverview(std::ostream &stream)
{
    stream << "Usage: sycamorectl COMMAND [flags] [operands]\n\n";
    for (const auto &command : commandTable()) {
        stream << "  " << command.name << std::string(18 - command.name.size(), ' ') << command.help << "\n";
    }
    stream << "\nsycamorectl COMMAND --help tells the flags, sycamorectl --version the version.\n" << ExitCodeHelp;
}

ExitCode run(const CommandRow &command, const std::vector<std::string> &arguments)
{
    std::string fault;
    const auto options = Options::read(command, arguments, fault);
    if (options.wantsHelp()) {
        printHelp(command);
        return ExitCode::Done;
    }
    if (!fault.empty()) {
        std::cerr << "sycamorectl " << command.name << ": " << fault << "\n";
        return ExitCode::Usage;
    }
    return command.run(options);
}

} // namespace

const std::vector<CommandRow> &commandTable()
{
    static const std::vector<CommandRow> rows{
        {"submit",
         "FILE",
         1,
         1,
         "submit a job, - for the standard input, and wait for its whole answer",
         {keyOption, attemptsOption, waitOption},
         submitCommand},
        {"request",
         "FILE",
         1,
         1,
         "submit a single request and wait for its answer",
         {keyOption, attemptsOption, waitOption},
         requestCommand},
        {"cancel", "KEY", 1, 1, "cancel a submission", {attemptsOption}, cancelCommand},
        {"status", "[KEY]", 0, 1, "tell how a submission stands, or every process", {attemptsOption}, statusCommand},
        {"account",
         "",
         0,
         0,
         "tell what ran, when, how often and with what answer, over all entries",
         {{"key", OptionKind::Text, "", "only this submission"},
          {"team", OptionKind::Text, "", "only this team's"},
          {"since-ms", OptionKind::Whole, "", "only those received from this time, Unix milliseconds", 0, INT64_MAX},
          {"until-ms", OptionKind::Whole, "", "only those received before this time, Unix milliseconds", 0, INT64_MAX},
          {"ran", OptionKind::Text, "", "only this outcome: not_run, ran or unknown"},
          {"limit", OptionKind::Whole, "", "at most so many of each entry, newest first", 1, 10'000}},
         accountCommand},
        {"config check", "FILE...", 1, 10'000, "check record files, or folders of them, as one set", {}, configCheckCommand},
        {"config diff", "FILE...", 1, 10'000, "tell what applying the files would change", {}, configDiffCommand},
        {"config apply",
         "FILE...",
         1,
         10'000,
         "make the files' records the newest revision",
         {authorOption, expectOption, dryRunOption},
         configApplyCommand},
        {"config rollback",
         "REVISION",
         1,
         1,
         "make an earlier revision's set the newest one",
         {authorOption, expectOption, dryRunOption},
         configRollbackCommand},
        {"config history", "", 0, 0, "list the revisions", {}, configHistoryCommand},
        {"config show",
         "",
         0,
         0,
         "print the records of a revision, or what is in force where",
         {{"revision", OptionKind::Whole, "", "this revision; else the newest", 1, INT64_MAX},
          {"in-force", OptionKind::Switch, "", "tell per process which revision is in force, and since when"}},
         configShowCommand},
        {"config watch",
         "",
         0,
         0,
         "tell each change as it is accepted",
         {{"changes", OptionKind::Whole, "0", "end after so many; 0: never", 0, 1'000'000}},
         configWatchCommand},
        {"load",
         "",
         0,
         0,
         "drive the entries with a seeded load and report response, messages, answers and promises",
         {{"service", OptionKind::Text, "reclaim-desk", "service of the jobs"},
          {"team", OptionKind::Text, "intake", "team of the jobs"},
          {"load", OptionKind::Real, "0.7", "offered work as a share of what the slots can do", 0, 100},
          {"slots", OptionKind::Whole, "88", "slots of all runners of the service", 1, 1'000'000},
          {"length-ms", OptionKind::Whole, "10000", "how long jobs are sent", 1, 86'400'000},
          {"seed", OptionKind::Whole, "1", "the same seed sends the same jobs", 0, INT64_MAX},
          {"burst", OptionKind::Real, "2", "arrivals in bursts against those outside", 1, 100},
          {"resubmit-percent", OptionKind::Real, "0", "jobs that are sent twice with one key", 0, 100},
          {"cancel-percent", OptionKind::Real, "0", "jobs that are cancelled while they run", 0, 100},
          {"impossible-percent", OptionKind::Real, "0", "jobs that no worker can hold", 0, 100},
          {"deadline-ms", OptionKind::Whole, "30000", "deadline of each job", 1, 3'600'000},
          {"caller-hop-us", OptionKind::Whole, "0", "one way between caller and entry, part of the ideal", 0, 1'000'000},
          {"agents", OptionKind::Endpoints, "", "agents whose messages are counted too"},
          {"start-logs", OptionKind::Text, "", "folder of the runners' logs, to check the promises against"},
          {"report", OptionKind::Text, "", "file for the report as JSON"}},
         loadCommand},
        {"losses",
         "LOG...",
         1,
         10'000,
         "tell how the jobs of schedulers ended, by cause, from their logs; - for the standard input",
         {},
         lossesCommand},
    };
    return rows;
}

ExitCode runCommand(const std::vector<std::string> &words)
{
    if (words.empty() || words.front() == "--help" || words.front() == "-h" || words.front() == "help") {
        printOverview(words.empty() ? std::cerr : std::cout);
        return words.empty() ? ExitCode::Usage : ExitCode::Done;
    }
    if (words.front() == "--version") {
        std::cout << "sycamorectl " << SYCAMOREMOOR_VERSION << "\n";
        return ExitCode::Done;
    }
    for (const auto &command : commandTable()) {
        if (std::size_t length = 0; startsWith(words, command.name, length)) {
            return run(command, {words.begin() + static_cast<std::ptrdiff_t>(length), words.end()});
        }
    }
    std::cerr << "sycamorectl: there is no command '" << words.front() << "'; see sycamorectl --help\n";
    return ExitCode::Usage;
}

} // namespace Sycamoremoor
