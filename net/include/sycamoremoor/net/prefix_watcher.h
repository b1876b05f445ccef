// A copy of all keys of a prefix of the store, kept up to date.
#pragma once

#include <sycamoremoor/net/store_type.h>
#include <sycamoremoor/net/timer.h>

#include <sigc++/signal.h>

#include <map>
#include <memory>
#include <string>

namespace Sycamoremoor
{

class EventLoop;

/** When a watcher reads and waits. */
struct PrefixWatchTimes {
    Duration confirmInterval; ///< between reads of the whole prefix, since a watch can go deaf without an error
    Duration watchWait;       ///< how long the store may hold a watch
};

/**
 * Watches a prefix, and reads it whole from time to time.
 *
 * While the store is away the copy stays as it was. It never goes back to an older version of a key.
 */
class PrefixWatcher
{
public:
    using Items = std::map<std::string, StoreItem>;

    PrefixWatcher(EventLoop &loop, StoreHooks store, std::string prefix, PrefixWatchTimes times);
    ~PrefixWatcher();

    PrefixWatcher(const PrefixWatcher &) = delete;
    PrefixWatcher &operator=(const PrefixWatcher &) = delete;

    /** Emitted when the copy changed, and after the first read even if there is no key. */
    sigc::signal<void(const Items &)> &signalChanged();

    /** Returns the version of the store that the copy shows at least. */
    [[nodiscard]] StoreVersion version() const;

    /** Begins to read. */
    void start();

    /** Reads the whole prefix now. */
    void confirm();

private:
    void takeSnapshot(const StoreSnapshot &snapshot);
    void takeChanges(const StoreChanges &changes);
    void watch();
    void lost();

    StoreHooks m_store;
    std::string m_prefix;
    PrefixWatchTimes m_times;
    sigc::signal<void(const Items &)> m_changed;
    Items m_items;
    StoreVersion m_version = 0; ///< of the store that the copy shows at least
    bool m_known = false;       ///< a read has succeeded
    bool m_reading = false;
    bool m_watching = false;
    bool m_away = false; ///< the last call failed
    Duration m_retryDelay{};
    Timer m_confirmTimer;
    Timer m_watchTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< hooks of calls that outlive the watcher do nothing
};

} // namespace Sycamoremoor
