// JSON bodies of the etcd v3 gateway: base64 keys and values, 64-bit numbers as strings.
#include "gateway_codec.h"

#include <sycamoremoor/wire/base64_func.h>
#include <sycamoremoor/wire/json_parse_func.h>

#include <nlohmann/json.hpp>

#include <charconv>
#include <stdexcept>
#include <utility>

namespace Sycamoremoor
{

using Json = nlohmann::json;

namespace
{

constexpr std::size_t MaxErrorText = 200;

/** Reads a 64-bit number, which the gateway writes as a string and leaves out when zero. */
std::int64_t numberAt(const Json &object, const char *name)
{
    const auto field = object.find(name);
    if (field == object.end()) {
        return 0;
    }
    if (field->is_number_unsigned() && !std::in_range<std::int64_t>(field->get<std::uint64_t>())) {
        throw std::invalid_argument(name);
    }
    if (field->is_number_integer()) {
        return field->get<std::int64_t>();
    }
    const auto &text = field->get_ref<const std::string &>();
    std::int64_t value = 0;
    if (const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        error != std::errc() || end != text.data() + text.size()) {
        throw std::invalid_argument(name);
    }
    return value;
}

std::string bytesAt(const Json &object, const char *name)
{
    const auto field = object.find(name);
    if (field == object.end()) {
        return {};
    }
    auto bytes = fromBase64(field->get_ref<const std::string &>());
    if (!bytes) {
        throw std::invalid_argument(name);
    }
    return *std::move(bytes);
}

KeyValue keyValue(const Json &object)
{
    return {
        .key = bytesAt(object, "key"),
        .value = bytesAt(object, "value"),
        .createRevision = numberAt(object, "create_revision"),
        .modRevision = numberAt(object, "mod_revision"),
        .lease = numberAt(object, "lease"),
    };
}

void readKeyValues(const Json &response, std::vector<KeyValue> &values)
{
    if (const auto list = response.find("kvs"); list != response.end()) {
        for (const auto &item : *list) {
            values.push_back(keyValue(item));
        }
    }
}

StoreRevision headerRevision(const Json &response)
{
    return numberAt(response.at("header"), "revision");
}

/** Runs a reader that throws when the body has another shape. */
template<typename Reader>
bool decode(std::string_view body, Reader reader)
{
    try {
        const auto json = parseJson(body);
        if (json.is_discarded()) {
            return false;
        }
        reader(json);
        return true;
    } catch (const std::exception &) {
        return false;
    }
}

Json putJson(const PutCall &call)
{
    Json json{{"key", toBase64(call.key)}, {"value", toBase64(call.value)}};
    if (call.lease != 0) {
        json["lease"] = std::to_string(call.lease);
    }
    return json;
}

} // namespace

std::string encodeRange(const RangeCall &call)
{
    Json json{{"key", toBase64(call.key)}};
    if (!call.rangeEnd.empty()) {
        json["range_end"] = toBase64(call.rangeEnd);
    }
    if (call.limit != 0) {
        json["limit"] = std::to_string(call.limit);
    }
    if (call.keysOnly) {
        json["keys_only"] = true;
    }
    return json.dump();
}

std::string encodePut(const PutCall &call)
{
    return putJson(call).dump();
}

std::string encodeTransaction(const TransactionCall &call)
{
    Json compare = Json::array();
    Json success = Json::array();
    Json failure = Json::array();
    for (const auto &[key, modRevision] : call.comparisons) {
        const auto encoded = toBase64(key);
        compare.push_back({{"key", encoded}, {"target", "MOD"}, {"result", "EQUAL"}, {"mod_revision", std::to_string(modRevision)}});
        failure.push_back({{"request_range", {{"key", encoded}}}});
    }
    for (const auto &put : call.puts) {
        success.push_back({{"request_put", putJson(put)}});
    }
    for (const auto &[key] : call.deletes) {
        success.push_back({{"request_delete_range", {{"key", toBase64(key)}}}});
    }
    return Json{{"compare", compare}, {"success", success}, {"failure", failure}}.dump();
}

std::string encodeLeaseGrant(std::chrono::seconds timeToLive)
{
    return Json{{"TTL", std::to_string(timeToLive.count())}}.dump();
}

std::string encodeLeaseKeepAlive(LeaseId lease)
{
    return Json{{"ID", std::to_string(lease)}}.dump();
}

std::string encodeWatch(const WatchCall &call)
{
    Json create{{"key", toBase64(call.key)}, {"progress_notify", true}};
    if (!call.rangeEnd.empty()) {
        create["range_end"] = toBase64(call.rangeEnd);
    }
    if (call.startRevision != 0) {
        create["start_revision"] = std::to_string(call.startRevision);
    }
    return Json{{"create_request", create}}.dump();
}

bool decodeRange(std::string_view body, RangeResult &result)
{
    return decode(body, [&result](const Json &json) {
        result.revision = headerRevision(json);
        readKeyValues(json, result.values);
    });
}

bool decodePut(std::string_view body, WriteResult &result)
{
    return decode(body, [&result](const Json &json) { result.revision = headerRevision(json); });
}

bool decodeTransaction(std::string_view body, WriteResult &result)
{
    return decode(body, [&result](const Json &json) {
        result.revision = headerRevision(json);
        const auto succeeded = json.value("succeeded", false);
        result.outcome = succeeded ? CallOutcome::Done : CallOutcome::Conflict;
        if (const auto list = json.find("responses"); !succeeded && list != json.end()) {
            for (const auto &response : *list) {
                readKeyValues(response.at("response_range"), result.current);
            }
        }
    });
}

bool decodeLeaseGrant(std::string_view body, LeaseResult &result)
{
    return decode(body, [&result](const Json &json) {
        result.lease = numberAt(json, "ID");
        result.timeToLive = std::chrono::seconds(numberAt(json, "TTL"));
    });
}

bool decodeLeaseKeepAlive(std::string_view body, LeaseResult &result)
{
    return decode(body, [&result](const Json &json) {
        const auto &inner = json.contains("result") ? json.at("result") : json;
        result.lease = numberAt(inner, "ID");
        result.timeToLive = std::chrono::seconds(numberAt(inner, "TTL"));
    });
}

bool decodeWatch(std::string_view body, WatchEvents &events, bool &canceled)
{
    return decode(body, [&events, &canceled](const Json &json) {
        const auto &result = json.at("result");
        events.revision = headerRevision(result);
        events.created = result.value("created", false);
        canceled = result.value("canceled", false);
        if (const auto list = result.find("events"); list != result.end()) {
            for (const auto &event : *list) {
                events.events.push_back({.deleted = event.value("type", "PUT") == "DELETE", .value = keyValue(event.at("kv"))});
            }
        }
    });
}

std::string decodeError(std::string_view body)
{
    std::string text(body.substr(0, MaxErrorText));
    decode(body, [&text](const Json &json) { text = json.value("message", json.value("error", text)); });
    return text;
}

} // namespace Sycamoremoor
