// Keys, leases and history of the platform stand-in.
#include "key_value_store.h"

#include <algorithm>
#include <utility>

namespace Sycamoremoor
{

namespace
{

const std::string noEnd(1, '\0');

} // namespace

bool isInRange(const std::string &key, const std::string &begin, const std::string &rangeEnd)
{
    if (rangeEnd.empty()) {
        return key == begin;
    }
    return key >= begin && (rangeEnd == noEnd || key < rangeEnd);
}

KeyValueStore::KeyValueStore(Changed changed)
    : m_changed(std::move(changed))
{
}

std::int64_t KeyValueStore::revision() const
{
    return m_revision;
}

const StoredValue *KeyValueStore::find(const std::string &key) const
{
    const auto found = m_values.find(key);
    return found == m_values.end() ? nullptr : &found->second;
}

std::vector<std::pair<std::string, StoredValue>> KeyValueStore::range(const std::string &key, const std::string &rangeEnd) const
{
    std::vector<std::pair<std::string, StoredValue>> values;
    for (auto item = m_values.lower_bound(key); item != m_values.end() && isInRange(item->first, key, rangeEnd); ++item) {
        values.emplace_back(*item);
    }
    return values;
}

void KeyValueStore::begin()
{
    m_group.clear();
}

void KeyValueStore::put(const std::string &key, const std::string &value, std::int64_t lease)
{
    const auto revision = m_revision + 1;
    auto &stored = m_values[key];
    if (stored.createRevision == 0) {
        stored.createRevision = revision;
    }
    if (const auto former = m_leases.find(stored.lease); former != m_leases.end()) {
        former->second.keys.erase(key);
    }
    if (const auto found = m_leases.find(lease); found != m_leases.end()) {
        found->second.keys.insert(key);
    }
    stored.value = value;
    stored.modRevision = revision;
    ++stored.version;
    stored.lease = lease;
    m_group.push_back({key, false, stored});
}

std::int64_t KeyValueStore::erase(const std::string &key, const std::string &rangeEnd)
{
    const auto doomed = range(key, rangeEnd);
    for (const auto &[name, value] : doomed) {
        if (const auto lease = m_leases.find(value.lease); lease != m_leases.end()) {
            lease->second.keys.erase(name);
        }
        m_values.erase(name);
        m_group.push_back({name, true, {.modRevision = m_revision + 1}});
    }
    return static_cast<std::int64_t>(doomed.size());
}

void KeyValueStore::commit()
{
    if (m_group.empty()) {
        return;
    }
    ++m_revision;
    m_history.insert(m_history.end(), m_group.begin(), m_group.end());
    m_changed(std::exchange(m_group, {}));
}

std::int64_t KeyValueStore::grantLease(std::chrono::seconds timeToLive, MonotonicTime now)
{
    m_leases[++m_lastLease] = {timeToLive, now + timeToLive, {}};
    return m_lastLease;
}

std::optional<std::chrono::seconds> KeyValueStore::keepAlive(std::int64_t lease, MonotonicTime now)
{
    expireLeases(now);
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return std::nullopt;
    }
    found->second.lapsesAt = now + found->second.timeToLive;
    return found->second.timeToLive;
}

void KeyValueStore::expireLeases(MonotonicTime now)
{
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (lease->second.lapsesAt > now) {
            ++lease;
            continue;
        }
        const auto keys = std::move(lease->second.keys);
        lease = m_leases.erase(lease);
        begin();
        for (const auto &key : keys) {
            erase(key, {});
        }
        commit();
    }
}

std::vector<StoreChange> KeyValueStore::changesSince(std::int64_t revision) const
{
    std::vector<StoreChange> changes;
    std::copy_if(m_history.begin(), m_history.end(), std::back_inserter(changes), [revision](const auto &change) {
        return change.value.modRevision >= revision;
    });
    return changes;
}

} // namespace Sycamoremoor
