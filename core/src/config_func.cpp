// Validation and comparison of whole configuration sets.
#include <sycamoremoor/core/config_func.h>
#include <sycamoremoor/core/table/config_table.h>

#include <algorithm>
#include <cctype>

namespace Sycamoremoor
{

namespace
{

constexpr std::size_t MaxNameLength = 64;

/** Returns whether @p name is valid. Names are parts of URLs, keys and metrics, so only letters, digits, '-', '_' and '.' are allowed. */
bool isValidName(const std::string &name)
{
    const auto isAllowed = [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '-' || character == '_' || character == '.';
    };
    return !name.empty() && name.size() <= MaxNameLength && std::all_of(name.begin(), name.end(), isAllowed);
}

template<typename Record, typename Table>
void checkFields(const std::string &name, const Record &record, const Table &table, std::vector<ConfigFault> &faults)
{
    for (const auto &row : table) {
        if (const auto value = row.read(record); value < row.least || value > row.most) {
            faults.push_back({name,
                              std::string(row.name),
                              std::to_string(value) + " is not from " + std::to_string(row.least) + " to " + std::to_string(row.most) + " "
                                  + std::string(row.unit)});
        }
    }
}

template<typename Records, typename Table>
void checkRecords(const std::string &kind, const Records &records, const Table &table, std::vector<ConfigFault> &faults)
{
    for (const auto &[name, record] : records) {
        const auto title = kind + " " + name.value();
        if (!isValidName(name.value())) {
            faults.push_back({title, "name", "must have 1 to 64 letters, digits, '-', '_' or '.'"});
        }
        if (name != record.name) {
            faults.push_back({title, "name", "differs from the name that the record is stored under"});
        }
        checkFields(title, record, table, faults);
    }
}

template<typename Record, typename Table>
void diffFields(
    const std::string &title, const Record &before, const Record &after, const Table &table, std::vector<ConfigDifference> &differences)
{
    for (const auto &row : table) {
        if (const auto from = row.read(before), to = row.read(after); from != to) {
            differences.push_back({title, std::string(row.name), std::to_string(from), std::to_string(to)});
        }
    }
}

template<typename Records, typename Table>
void diffRecords(
    const std::string &kind, const Records &before, const Records &after, const Table &table, std::vector<ConfigDifference> &differences)
{
    for (const auto &[name, record] : before) {
        const auto title = kind + " " + name.value();
        if (const auto found = after.find(name); found != after.end()) {
            diffFields(title, record, found->second, table, differences);
        } else {
            differences.push_back({title, "", "present", ""});
        }
    }
    for (const auto &[name, record] : after) {
        if (!before.contains(name)) {
            const auto title = kind + " " + name.value();
            differences.push_back({title, "", "", "present"});
            diffFields(title, typename Records::mapped_type{}, record, table, differences);
        }
    }
}

} // namespace

std::vector<ConfigFault> validateConfig(const ConfigSet &config)
{
    std::vector<ConfigFault> faults;
    checkRecords("service", config.services, ServiceFieldTable, faults);
    checkRecords("team", config.teams, TeamFieldTable, faults);
    checkFields("policy", config.policy, PolicyFieldTable, faults);
    for (const auto &[name, service] : config.services) {
        if (service.defaultDeadline > service.maxDeadline) {
            faults.push_back({"service " + name.value(), "default_deadline_ms", "is above max_deadline_ms"});
        }
    }
    if (config.services.empty()) {
        faults.push_back({"set", "service", "there must be at least one"});
    }
    if (config.teams.empty()) {
        faults.push_back({"set", "team", "there must be at least one"});
    }
    return faults;
}

std::vector<ConfigDifference> diffConfig(const ConfigSet &before, const ConfigSet &after)
{
    std::vector<ConfigDifference> differences;
    diffRecords("service", before.services, after.services, ServiceFieldTable, differences);
    diffRecords("team", before.teams, after.teams, TeamFieldTable, differences);
    diffFields("policy", before.policy, after.policy, PolicyFieldTable, differences);
    return differences;
}

} // namespace Sycamoremoor
