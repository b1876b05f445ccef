// Where guards listen: published by each guard, read by every scheduler.
#include <sycamoremoor/net/agent_directory.h>

#include <sycamoremoor/net/log_func.h>
#include <sycamoremoor/wire/message_codec.h>

#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr std::string_view AgentPrefix = "agents/";
constexpr PrefixWatchTimes DirectoryTimes{std::chrono::seconds(3), std::chrono::seconds(10)}; ///< a new worker may be idle for seconds
constexpr PrefixWatchTimes PublisherTimes{std::chrono::seconds(2), std::chrono::seconds(10)}; ///< a lost record is back within two seconds

} // namespace

AgentDirectory::AgentDirectory(EventLoop &loop, StoreHooks store)
    : m_watcher(loop, std::move(store), std::string(AgentPrefix), DirectoryTimes)
{
    m_watcher.signalChanged().connect([this](const PrefixWatcher::Items &items) {
        Agents agents;
        for (const auto &[key, item] : items) {
            AgentRecord record;
            if (const auto error = decode(item.value, record)) {
                writeLog({Severity::Warning, "directory", "The record " + key + " names no worker: " + error->detail + "."});
                continue;
            }
            agents.emplace(record.agent, record);
        }
        m_changed.emit(agents);
    });
}

sigc::signal<void(const AgentDirectory::Agents &)> &AgentDirectory::signalChanged()
{
    return m_changed;
}

void AgentDirectory::start()
{
    m_watcher.start();
}

AgentPublisher::AgentPublisher(EventLoop &loop, StoreHooks store, const AgentRecord &record)
    : m_store(store)
    , m_item{std::string(AgentPrefix) + record.agent.value(), encode(record), 0}
    , m_watcher(loop, std::move(store), m_item.key, PublisherTimes)
{
    m_watcher.signalChanged().connect([this](const PrefixWatcher::Items &items) { check(items); });
}

void AgentPublisher::start()
{
    m_watcher.start();
}

void AgentPublisher::check(const PrefixWatcher::Items &items)
{
    const auto found = items.find(m_item.key);
    if (found != items.end() && found->second.value == m_item.value) {
        return;
    }
    writeLog({Severity::Info, "directory", "The record of this worker is written to the store."});
    m_store.write(m_item, [](bool written) {
        if (!written) {
            writeLog({Severity::Warning, "directory", "The record of this worker may not have been written; the next check tells."});
        }
    });
}

} // namespace Sycamoremoor
