// Command line of the stand-ins.
#include "option_func.h"

#include <getopt.h>

#include <charconv>
#include <cstdlib>
#include <iostream>

namespace Sycamoremoor
{

namespace
{

constexpr int UsageFault = 2;

void printHelp(const char *program, const std::vector<OptionRow> &rows)
{
    std::cout << "Usage: " << program << " [flags]\n";
    for (const auto &[name, defaultValue, help] : rows) {
        std::cout << "  --" << name << "=VALUE  " << help;
        if (defaultValue != nullptr && *defaultValue != '\0') {
            std::cout << " (default " << defaultValue << ")";
        }
        std::cout << "\n";
    }
}

[[noreturn]] void endWithFault(const std::string &fault)
{
    std::cerr << fault << "\n";
    std::exit(UsageFault); // NOLINT(concurrency-mt-unsafe): before any thread
}

} // namespace

std::map<std::string, std::string> readOptions(int argc, char **argv, const std::vector<OptionRow> &rows)
{
    std::map<std::string, std::string> values;
    std::vector<option> options;
    for (const auto &row : rows) {
        options.push_back({row.name, required_argument, nullptr, 0});
        if (row.defaultValue != nullptr) {
            values[row.name] = row.defaultValue;
        }
    }
    options.push_back({"help", no_argument, nullptr, 'h'});
    options.push_back({});
    int index = 0;
    for (int found = 0; (found = getopt_long(argc, argv, "h", options.data(), &index)) != -1;) {
        if (found == 'h') {
            printHelp(argv[0], rows);
            std::exit(EXIT_SUCCESS); // NOLINT(concurrency-mt-unsafe): before any thread
        }
        if (found != 0) {
            std::exit(UsageFault); // NOLINT(concurrency-mt-unsafe): getopt_long printed the fault
        }
        values[options[static_cast<std::size_t>(index)].name] = optarg;
    }
    for (const auto &row : rows) {
        if (!values.contains(row.name)) {
            endWithFault(std::string("--") + row.name + " must be given: " + row.help);
        }
    }
    return values;
}

Endpoint readListenAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    const auto *end = text.data() + text.size();
    if (colon == std::string::npos || std::from_chars(text.data() + colon + 1, end, port).ptr != end) {
        endWithFault("--listen: '" + text + "' is not of the form IP:PORT");
    }
    return {text.substr(0, colon), port};
}

} // namespace Sycamoremoor
