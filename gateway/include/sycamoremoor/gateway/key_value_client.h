// Asynchronous client of the platform's key-value service, by the etcd v3 JSON gateway.
#pragma once

#include <sycamoremoor/gateway/key_value_type.h>

#include <functional>
#include <memory>

struct event_base;

namespace Sycamoremoor
{

/**
 * Calls the platform's service from the thread of one event loop.
 *
 * Every call ends by exactly one call of its hook, from the event loop and never from within the call itself,
 * at the latest after the call timeout once it has a connection. An answer that comes later is dropped. Reads are tried at each endpoint;
 * a write is tried at another endpoint only if it provably did not leave. The process must ignore SIGPIPE.
 */
class KeyValueClient
{
public:
    /** @param base event loop that the calls run on; must outlive the client */
    KeyValueClient(event_base *base, KeyValueSettings settings);
    /** Drops every open call without calling its hook. Not from within a hook. */
    ~KeyValueClient();

    KeyValueClient(const KeyValueClient &) = delete;
    KeyValueClient &operator=(const KeyValueClient &) = delete;

    /** Reads keys. */
    void range(const RangeCall &call, std::function<void(RangeResult)> done);

    /** Writes a key. */
    void put(const PutCall &call, std::function<void(WriteResult)> done);

    /** Compares and writes in one step. */
    void transact(const TransactionCall &call, std::function<void(WriteResult)> done);

    /** Makes a lease that lapses after @p timeToLive without a keepalive. */
    void grantLease(std::chrono::seconds timeToLive, std::function<void(LeaseResult)> done);

    /** Keeps a lease for another term. */
    void keepLeaseAlive(LeaseId lease, std::function<void(LeaseResult)> done);

    /** Starts a watch on a connection of its own; it ends with the connection and is not renewed. */
    WatchId watch(const WatchCall &call, WatchHooks hooks);

    /** Ends a watch; its hooks are not called any more. */
    void cancelWatch(WatchId watch);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sycamoremoor
