// JSON of configuration records, by the field tables of each schema.
#include <sycamoremoor/wire/config_codec.h>

#include "config_schema_v1.h"

#include <sycamoremoor/core/table/config_table.h>
#include <sycamoremoor/wire/json_parse_func.h>

#include <nlohmann/json.hpp>

#include <array>
#include <set>
#include <utility>

namespace Sycamoremoor
{

using Json = nlohmann::ordered_json;
using Error = std::optional<DecodeError>;

namespace
{

constexpr std::size_t RevisionDigits = 20;
constexpr std::string_view ConfigKeyPrefix = "sycamoremoor/v1/config/";

/** Fields that every record may have besides those of its table. */
const std::set<std::string, std::less<>> commonFields{"schema", "kind", "name"};

Error malformed(std::string detail)
{
    return DecodeError{ErrorKind::MalformedBody, std::move(detail)};
}

Error invalid(const std::string &title, std::string_view field, const std::string &text)
{
    return DecodeError{ErrorKind::InvalidValue, title + ": " + std::string(field) + " " + text};
}

template<typename Record, typename Table>
Error readField(const std::string &title, const std::string &field, const Json &value, const Table &table, Record &record)
{
    for (const auto &row : table) {
        if (row.name != field) {
            continue;
        }
        const auto range
            = "must be a whole number from " + std::to_string(row.least) + " to " + std::to_string(row.most) + " " + std::string(row.unit);
        const auto tooLarge = value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(row.most);
        if (!value.is_number_integer() || tooLarge || value.get<std::int64_t>() < row.least || value.get<std::int64_t>() > row.most) {
            return invalid(title, field, range + ", not " + value.dump());
        }
        row.write(record, value.get<std::int64_t>());
        return std::nullopt;
    }
    return DecodeError{ErrorKind::UnknownField, title + ": unknown field " + field};
}

template<typename Record, typename Table>
Error readFields(const std::string &title, const Json &json, const Table &table, Record &record)
{
    for (const auto &[field, value] : json.items()) {
        if (commonFields.contains(field)) {
            continue;
        }
        if (auto error = readField(title, field, value, table, record)) {
            return error;
        }
    }
    return std::nullopt;
}

/** Reads a record of either schema into its newest form. */
template<typename Newest, typename Older, typename NewestTable, typename OlderTable>
Error readRecord(const std::string &title, const Json &json, const NewestTable &newestTable, const OlderTable &olderTable, Newest &record)
{
    if (json.at("schema").get<std::int64_t>() == NewestConfigSchema) {
        return readFields(title, json, newestTable, record);
    }
    Older older;
    auto error = readFields(title, json, olderTable, older);
    record = upgrade(older);
    return error;
}

template<typename Records>
Error addRecord(const std::string &title, const typename Records::key_type &name, typename Records::mapped_type record, Records &records)
{
    record.name = name;
    if (const auto [at, added] = records.emplace(name, std::move(record)); !added) {
        return invalid(title, "name", "is there twice");
    }
    return std::nullopt;
}

Error readService(const std::string &title, const Json &json, ConfigSet &config)
{
    ServiceRecord record;
    if (auto error = readRecord<ServiceRecord, ServiceRecordV1>(title, json, ServiceFieldTable, ServiceFieldTableV1, record)) {
        return error;
    }
    return addRecord(title, ServiceName(json.at("name").get<std::string>()), std::move(record), config.services);
}

Error readTeam(const std::string &title, const Json &json, ConfigSet &config)
{
    TeamRecord record;
    if (auto error = readRecord<TeamRecord, TeamRecordV1>(title, json, TeamFieldTable, TeamFieldTableV1, record)) {
        return error;
    }
    return addRecord(title, TeamName(json.at("name").get<std::string>()), std::move(record), config.teams);
}

Error readPolicy(const std::string &title, const Json &json, ConfigSet &config)
{
    if (json.contains("name")) {
        return DecodeError{ErrorKind::UnknownField, title + ": unknown field name"};
    }
    return readRecord<PolicyRecord, PolicyRecordV1>(title, json, PolicyFieldTable, PolicyFieldTableV1, config.policy);
}

/** How records of a kind are read. */
struct KindRow {
    std::string_view kind;
    bool isNamed;
    Error (*read)(const std::string &title, const Json &json, ConfigSet &config);
};

constexpr std::array KindTable{
    KindRow{"service", true, readService},
    KindRow{"team", true, readTeam},
    KindRow{"policy", false, readPolicy},
};

Error checkSchema(const Json &json)
{
    const auto schema = json.find("schema");
    if (schema == json.end() || !schema->is_number_integer()) {
        return malformed("a record needs \"schema\", a whole number");
    }
    if (const auto version = schema->get<std::int64_t>(); version < 1 || version > NewestConfigSchema) {
        return invalid(
            "record", "schema", std::to_string(version) + " is not known here; 1 to " + std::to_string(NewestConfigSchema) + " are");
    }
    return std::nullopt;
}

Error readOneRecord(const Json &json, ConfigSet &config)
{
    if (!json.is_object()) {
        return malformed("a record must be an object");
    }
    if (auto error = checkSchema(json)) {
        return error;
    }
    const auto kind = json.contains("kind") && json.at("kind").is_string() ? json.at("kind").get<std::string>() : std::string();
    for (const auto &row : KindTable) {
        if (row.kind != kind) {
            continue;
        }
        if (!row.isNamed) {
            return row.read(kind, json, config);
        }
        if (!json.contains("name") || !json.at("name").is_string()) {
            return malformed("a " + kind + " needs \"name\", a string");
        }
        return row.read(kind + " " + json.at("name").get<std::string>(), json, config);
    }
    return malformed(R"(a record needs "kind": service, team or policy)");
}

Error readRecords(const Json &json, ConfigSet &config)
{
    if (!json.is_array()) {
        return readOneRecord(json, config);
    }
    bool hasPolicy = false;
    for (const auto &record : json) {
        if (auto error = readOneRecord(record, config)) {
            return error;
        }
        if (const auto isPolicy = record.at("kind") == "policy"; isPolicy && std::exchange(hasPolicy, true)) {
            return invalid("policy", "kind", "is there twice");
        }
    }
    return std::nullopt;
}

template<typename Record, typename Table>
Json writeRecord(std::string_view kind, const std::string &name, const Record &record, const Table &table)
{
    Json json{{"schema", NewestConfigSchema}, {"kind", kind}};
    if (!name.empty()) {
        json["name"] = name;
    }
    for (const auto &row : table) {
        json[std::string(row.name)] = row.read(record);
    }
    return json;
}

Json writeRecords(const ConfigSet &config)
{
    Json records = Json::array();
    for (const auto &[name, service] : config.services) {
        records.push_back(writeRecord("service", name.value(), service, ServiceFieldTable));
    }
    for (const auto &[name, team] : config.teams) {
        records.push_back(writeRecord("team", name.value(), team, TeamFieldTable));
    }
    records.push_back(writeRecord("policy", "", config.policy, PolicyFieldTable));
    return records;
}

std::string dumped(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json writeHead(Revision revision, const ChangeId &changeId, const std::string &author, WallTime changedAt)
{
    return {{"revision", revision.value()},
            {"change_id", changeId.value()},
            {"author", author},
            {"changed_at_us", changedAt.time_since_epoch().count()}};
}

/** Reads the fields of writeHead(). @throws nlohmann::json::exception if one is missing or of another type */
template<typename Head>
void readHead(const Json &json, Head &head)
{
    head.revision = Revision(json.at("revision").get<std::uint64_t>());
    head.changeId = ChangeId(json.at("change_id").get<std::string>());
    head.author = json.at("author").get<std::string>();
    head.changedAt = WallTime(Duration(json.at("changed_at_us").get<std::int64_t>()));
}

/** Parses @p text and hands it to @p read; turns exceptions of the JSON library into an error. */
template<typename Read>
Error decodeWith(std::string_view text, Read read)
{
    try {
        return isBoundedJson(text) ? read(Json::parse(text)) : malformed("the text is too long or nests too deep");
    } catch (const Json::exception &exception) {
        return malformed(exception.what());
    }
}

} // namespace

std::string configKey(Revision revision)
{
    const auto digits = std::to_string(revision.value());
    return std::string(ConfigKeyPrefix) + std::string(RevisionDigits - digits.size(), '0') + digits;
}

Error decodeConfigRecords(std::string_view text, ConfigSet &config)
{
    return decodeWith(text, [&config](const Json &json) { return readRecords(json, config); });
}

std::string encodeConfigRecords(const ConfigSet &config)
{
    std::string text = "[";
    for (const auto &record : writeRecords(config)) {
        text += (text.size() == 1 ? "\n  " : ",\n  ") + dumped(record);
    }
    return text + "\n]\n";
}

std::string encodeConfigSet(const ConfigSet &config)
{
    auto json = writeHead(config.revision, config.changeId, config.author, config.changedAt);
    json["records"] = writeRecords(config);
    return dumped(json);
}

Error decodeConfigSet(std::string_view text, ConfigSet &config)
{
    return decodeWith(text, [&config](const Json &json) {
        config = {};
        readHead(json, config);
        return readRecords(json.at("records"), config);
    });
}

std::string encodeConfigHead(const ConfigHead &head)
{
    return dumped(writeHead(head.revision, head.changeId, head.author, head.changedAt));
}

Error decodeConfigHead(std::string_view text, ConfigHead &head)
{
    return decodeWith(text, [&head](const Json &json) {
        readHead(json, head);
        return Error();
    });
}

} // namespace Sycamoremoor
