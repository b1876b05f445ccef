// What the configuration commands share.
#include "config_print_func.h"

#include "options.h"
#include "text_table.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <iostream>

namespace Sycamoremoor
{

bool hasPlatform(const Options &options)
{
    if (!options.isSet("platform")) {
        std::cerr << ConfigPrefix << "--platform is not set; it names the platform's key-value service, IP:PORT\n";
        return false;
    }
    return true;
}

KeyValueSettings platformSettings(const Options &options)
{
    return {.endpoints = options.endpoints("platform"), .callTimeout = options.milliseconds("timeout-ms")};
}

std::optional<Revision> wholeOperand(const Options &options)
{
    const auto &text = options.operands().front();
    std::uint64_t value = 0;
    if (const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        error != std::errc() || *end != '\0' || value == 0) {
        std::cerr << ConfigPrefix << "'" << text << "' is no revision; a revision is a whole number from 1\n";
        return std::nullopt;
    }
    return Revision(value);
}

void printDifferences(const std::vector<ConfigDifference> &differences, bool asJson, std::ostream &stream)
{
    if (asJson) {
        nlohmann::ordered_json list = nlohmann::ordered_json::array();
        for (const auto &[record, field, before, after] : differences) {
            list.push_back({{"record", record}, {"field", field}, {"before", before}, {"after", after}});
        }
        stream << list.dump(2) << "\n";
        return;
    }
    TextTable table({"record", "field", "before", "after"});
    for (const auto &[record, field, before, after] : differences) {
        table.add({record, field, before, after});
    }
    if (!differences.empty()) {
        table.print(stream);
    }
}

} // namespace Sycamoremoor
