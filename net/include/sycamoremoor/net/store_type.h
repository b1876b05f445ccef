// What the product needs of a store of keys and values. An adapter fills in the hooks.
#pragma once

#include <sycamoremoor/core/time_type.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Sycamoremoor
{

using StoreVersion = std::int64_t; ///< rises with every change of the store

/** A key with its value. */
struct StoreItem {
    std::string key;
    std::string value;
    StoreVersion version = 0; ///< of its last write

    friend bool operator==(const StoreItem &, const StoreItem &) = default;
};

/** All keys of a prefix. */
struct StoreSnapshot {
    bool answered = false;
    StoreVersion version = 0; ///< of the store, before the first key was read
    std::vector<StoreItem> items;
};

/** A write or the removal of a key. */
struct StoreChange {
    bool removed = false;
    StoreItem item; ///< without value when removed
};

/** How a wait for changes ended. */
struct StoreChanges {
    enum class Outcome {
        Told,    ///< all changes up to the version, perhaps none
        History, ///< the store does not know the changes any more; read a snapshot
        Failed,
        End,
    };
    Outcome outcome = Outcome::Failed;
    StoreVersion version = 0; ///< to wait after next
    std::vector<StoreChange> changes;
};

/** Calls of a store. Each ends by one call of its hook, never from within the call. */
struct StoreHooks {
    /** Reads a prefix, linearizable. */
    std::function<void(const std::string &prefix, std::function<void(StoreSnapshot)> done)> read;
    /** Waits for changes of a prefix after a version, at most so long. */
    std::function<void(const std::string &prefix, StoreVersion after, Duration wait, std::function<void(StoreChanges)> done)> watch;
    /** Writes a key whatever it holds. Tells whether it surely took effect. */
    std::function<void(const StoreItem &item, std::function<void(bool)> done)> write;
};

} // namespace Sycamoremoor
