// Batches that a guard has received, and those that it will refuse because they were recalled before.
#pragma once

#include <sycamoremoor/core/guard_message_type.h>
#include <sycamoremoor/core/id_type.h>
#include <sycamoremoor/core/time_type.h>

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Sycamoremoor
{

/** Identifies a batch among those of all incarnations of all schedulers. */
struct BatchKey {
    EntryName scheduler;
    Incarnation schedulerIncarnation;
    BatchNumber batch;

    friend auto operator<=>(const BatchKey &, const BatchKey &) = default;
};

/** A batch and the reports of its runs. */
struct GuardedBatch {
    BatchKey key;
    QueueName queue;
    std::string payload;
    std::uint32_t unreported = 0;         ///< number of runs without a report
    bool isMeasured = false;              ///< a run of it has counted for the speed of the upstream
    std::vector<RunReport> reports;       ///< in the order in which they were made
    std::optional<ConnectionId> receiver; ///< connection that takes the reports, none if it was lost
};

/** The batches of a guard, identified by the connection on which they were received. Batches that ended are kept for recalls. */
class BatchTable
{
public:
    /** Adds a batch whose reports go to its own connection. */
    GuardedBatch &add(ConnectionId connection, const StartBatch &batch);

    [[nodiscard]] GuardedBatch *find(ConnectionId batch);

    /** Returns the batch whose reports go to @p receiver. */
    [[nodiscard]] std::optional<ConnectionId> batchOf(ConnectionId receiver) const;

    [[nodiscard]] std::optional<ConnectionId> find(const BatchKey &key) const;

    /** Sends the reports of a batch to another connection, or to none. */
    void setReceiver(GuardedBatch &batch, ConnectionId id, std::optional<ConnectionId> receiver);

    /** Every run of the batch was reported. It is forgotten some seconds later. */
    void end(MonotonicTime now, ConnectionId batch);

    /** Refuses a batch that has not been received yet. */
    void refuse(MonotonicTime now, const BatchKey &key);

    [[nodiscard]] bool isRefused(const BatchKey &key) const;

    /** Returns whether a batch that is not known may have been received, and its runs have ended, so long ago that it was forgotten. */
    [[nodiscard]] bool mayBeForgotten(const BatchKey &key) const;

private:
    void forgetOld(MonotonicTime now);

    std::map<ConnectionId, GuardedBatch> m_batches;
    std::map<ConnectionId, ConnectionId> m_byReceiver;
    std::map<BatchKey, ConnectionId> m_byKey;
    std::set<BatchKey> m_refused;
    std::deque<std::pair<MonotonicTime, BatchKey>> m_byTime;                  ///< ended and refused batches, by when that happened
    std::map<EntryName, std::pair<Incarnation, BatchNumber>> m_lastForgotten; ///< highest batch of each scheduler that was forgotten
};

} // namespace Sycamoremoor
