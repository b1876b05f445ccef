// A copy of all keys of a prefix of the store, kept up to date.
#include <sycamoremoor/net/prefix_watcher.h>

#include <sycamoremoor/net/log_func.h>

#include <algorithm>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr Duration FirstRetryDelay = std::chrono::milliseconds(200);
constexpr Duration LongestRetryDelay = std::chrono::milliseconds(800); ///< what changed is known within a second of the store's return

} // namespace

PrefixWatcher::PrefixWatcher(EventLoop &loop, StoreHooks store, std::string prefix, PrefixWatchTimes times)
    : m_store(std::move(store))
    , m_prefix(std::move(prefix))
    , m_times(times)
    , m_retryDelay(FirstRetryDelay)
    , m_confirmTimer(loop, [this] { confirm(); })
    , m_watchTimer(loop, [this] { watch(); })
{
}

PrefixWatcher::~PrefixWatcher() = default;

sigc::signal<void(const PrefixWatcher::Items &)> &PrefixWatcher::signalChanged()
{
    return m_changed;
}

StoreVersion PrefixWatcher::version() const
{
    return m_version;
}

void PrefixWatcher::start()
{
    m_confirmTimer.start(Duration::zero());
}

void PrefixWatcher::confirm()
{
    if (std::exchange(m_reading, true)) {
        return;
    }
    m_store.read(m_prefix, [this, alive = std::weak_ptr(m_alive)](const StoreSnapshot &snapshot) {
        if (!alive.expired()) {
            takeSnapshot(snapshot);
        }
    });
}

void PrefixWatcher::takeSnapshot(const StoreSnapshot &snapshot)
{
    m_reading = false;
    if (!snapshot.answered) {
        lost();
        return;
    }
    if (std::exchange(m_away, false)) {
        writeLog({Severity::Info, "store", "The store answers again about " + m_prefix + "."});
    }
    m_retryDelay = FirstRetryDelay;
    m_confirmTimer.start(m_times.confirmInterval);
    if (snapshot.version >= m_version || !m_known) {
        Items items;
        for (const auto &item : snapshot.items) {
            items.emplace(item.key, item);
        }
        m_version = std::max(m_version, snapshot.version);
        if (items != m_items || !m_known) {
            m_items = std::move(items);
            m_known = true;
            m_changed.emit(m_items);
        }
    }
    watch();
}

void PrefixWatcher::lost()
{
    if (!std::exchange(m_away, true)) {
        writeLog({Severity::Warning, "store", "The store does not answer about " + m_prefix + "; what is known stays in force."});
    }
    m_confirmTimer.start(m_retryDelay);
    m_retryDelay = std::min(m_retryDelay * 2, LongestRetryDelay);
}

void PrefixWatcher::watch()
{
    if (!m_known || std::exchange(m_watching, true)) {
        return;
    }
    m_store.watch(m_prefix, m_version, m_times.watchWait, [this, alive = std::weak_ptr(m_alive)](const StoreChanges &changes) {
        if (!alive.expired()) {
            takeChanges(changes);
        }
    });
}

void PrefixWatcher::takeChanges(const StoreChanges &changes)
{
    m_watching = false;
    if (changes.outcome != StoreChanges::Outcome::Told) {
        // A snapshot tells what the watch did not, and starts the next watch.
        m_confirmTimer.start(changes.outcome == StoreChanges::Outcome::History ? Duration::zero() : m_retryDelay);
        return;
    }
    bool changed = false;
    for (const auto &[removed, item] : changes.changes) {
        const auto known = m_items.find(item.key);
        if (known != m_items.end() && known->second.version >= item.version) {
            continue;
        }
        if (!removed && item.version <= m_version) {
            continue; // a snapshot that was read meanwhile shows it, or shows that the key was removed since
        }
        if (removed) {
            changed = m_items.erase(item.key) > 0 || changed;
        } else {
            m_items[item.key] = item;
            changed = true;
        }
    }
    m_version = std::max(m_version, changes.version);
    if (changed) {
        m_changed.emit(m_items);
    }
    m_watchTimer.start(Duration::zero());
}

} // namespace Sycamoremoor
