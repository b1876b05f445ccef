// Where guards listen: published by each guard, read by every scheduler.
#pragma once

#include <sycamoremoor/core/guard_message_type.h>
#include <sycamoremoor/net/prefix_watcher.h>

#include <sigc++/signal.h>

#include <map>
#include <memory>
#include <string>

namespace Sycamoremoor
{

/** The guards that are published in the store. */
class AgentDirectory
{
public:
    using Agents = std::map<AgentName, AgentRecord>;

    AgentDirectory(EventLoop &loop, StoreHooks store);

    /** Emitted when the directory changed. */
    sigc::signal<void(const Agents &)> &signalChanged();

    void start();

private:
    /** Logs a record that names no worker, once for each version of it. */
    void logOddRecord(const StoreItem &item, const std::string &fault);

    PrefixWatcher m_watcher;
    sigc::signal<void(const Agents &)> m_changed;
    Agents m_agents;                                      ///< as last told
    std::map<std::string, StoreVersion> m_loggedVersions; ///< of records that were logged, by key
};

/** Keeps the record of one guard published: writes it again whenever the store lacks it, and when a write did not surely succeed. */
class AgentPublisher
{
public:
    AgentPublisher(EventLoop &loop, StoreHooks store, const AgentRecord &record);
    ~AgentPublisher();

    AgentPublisher(const AgentPublisher &) = delete;
    AgentPublisher &operator=(const AgentPublisher &) = delete;

    void start();

private:
    void check(const PrefixWatcher::Items &items);
    void write();
    void writeEnded(bool written);

    StoreHooks m_store;
    StoreItem m_item;
    PrefixWatcher m_watcher;
    Timer m_retry;
    Duration m_retryDelay;
    bool m_writing = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< hooks of calls that outlive the publisher do nothing
};

} // namespace Sycamoremoor
