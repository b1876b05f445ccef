// Job queues as the operator configures them: which requests they take and what they promise.
#pragma once

#include <sycamoremoor/core/id_type.h>
#include <sycamoremoor/core/time_type.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Sycamoremoor
{

using QueueName = StrongType<struct QueueNameTag, std::string>; ///< a queue of the configuration; run times are learned per queue

/** One queue. */
struct QueueRecord {
    QueueName name;
    std::string host;   ///< host name that callers use, without a port
    std::string prefix; ///< path that its jobs' paths begin with
    ServiceName service;
    std::uint32_t priority = 0;    ///< zero goes first
    std::uint32_t maxAttempts = 1; ///< runs of a task that may fail before its job fails
    double stretch = 1;            ///< latency objective as a multiple of the job's longest chain of work
    Duration latencyAllowance{};   ///< added to the stretched chain in the latency objective

    friend bool operator==(const QueueRecord &, const QueueRecord &) = default;
};

/** The queues of one version of the configuration. */
struct QueueSet {
    Revision version; ///< zero: none was read yet
    std::vector<QueueRecord> queues;

    friend bool operator==(const QueueSet &, const QueueSet &) = default;
};

/** Returns the queue of @p set with the longest prefix of @p path at @p host, or null. */
const QueueRecord *findQueue(const QueueSet &set, std::string_view host, std::string_view path);

} // namespace Sycamoremoor
