// Batches that a guard has received, and those that it will refuse because they were recalled before.
#include "batch_table.h"

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

/** Longer than a batch may be on its way, and than most cuts last. A recall that comes later is told that the runs may have run. */
constexpr Duration Retention = std::chrono::seconds(10);

} // namespace

GuardedBatch &BatchTable::add(ConnectionId connection, const StartBatch &batch)
{
    GuardedBatch added;
    added.key = {batch.scheduler, batch.schedulerIncarnation, batch.batch};
    added.queue = batch.queue;
    added.payload = batch.payload;
    added.unreported = static_cast<std::uint32_t>(batch.orders.size());
    added.receiver = connection;
    m_byKey[added.key] = connection;
    m_byReceiver[connection] = connection;
    return m_batches.insert_or_assign(connection, std::move(added)).first->second;
}

GuardedBatch *BatchTable::find(ConnectionId batch)
{
    const auto found = m_batches.find(batch);
    return found == m_batches.end() ? nullptr : &found->second;
}

std::optional<ConnectionId> BatchTable::batchOf(ConnectionId receiver) const
{
    const auto found = m_byReceiver.find(receiver);
    return found == m_byReceiver.end() ? std::nullopt : std::optional(found->second);
}

std::optional<ConnectionId> BatchTable::find(const BatchKey &key) const
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? std::nullopt : std::optional(found->second);
}

void BatchTable::setReceiver(GuardedBatch &batch, ConnectionId id, std::optional<ConnectionId> receiver)
{
    if (batch.receiver) {
        m_byReceiver.erase(*batch.receiver);
    }
    batch.receiver = receiver;
    if (receiver) {
        m_byReceiver[*receiver] = id;
    }
}

void BatchTable::end(MonotonicTime now, ConnectionId batch)
{
    auto &ended = m_batches.at(batch);
    setReceiver(ended, batch, std::nullopt);
    ended.payload = {};
    m_byTime.emplace_back(now, ended.key);
    forgetOld(now);
}

void BatchTable::refuse(MonotonicTime now, const BatchKey &key)
{
    if (m_refused.insert(key).second) {
        m_byTime.emplace_back(now, key);
    }
    forgetOld(now);
}

bool BatchTable::isRefused(const BatchKey &key) const
{
    return m_refused.contains(key);
}

bool BatchTable::mayBeForgotten(const BatchKey &key) const
{
    // Of a scheduler's batches only the last is kept: an earlier one that never arrived counts as forgotten, too.
    const auto last = m_lastForgotten.find(key.scheduler);
    return last != m_lastForgotten.end() && std::pair(key.schedulerIncarnation, key.batch) <= last->second;
}

void BatchTable::forgetOld(MonotonicTime now)
{
    while (!m_byTime.empty() && m_byTime.front().first + Retention < now) {
        const auto &key = m_byTime.front().second;
        m_refused.erase(key);
        // A batch that was received twice under one key may have runs still.
        if (const auto found = m_byKey.find(key); found != m_byKey.end() && m_batches.at(found->second).unreported == 0) {
            auto &last = m_lastForgotten[key.scheduler];
            last = std::max(last, std::pair(key.schedulerIncarnation, key.batch));
            m_batches.erase(found->second);
            m_byKey.erase(found);
        }
        m_byTime.pop_front();
    }
}

} // namespace Sycamoremoor
