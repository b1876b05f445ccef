// Reads settings from flags and environment variables, and checks them.
#include "option_reader.h"

#include "listener_limits_func.h"
#include "table/option_table.h"

#include <getopt.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <map>
#include <sstream>

namespace Sycamoremoor
{

namespace
{

constexpr int FirstRowCode = 1'000;
constexpr std::size_t HelpColumn = 32;

/** Codes of the flags without a value. */
enum SwitchCode : int {
    HelpCode = 1,
    VersionCode,
    CheckCode,
};

std::string environmentName(std::string_view flag)
{
    std::string name = "SYCAMOREMOOR_";
    for (const char character : flag) {
        name += character == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
    }
    return name;
}

std::vector<option> longOptions()
{
    std::vector<option> options{
        {"help", no_argument, nullptr, HelpCode},
        {"version", no_argument, nullptr, VersionCode},
        {"check-settings", no_argument, nullptr, CheckCode},
    };
    for (std::size_t row = 0; row < OptionTable.size(); ++row) {
        options.push_back({OptionTable.at(row).flag, required_argument, nullptr, FirstRowCode + static_cast<int>(row)});
    }
    options.push_back({});
    return options;
}

/** A value and where it came from. */
struct GivenValue {
    std::string source; ///< --flag or the variable's name
    std::string text;
};

using GivenValues = std::map<std::size_t, GivenValue>; ///< by row

void readFlags(int argc, char **argv, GivenValues &given, DaemonSettings &settings, std::vector<std::string> &errors)
{
    const auto options = longOptions();
    optind = 0; // starts over, also for a second call
    opterr = 0;
    for (int code = 0; (code = getopt_long(argc, argv, "", options.data(), nullptr)) != -1;) {
        if (code >= FirstRowCode) {
            const auto row = static_cast<std::size_t>(code - FirstRowCode);
            given[row] = {"--" + std::string(OptionTable.at(row).flag), optarg};
        } else if (code == HelpCode) {
            settings.showHelp = true;
        } else if (code == VersionCode) {
            settings.showVersion = true;
        } else if (code == CheckCode) {
            settings.checkOnly = true;
        } else {
            errors.push_back(std::string(argv[optind - 1]) + " is no flag, or lacks its value; see --help.");
        }
    }
    for (int index = optind; index < argc; ++index) {
        errors.push_back(std::string(argv[index]) + " is not understood; settings are flags.");
    }
}

void readVariables(const ReadEnvironment &environment, GivenValues &given)
{
    for (std::size_t row = 0; row < OptionTable.size(); ++row) {
        const auto name = environmentName(OptionTable.at(row).flag);
        if (const auto value = environment(name); value && !given.contains(row)) {
            given[row] = {name, *value};
        }
    }
}

void apply(const GivenValues &given, DaemonSettings &settings, std::vector<std::string> &errors)
{
    for (const auto &[row, value] : given) {
        const auto &option = OptionTable.at(row);
        if (!option.read(value.text, settings)) {
            errors.push_back(value.source + ": \"" + value.text + "\" is not allowed; it must be " + option.allowed + ".");
        }
    }
}

void requireMissing(const GivenValues &given, const DaemonSettings &settings, std::vector<std::string> &errors)
{
    for (std::size_t row = 0; row < OptionTable.size(); ++row) {
        const auto &option = OptionTable.at(row);
        const bool applies = (option.roles & rolesOf(settings.role)) != 0;
        if (option.required && applies && !given.contains(row)) {
            errors.push_back("--" + std::string(option.flag) + " is missing; it must be " + option.allowed + ".");
        }
    }
}

void refuse(bool wrong, const char *text, std::vector<std::string> &errors)
{
    if (wrong) {
        errors.emplace_back(text);
    }
}

/** Checks settings that only make sense together. */
/** A single request must fit in the share of its listener, or it would be refused whenever another one arrives. */
void checkLimits(const DaemonSettings &settings, std::vector<std::string> &errors)
{
    const auto check = [&](std::size_t bytes, ListenerKind kind, const char *flag) {
        const auto most = heldBytesOf(settings.limits, kind);
        if (bytes > most) {
            errors.push_back(std::string(flag) + " must be at most " + std::to_string(most) + ", by --memory-limit-mb.");
        }
    };
    if (settings.role == DaemonRole::Scheduler) {
        check(settings.limits.headBytes, ListenerKind::Callers, "--max-head-bytes");
        check(settings.limits.bodyBytes, ListenerKind::Callers, "--max-body-bytes");
    }
    if (settings.role == DaemonRole::Guard) {
        check(settings.limits.announcementBytes, ListenerKind::Announcements, "--max-announcement-bytes");
    }
}

void checkTogether(const DaemonSettings &settings, std::vector<std::string> &errors)
{
    const auto &entry = settings.entry;
    refuse(entry.failureTimeout <= entry.peerHeartbeatInterval, "--failure-timeout-ms must be larger than --heartbeat-ms.", errors);
    if (settings.role == DaemonRole::Entry) {
        refuse(entry.servingLease <= entry.headReadInterval, "--serving-lease-ms must be larger than --head-read-ms.", errors);
    }
    if (settings.role == DaemonRole::Agent) {
        refuse(settings.entries.empty(),
               "--entries is missing; it must be IP:PORT with an IP number, or several with commas between.",
               errors);
        refuse(settings.agent.ledgerRetention <= settings.agent.startMaxAge,
               "--ledger-retention-ms must be larger than --start-max-age-ms.",
               errors);
    }
    checkLimits(settings, errors);
}

} // namespace

std::vector<std::string> readSettings(int argc, char **argv, const ReadEnvironment &environment, DaemonSettings &settings)
{
    std::vector<std::string> errors;
    GivenValues given;
    readFlags(argc, argv, given, settings, errors);
    if (settings.showHelp || settings.showVersion) {
        return {};
    }
    readVariables(environment, given);
    apply(given, settings, errors);
    requireMissing(given, settings, errors);
    checkTogether(settings, errors);
    return errors;
}

namespace
{

/** Returns the names of some roles for the help, or nothing for all. */
std::string roleNames(DaemonRoles roles)
{
    if (roles == AllRoles) {
        return "";
    }
    std::string names;
    for (const auto role : {DaemonRole::Entry, DaemonRole::Agent, DaemonRole::Scheduler, DaemonRole::Guard}) {
        if ((roles & rolesOf(role)) != 0) {
            names += (names.empty() ? "" : ", ") + std::string(roleName(role));
        }
    }
    return names + ": ";
}

} // namespace

std::string helpText()
{
    std::ostringstream out;
    out << "Usage: sycamoremoord --role=entry|agent|scheduler|guard [--FLAG=VALUE ..]\n\n"
        << "Each flag has an environment variable: SYCAMOREMOOR_ and the flag in capitals, with underscores.\n"
        << "SIGTERM or SIGINT begins a planned stop.\n\n";
    for (const auto &option : OptionTable) {
        const std::string flag = "  --" + std::string(option.flag) + "=" + option.value;
        out << flag << std::string(flag.size() < HelpColumn ? HelpColumn - flag.size() : 1, ' ') << roleNames(option.roles) << option.help
            << '\n';
    }
    out << "  --check-settings              check the settings, start nothing\n"
        << "  --help                        this text\n"
        << "  --version                     the version\n\n"
        << "Exit codes: 0 stopped as planned, 1 fault of the program, 2 wrong setting, 3 address cannot be bound,\n"
        << "4 stopped as planned but submissions were cut off.\n";
    return out.str();
}

} // namespace Sycamoremoor
