// Job queues as the operator configures them: which requests belong to them, and their latency objectives.
#pragma once

#include <sycamoremoor/core/id_type.h>
#include <sycamoremoor/core/time_type.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Sycamoremoor
{

using QueueName = StrongType<struct QueueNameTag, std::string>; ///< identifies a configured queue; run times are estimated per queue

/** Configuration of one queue. */
struct QueueRecord {
    QueueName name;
    std::string host;   ///< host name that callers use, as normalizedHost() returns it
    std::string prefix; ///< prefix of the request paths of its jobs, as normalizedPath() returns it
    ServiceName service;
    std::uint32_t priority = 0;    ///< the lower, the more urgent; higher values than 1 are told apart only with SheddingMode::Value
    std::uint32_t maxAttempts = 1; ///< number of failed runs of one task after which its job fails
    double stretch = 1;            ///< latency objective as a multiple of the expected run time of the job's longest chain of steps
    Duration latencyAllowance{};   ///< added to the stretched run time in the latency objective
    std::string unsupported;       ///< feature that the queue asks for and that is not built, empty if none: its jobs are refused

    friend bool operator==(const QueueRecord &, const QueueRecord &) = default;
};

/** All queues of one version of the configuration. */
struct QueueSet {
    Revision version; ///< zero if no version was read yet
    std::vector<QueueRecord> queues;
    std::size_t unreadable = 0; ///< queues of this version that could not be read and are not in force

    friend bool operator==(const QueueSet &, const QueueSet &) = default;
};

using QueueSetPointer = std::shared_ptr<const QueueSet>;
using QueueRecordPointer = std::shared_ptr<const QueueRecord>; ///< shared with the set: texts of a record may be long

/** Returns @p host in small letters, without a port and without the dot at the end of an absolute name. */
std::string normalizedHost(std::string_view host);

/**
 * Returns @p path in the one form in which paths are compared, as callers may percent-encode any of its bytes.
 * Everything is decoded but slashes and percent signs, which stay percent-encoded in capital digits.
 */
std::string normalizedPath(std::string_view path);

/**
 * Returns the queue of @p set for @p host whose prefix is the longest that matches @p path, or null.
 * @param host as normalizedHost() returns it
 * @param path as normalizedPath() returns it
 */
QueueRecordPointer findQueue(const QueueSetPointer &set, std::string_view host, std::string_view path);

} // namespace Sycamoremoor
