// The etcd v3 JSON gateway's calls on a store.
#include "gateway_service.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <stdexcept>

namespace Sycamoremoor
{

using Json = nlohmann::json;

namespace
{

std::string encoded(const std::string &bytes)
{
    std::string text(((bytes.size() + 2) / 3 * 4) + 1, '\0');
    const auto *input = reinterpret_cast<const unsigned char *>(bytes.data());
    const auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), input, static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::string decoded(const Json &object, const char *name)
{
    const auto text = object.value(name, std::string());
    std::string bytes((text.size() / 4 * 3) + 1, '\0');
    const auto *input = reinterpret_cast<const unsigned char *>(text.data());
    const auto length
        = text.empty() ? 0 : EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), input, static_cast<int>(text.size()));
    if (length < 0) {
        throw std::invalid_argument("illegal base64 data");
    }
    const auto padding = text.ends_with("==") ? 2U : (text.ends_with('=') ? 1U : 0U);
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

std::int64_t number(const Json &object, const char *name)
{
    const auto field = object.find(name);
    if (field == object.end()) {
        return 0;
    }
    return field->is_string() ? std::stoll(field->get<std::string>()) : field->get<std::int64_t>();
}

Json keyValueJson(const std::string &key, const StoredValue &value)
{
    Json json{{"key", encoded(key)},
              {"mod_revision", std::to_string(value.modRevision)},
              {"create_revision", std::to_string(value.createRevision)},
              {"version", std::to_string(value.version)},
              {"value", encoded(value.value)}};
    if (value.lease != 0) {
        json["lease"] = std::to_string(value.lease);
    }
    return json;
}

} // namespace

GatewayService::GatewayService(KeyValueStore &store)
    : m_store(store)
{
}

Json GatewayService::header() const
{
    return {{"cluster_id", "1"}, {"member_id", "1"}, {"revision", std::to_string(m_store.revision())}, {"raft_term", "1"}};
}

Json GatewayService::rangeReply(const Json &request) const
{
    const auto values = m_store.range(decoded(request, "key"), decoded(request, "range_end"));
    const auto limit = number(request, "limit");
    Json list = Json::array();
    for (const auto &[key, value] : values) {
        if (limit != 0 && static_cast<std::int64_t>(list.size()) >= limit) {
            break;
        }
        list.push_back(keyValueJson(key, value));
        if (request.value("keys_only", false)) {
            list.back().erase("value");
        }
    }
    Json reply{{"header", header()}, {"count", std::to_string(values.size())}};
    if (!list.empty()) {
        reply["kvs"] = std::move(list);
    }
    return reply;
}

std::string GatewayService::range(const Json &request) const
{
    return rangeReply(request).dump();
}

std::string GatewayService::put(const Json &request)
{
    m_store.begin();
    m_store.put(decoded(request, "key"), decoded(request, "value"), number(request, "lease"));
    m_store.commit();
    return Json{{"header", header()}}.dump();
}

bool GatewayService::holds(const Json &comparison) const
{
    if (comparison.value("target", "") != "MOD" || comparison.value("result", "EQUAL") != "EQUAL") {
        throw std::invalid_argument("only equal mod revisions are compared here");
    }
    const auto *stored = m_store.find(decoded(comparison, "key"));
    return (stored == nullptr ? 0 : stored->modRevision) == number(comparison, "mod_revision");
}

Json GatewayService::operate(const Json &operation)
{
    if (const auto put = operation.find("request_put"); put != operation.end()) {
        m_store.put(decoded(*put, "key"), decoded(*put, "value"), number(*put, "lease"));
        return {{"response_put", {{"header", header()}}}};
    }
    if (const auto erase = operation.find("request_delete_range"); erase != operation.end()) {
        const auto count = m_store.erase(decoded(*erase, "key"), decoded(*erase, "range_end"));
        return {{"response_delete_range", {{"header", header()}, {"deleted", std::to_string(count)}}}};
    }
    return {{"response_range", rangeReply(operation.at("request_range"))}};
}

std::string GatewayService::transact(const Json &request)
{
    bool succeeded = true;
    for (const auto &comparison : request.value("compare", Json::array())) {
        succeeded = holds(comparison) && succeeded;
    }
    m_store.begin();
    Json responses = Json::array();
    for (const auto &operation : request.value(succeeded ? "success" : "failure", Json::array())) {
        responses.push_back(operate(operation));
    }
    m_store.commit();
    Json reply{{"header", header()}, {"responses", std::move(responses)}};
    if (succeeded) {
        reply["succeeded"] = true;
    }
    return reply.dump();
}

std::string GatewayService::grantLease(const Json &request, MonotonicTime now)
{
    const auto timeToLive = number(request, "TTL");
    const auto lease = m_store.grantLease(std::chrono::seconds(timeToLive), now);
    return Json{{"header", header()}, {"ID", std::to_string(lease)}, {"TTL", std::to_string(timeToLive)}}.dump();
}

std::string GatewayService::keepAlive(const Json &request, MonotonicTime now)
{
    const auto lease = number(request, "ID");
    Json result{{"header", header()}, {"ID", std::to_string(lease)}};
    if (const auto timeToLive = m_store.keepAlive(lease, now)) {
        result["TTL"] = std::to_string(timeToLive->count());
    }
    return Json{{"result", std::move(result)}}.dump();
}

WatchRequest GatewayService::watchRequest(const Json &request)
{
    const auto &create = request.at("create_request");
    return {decoded(create, "key"), decoded(create, "range_end"), number(create, "start_revision")};
}

std::string GatewayService::watchLine(const WatchRequest &request, const std::vector<StoreChange> &changes, bool created) const
{
    Json result{{"header", header()}};
    if (created) {
        result["created"] = true;
    }
    Json events = Json::array();
    for (const auto &[key, deleted, value] : changes) {
        if (!isInRange(key, request.key, request.rangeEnd)) {
            continue;
        }
        if (deleted) {
            events.push_back({{"type", "DELETE"}, {"kv", {{"key", encoded(key)}, {"mod_revision", std::to_string(value.modRevision)}}}});
        } else {
            events.push_back({{"kv", keyValueJson(key, value)}});
        }
    }
    if (!events.empty()) {
        result["events"] = std::move(events);
    }
    return Json{{"result", std::move(result)}}.dump() + "\n";
}

} // namespace Sycamoremoor
