// Keys, leases and history of the platform stand-in, in memory.
#pragma once

#include <sycamoremoor/core/time_type.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Sycamoremoor
{

/** A key as stored. */
struct StoredValue {
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;
};

/** One change in the history. */
struct StoreChange {
    std::string key;
    bool deleted = false;
    StoredValue value; ///< only modRevision when deleted
};

/** A store whose revision rises by one at each write or transaction that writes. */
class KeyValueStore
{
public:
    using Changed = std::function<void(const std::vector<StoreChange> &)>;

    /** @param changed called after each revision with its changes */
    explicit KeyValueStore(Changed changed);

    [[nodiscard]] std::int64_t revision() const;

    /** Returns the key's value, or nothing. */
    [[nodiscard]] const StoredValue *find(const std::string &key) const;

    /** Returns keys from @p key up to @p rangeEnd; empty: the one key; one zero byte: no end. */
    [[nodiscard]] std::vector<std::pair<std::string, StoredValue>> range(const std::string &key, const std::string &rangeEnd) const;

    /** Begins a group of writes that get one revision. */
    void begin();
    void put(const std::string &key, const std::string &value, std::int64_t lease);
    /** @return how many keys were deleted */
    std::int64_t erase(const std::string &key, const std::string &rangeEnd);
    /** Ends the group; the revision rises if anything was written. */
    void commit();

    /** @return the lease's id */
    std::int64_t grantLease(std::chrono::seconds timeToLive, MonotonicTime now);
    /** @return the term, or nothing if there is no such lease */
    std::optional<std::chrono::seconds> keepAlive(std::int64_t lease, MonotonicTime now);
    /** Deletes the keys of leases that have lapsed. */
    void expireLeases(MonotonicTime now);

    /** Returns every change from @p revision on, in order. */
    [[nodiscard]] std::vector<StoreChange> changesSince(std::int64_t revision) const;

private:
    struct Lease {
        std::chrono::seconds timeToLive{};
        MonotonicTime lapsesAt;
        std::set<std::string> keys;
    };

    Changed m_changed;
    std::int64_t m_revision = 1;
    std::int64_t m_lastLease = 0;
    std::map<std::string, StoredValue> m_values;
    std::map<std::int64_t, Lease> m_leases;
    std::vector<StoreChange> m_group;
    std::vector<StoreChange> m_history;
};

/** Tells whether @p key is in the range that etcd's form names. */
bool isInRange(const std::string &key, const std::string &begin, const std::string &rangeEnd);

} // namespace Sycamoremoor
