// The etcd v3 JSON gateway's calls on a store, as far as this project uses them.
#pragma once

#include "key_value_store.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace Sycamoremoor
{

/** What a watch asked for. */
struct WatchRequest {
    std::string key;
    std::string rangeEnd;
    std::int64_t startRevision = 0;
};

/** Turns JSON requests into calls of a store. Each throws std::exception on a malformed request. */
class GatewayService
{
public:
    explicit GatewayService(KeyValueStore &store);

    std::string range(const nlohmann::json &request) const;
    std::string put(const nlohmann::json &request);
    std::string transact(const nlohmann::json &request);
    std::string grantLease(const nlohmann::json &request, MonotonicTime now);
    std::string keepAlive(const nlohmann::json &request, MonotonicTime now);

    [[nodiscard]] static WatchRequest watchRequest(const nlohmann::json &request);
    /** Returns one line of a watch's answer. */
    [[nodiscard]] std::string watchLine(const WatchRequest &request, const std::vector<StoreChange> &changes, bool created) const;

private:
    [[nodiscard]] nlohmann::json header() const;
    [[nodiscard]] nlohmann::json rangeReply(const nlohmann::json &request) const;
    [[nodiscard]] bool holds(const nlohmann::json &comparison) const;
    nlohmann::json operate(const nlohmann::json &operation);

    KeyValueStore &m_store;
};

} // namespace Sycamoremoor
