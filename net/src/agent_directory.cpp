// Where guards listen: published by each guard, read by every scheduler.
#include <sycamoremoor/net/agent_directory.h>

#include <sycamoremoor/net/log_func.h>
#include <sycamoremoor/wire/message_codec.h>

#include <algorithm>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr std::string_view AgentPrefix = "agents/";
constexpr PrefixWatchTimes DirectoryTimes{std::chrono::seconds(3), std::chrono::seconds(10)}; ///< a new worker may be idle for seconds
constexpr PrefixWatchTimes PublisherTimes{std::chrono::seconds(2), std::chrono::seconds(10)}; ///< a lost record is back within two seconds

constexpr Duration FirstRetryDelay = std::chrono::milliseconds(200);   ///< of a write that the store refused or did not answer
constexpr Duration LongestRetryDelay = std::chrono::milliseconds(800); ///< a worker is listed within two seconds of the store's return
constexpr std::size_t MaxNameBytes = 200;                              ///< of a worker
constexpr std::size_t MaxLoggedRecords = 1'000;                        ///< records that are remembered as logged

/** Reads a record. @return what is wrong with it, empty if it names a worker */
std::string faultOf(const StoreItem &item, AgentRecord &record)
{
    if (const auto error = decode(item.value, record)) {
        return error->detail;
    }
    if (record.agent.value().empty() || record.agent.value().size() > MaxNameBytes) {
        return "agent must have 1 to " + std::to_string(MaxNameBytes) + " bytes";
    }
    // Each guard writes the key of its own name: a record under another key may not stand in for it.
    if (item.key != std::string(AgentPrefix) + record.agent.value()) {
        return "agent is not the name in the key: " + excerptOf(record.agent.value());
    }
    return record.endpoint.port == 0 ? "endpoint is missing" : "";
}

} // namespace

AgentDirectory::AgentDirectory(EventLoop &loop, StoreHooks store)
    : m_watcher(loop, std::move(store), std::string(AgentPrefix), DirectoryTimes)
{
    m_watcher.signalChanged().connect([this](const PrefixWatcher::Items &items) {
        Agents agents;
        for (const auto &[key, item] : items) {
            AgentRecord record;
            const auto fault = faultOf(item, record);
            if (fault.empty()) {
                agents.emplace(record.agent, record);
                continue;
            }
            logOddRecord(item, fault);
            // What another writer left in the place of a record says nothing about the worker.
            if (const auto known = m_agents.find(AgentName(key.substr(AgentPrefix.size()))); known != m_agents.end()) {
                agents.insert(*known);
            }
        }
        m_agents = agents;
        m_changed.emit(agents);
    });
}

void AgentDirectory::logOddRecord(const StoreItem &item, const std::string &fault)
{
    if (m_loggedVersions.size() >= MaxLoggedRecords) {
        m_loggedVersions.clear();
    }
    if (auto &logged = m_loggedVersions[item.key]; std::exchange(logged, item.version) != item.version) {
        writeLog({Severity::Warning,
                  "directory",
                  "A record names no worker and is passed over.",
                  {{"key", excerptOf(item.key)}, {"fault", fault}, {"record", excerptOf(item.value)}}});
    }
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
    , m_retry(loop, [this] { write(); })
    , m_retryDelay(FirstRetryDelay)
{
    m_watcher.signalChanged().connect([this](const PrefixWatcher::Items &items) { check(items); });
}

AgentPublisher::~AgentPublisher() = default;

void AgentPublisher::start()
{
    m_watcher.start();
}

void AgentPublisher::check(const PrefixWatcher::Items &items)
{
    const auto found = items.find(m_item.key);
    if (found != items.end() && found->second.value == m_item.value) {
        m_retry.stop();
        m_retryDelay = FirstRetryDelay;
        return;
    }
    write();
}

void AgentPublisher::write()
{
    if (std::exchange(m_writing, true)) {
        return;
    }
    m_retry.stop();
    writeLog({Severity::Info, "directory", "The record of this worker is written to the store."});
    m_store.write(m_item, [this, alive = std::weak_ptr(m_alive)](bool written) {
        if (!alive.expired()) {
            writeEnded(written);
        }
    });
}

void AgentPublisher::writeEnded(bool written)
{
    m_writing = false;
    if (written) {
        m_retryDelay = FirstRetryDelay;
        return;
    }
    writeLog({Severity::Warning,
              "directory",
              "The record of this worker may not have been written; it is written again unless the store turns out to have it.",
              {{"retry_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(m_retryDelay).count())}}});
    m_retry.start(m_retryDelay);
    m_retryDelay = std::min(m_retryDelay * 2, LongestRetryDelay);
}

} // namespace Sycamoremoor
