// Keys, transactions and results of the platform's key-value service.
#pragma once

#include <sycamoremoor/core/endpoint_type.h>
#include <sycamoremoor/core/time_type.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Sycamoremoor
{

/** Number of the store, of a lease or of a watch. */
using StoreRevision = std::int64_t;
using LeaseId = std::int64_t;
using WatchId = std::uint64_t;

/** How a call ended. */
enum class CallOutcome {
    Done,     ///< it was carried out
    Conflict, ///< a comparison failed; provably without effect
    NoEffect, ///< it failed; provably without effect
    Unknown,  ///< it failed, and may have had its effect
    End,
};

/** Returns the name of @p outcome in lower case with underscores. */
std::string_view callOutcomeName(CallOutcome outcome);

/** A key with its value and versions. */
struct KeyValue {
    std::string key;
    std::string value;
    StoreRevision createRevision = 0;
    StoreRevision modRevision = 0; ///< of its last write
    LeaseId lease = 0;             ///< zero if none

    friend bool operator==(const KeyValue &, const KeyValue &) = default;
};

/** Reads a key, or all keys from @c key up to but without @c rangeEnd. Always linearizable. */
struct RangeCall {
    std::string key;
    std::string rangeEnd;   ///< empty: the one key
    std::int64_t limit = 0; ///< zero: no limit
    bool keysOnly = false;
};

/** How a range read ended. */
struct RangeResult {
    CallOutcome outcome = CallOutcome::NoEffect; ///< Done or NoEffect
    std::string error;                           ///< for people, empty when done
    StoreRevision revision = 0;                  ///< of the whole store at the read
    std::vector<KeyValue> values;                ///< in the order of keys
};

/** Writes one key whatever it holds. */
struct PutCall {
    std::string key;
    std::string value;
    LeaseId lease = 0; ///< the key ends with the lease; zero if none
};

/** Deletes one key. */
struct DeleteCall {
    std::string key;
};

/** Holds if the key was last written at this revision; zero: if there is no such key. */
struct Comparison {
    std::string key;
    StoreRevision modRevision = 0;
};

/** Compare-and-swap: all writes happen, together, if all comparisons hold; else the compared keys are read. */
struct TransactionCall {
    std::vector<Comparison> comparisons;
    std::vector<PutCall> puts;
    std::vector<DeleteCall> deletes;
};

/** How a write ended. */
struct WriteResult {
    CallOutcome outcome = CallOutcome::Unknown;
    std::string error;             ///< for people, empty when done
    StoreRevision revision = 0;    ///< of the store after the write, or at the conflict
    std::vector<KeyValue> current; ///< the compared keys as they are, after a conflict
};

/** How granting or keeping a lease ended. */
struct LeaseResult {
    CallOutcome outcome = CallOutcome::Unknown;
    std::string error;
    LeaseId lease = 0;
    std::chrono::seconds timeToLive{}; ///< zero after a keepalive: the lease has lapsed
};

/** Watches a key, or a range as in RangeCall, from a revision on. */
struct WatchCall {
    std::string key;
    std::string rangeEnd;
    StoreRevision startRevision = 0; ///< zero: from now on
};

/** One change seen by a watch. */
struct WatchEvent {
    bool deleted = false;
    KeyValue value; ///< only key and modRevision when deleted
};

/** What a watch delivers together. */
struct WatchEvents {
    StoreRevision revision = 0; ///< everything up to here was delivered
    bool created = false;       ///< the first message, without events
    std::vector<WatchEvent> events;
};

/** Hooks of one watch. */
struct WatchHooks {
    std::function<void(const WatchEvents &)> delivered;
    std::function<void(const std::string &error)> ended; ///< called once, unless cancelled; nothing comes after it
};

/** Settings of a client. */
struct KeyValueSettings {
    std::vector<Endpoint> endpoints;                ///< tried in turn, at least one
    Duration callTimeout = std::chrono::seconds(1); ///< bound of a call once it has a connection, all endpoints together
    std::size_t maxConnections = 8;                 ///< side by side, watches apart; further calls wait
};

/** Returns the end of the range of all keys that begin with @p prefix. */
std::string prefixRangeEnd(std::string prefix);

} // namespace Sycamoremoor
