// Flags, environment variables and operands of one command.
#include "options.h"

#include <sycamoremoor/wire/text_codec.h>

#include <getopt.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <optional>

namespace Sycamoremoor
{

namespace
{

template<typename Number>
std::optional<Number> numberOf(const std::string &text)
{
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

std::vector<std::string> splitAtCommas(const std::string &text)
{
    std::vector<std::string> parts;
    for (std::size_t begin = 0; begin < text.size();) {
        const auto end = std::min(text.find(',', begin), text.size());
        parts.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return parts;
}

template<typename Number>
bool isWithin(const std::string &value, const OptionRow &row)
{
    const auto number = numberOf<Number>(value);
    return number && *number >= static_cast<Number>(row.least) && *number <= static_cast<Number>(row.most);
}

/** Returns what is wrong with a value, or nothing. */
std::string faultOf(const OptionRow &row, const std::string &value)
{
    const auto subject = "--" + std::string(row.name) + ": '" + value + "' is not ";
    const auto range = " from " + std::to_string(row.least) + " to " + std::to_string(row.most);
    if (row.kind == OptionKind::Whole && !isWithin<std::int64_t>(value, row)) {
        return subject + "a whole number" + range;
    }
    if (row.kind == OptionKind::Real && !isWithin<double>(value, row)) {
        return subject + "a number" + range;
    }
    if (row.kind == OptionKind::Endpoints) {
        for (const auto &part : splitAtCommas(value)) {
            if (!endpointFromString(part)) {
                return subject + "a list of IP:PORT";
            }
        }
    }
    return {};
}

std::vector<OptionRow> allOptions(const CommandRow &command)
{
    auto rows = commonOptions();
    rows.insert(rows.end(), command.options.begin(), command.options.end());
    return rows;
}

std::vector<option> getoptRows(const std::vector<OptionRow> &rows)
{
    std::vector<option> options;
    options.reserve(rows.size() + 2);
    for (const auto &row : rows) {
        options.push_back({row.name.data(), row.kind == OptionKind::Switch ? no_argument : required_argument, nullptr, 0});
    }
    options.push_back({"help", no_argument, nullptr, 'h'});
    options.push_back({});
    return options;
}

} // namespace

const std::vector<OptionRow> &commonOptions()
{
    static const std::vector<OptionRow> rows{
        {"entries", OptionKind::Endpoints, "", "entries to ask, tried in turn"},
        {"platform", OptionKind::Endpoints, "", "endpoints of the platform's key-value service"},
        {"timeout-ms", OptionKind::Whole, "5000", "bound of one call other than a submission", 1, 600'000},
        {"json", OptionKind::Switch, "", "print JSON instead of a table"},
    };
    return rows;
}

std::string environmentName(std::string_view flag)
{
    std::string name = "SYCAMOREMOOR_";
    for (const auto character : flag) {
        name += character == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
    }
    return name;
}

Options Options::read(const CommandRow &command, const std::vector<std::string> &arguments, std::string &fault)
{
    Options options;
    const auto rows = allOptions(command);
    for (const auto &row : rows) {
        const auto *environment = std::getenv(environmentName(row.name).c_str()); // NOLINT(concurrency-mt-unsafe): before any thread
        options.m_values[std::string(row.name)] = environment != nullptr ? environment : std::string(row.defaultValue);
    }
    std::vector<std::string> words{std::string(command.name)};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char *> pointers;
    pointers.reserve(words.size() + 1);
    for (auto &word : words) {
        pointers.push_back(word.data());
    }
    pointers.push_back(nullptr);
    const auto getoptOptions = getoptRows(rows);
    optind = 0; // starts afresh
    opterr = 0;
    int index = 0;
    for (int found = 0; (found = getopt_long(static_cast<int>(words.size()), pointers.data(), ":h", getoptOptions.data(), &index)) != -1;) {
        if (found == 'h') {
            options.m_wantsHelp = true;
            return options;
        }
        if (found != 0) {
            fault = words[static_cast<std::size_t>(optind) - 1] + (found == ':' ? " needs a value" : " is not a flag of this command");
            return options;
        }
        const auto &row = rows[static_cast<std::size_t>(index)];
        options.m_values[std::string(row.name)] = row.kind == OptionKind::Switch ? "1" : optarg;
    }
    for (auto at = static_cast<std::size_t>(optind); at < words.size(); ++at) {
        options.m_operands.emplace_back(pointers[at]);
    }
    for (const auto &row : rows) {
        if (const auto &value = options.m_values.find(row.name)->second; !value.empty() && fault.empty()) {
            fault = faultOf(row, value);
        }
    }
    if (const auto count = options.m_operands.size(); fault.empty() && (count < command.leastOperands || count > command.mostOperands)) {
        fault = "operands expected: " + (command.operands.empty() ? std::string("none") : std::string(command.operands));
    }
    return options;
}

bool Options::isSet(std::string_view name) const
{
    return !text(name).empty();
}

const std::string &Options::text(std::string_view name) const
{
    return m_values.find(name)->second;
}

std::int64_t Options::whole(std::string_view name) const
{
    return numberOf<std::int64_t>(text(name)).value_or(0);
}

double Options::real(std::string_view name) const
{
    return numberOf<double>(text(name)).value_or(0);
}

Duration Options::milliseconds(std::string_view name) const
{
    return std::chrono::milliseconds(whole(name));
}

std::vector<Endpoint> Options::endpoints(std::string_view name) const
{
    std::vector<Endpoint> endpoints;
    for (const auto &part : splitAtCommas(text(name))) {
        if (const auto endpoint = endpointFromString(part)) {
            endpoints.push_back(*endpoint);
        }
    }
    return endpoints;
}

const std::vector<std::string> &Options::operands() const
{
    return m_operands;
}

bool Options::wantsHelp() const
{
    return m_wantsHelp;
}

} // namespace Sycamoremoor
