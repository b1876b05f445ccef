// Queues whose tasks crash their upstreams, and the share of the workers that they are confined to.
#pragma once

#include "crash_record.h"

#include <sycamoremoor/core/crash_notice_type.h>
#include <sycamoremoor/core/time_type.h>

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace Sycamoremoor
{

/**
 * Decides which queues are confined to a share of the workers.
 *
 * The load that it answers: tasks of a queue that crash the upstreams that start them, so often that the workers which are down at a
 * time are missed. Each such task takes a worker away for some seconds, whoever's tasks run there. Confined, a queue takes away only
 * the workers of its share; all other queues leave these to it. All schedulers hear of all crashes and decide alike.
 */
class Bulkhead
{
public:
    /** Records a crash that this scheduler was not told of before. */
    void record(MonotonicTime now, const CrashKey &key, const CrashNotice &notice);

    /** Forgets a crash that was none. */
    void remove(MonotonicTime now, const CrashKey &crash);

    /** Decides again, if it is time to. @param workers number of workers that report @return whether the confined queues changed */
    bool update(MonotonicTime now, std::size_t workers);

    [[nodiscard]] bool isConfined(const QueueName &queue) const;

    /** Returns the queues that are confined. */
    [[nodiscard]] const std::set<QueueName> &confined() const;

    /** Returns the number of workers, of @p workers, that are left to the confined queues; zero if there is no such queue. */
    [[nodiscard]] std::size_t share(std::size_t workers) const;

    /** Returns when to decide again; MonotonicTime::max() if nothing is to be decided. */
    [[nodiscard]] MonotonicTime nextUpdate() const;

private:
    using Evidence = std::map<QueueName, QueueEvidence>;

    struct Crash {
        MonotonicTime at;
        CrashKey key;
        Evidence evidence;
    };

    [[nodiscard]] std::set<QueueName> queues() const;
    /** Returns the queues that the recent crashes cannot be explained without, the ones with the most crashes first. */
    [[nodiscard]] std::vector<QueueName> guilty(std::size_t workers) const;
    /** Returns whether no recent crash met runs of @p queue. */
    [[nodiscard]] bool isQuiet(MonotonicTime now, const QueueName &queue) const;

    std::deque<Crash> m_crashes;
    std::set<QueueName> m_confined;
    MonotonicTime m_nextUpdate = MonotonicTime::max();
};

} // namespace Sycamoremoor
