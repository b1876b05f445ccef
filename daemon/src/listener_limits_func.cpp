// Divides the memory and the descriptors of a machine among the listeners of a process.
#include "listener_limits_func.h"

#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <limits>

namespace Sycamoremoor
{

namespace
{

constexpr std::size_t BytesPerMegabyte = std::size_t{1} << 20U;
constexpr std::size_t ConnectionShare
    = 6; ///< of the memory, for all connections: buffers grow to twice what they hold, and tables need the rest
constexpr std::size_t SocketShare = 4; ///< of the memory, for what waits in the sockets of all connections, in each direction
constexpr std::size_t JobShare = 6;    ///< of the memory, for the jobs that a scheduler keeps
constexpr std::size_t MostHeldBytes
    = 64 * BytesPerMegabyte;                 ///< of a listener: control takes at most 128 MB of a machine, however large it is
constexpr std::size_t LeastConnections = 32; ///< of a listener: 128 newcomers a second pass it while idle ones take all of it

/** Shares of one listener, as divisors. Those of one process leave a fifth of its descriptors to its own calls, at least. */
struct ListenerShare {
    std::size_t ofBytes;       ///< of those for all connections of the process
    std::size_t ofDescriptors; ///< of the process
};

constexpr std::array<ListenerShare, static_cast<std::size_t>(ListenerKind::End)> Shares{{
    {2, 2},  // callers
    {4, 16}, // pages of a scheduler
    {4, 32}, // readiness
    {2, 2},  // peers of a guard
    {2, 8},  // announcements
    {2, 2},  // an entry
    {2, 2},  // an agent
}};

const ListenerShare &shareOf(ListenerKind kind)
{
    return Shares.at(static_cast<std::size_t>(kind));
}

} // namespace

std::size_t heldBytesOf(const ClientLimits &limits, ListenerKind kind)
{
    return std::min(limits.memoryMegabytes * BytesPerMegabyte / ConnectionShare / shareOf(kind).ofBytes, MostHeldBytes);
}

std::size_t jobBytesOf(const ClientLimits &limits)
{
    return limits.memoryMegabytes * BytesPerMegabyte / JobShare;
}

HttpServerSettings listenerSettings(const ClientLimits &limits, ListenerKind kind)
{
    HttpServerSettings settings;
    settings.maxHeldBytes = heldBytesOf(limits, kind);
    settings.maxSocketBytes = limits.memoryMegabytes * BytesPerMegabyte / SocketShare / shareOf(kind).ofBytes;
    settings.maxConnections = std::max(limits.descriptors / shareOf(kind).ofDescriptors, LeastConnections);
    settings.maxHeaderFields = limits.headFields;
    settings.maxHeaderBytes = kind == ListenerKind::Callers ? limits.headBytes : std::min(settings.maxHeaderBytes, limits.headBytes);
    settings.maxBodyBytes = std::min(settings.maxBodyBytes, settings.maxHeldBytes);
    if (kind == ListenerKind::Callers) {
        settings.maxBodyBytes = limits.bodyBytes;
    } else if (kind == ListenerKind::Announcements) {
        settings.maxBodyBytes = limits.announcementBytes;
    } else if (kind == ListenerKind::GuardPeers) {
        settings.unacknowledgedLimit = std::chrono::seconds(1); // a scheduler that is silent for so long is gone, and its runs stop
    }
    return settings;
}

std::size_t systemDescriptors()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return std::numeric_limits<std::size_t>::max();
    }
    return limit.rlim_cur;
}

} // namespace Sycamoremoor
