// Keeps a scheduler informed of the room of every worker in the directory.
#pragma once

#include <sycamoremoor/core/guard_subset.h>
#include <sycamoremoor/core/scheduler_input_type.h>
#include <sycamoremoor/net/known_guard_type.h>
#include <sycamoremoor/net/timer.h>

#include <sigc++/signal.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Sycamoremoor
{

class EventLoop;
class HttpClient;

/** What a RoomWatcher asks its scheduler. */
struct RoomWatcherHooks {
    std::function<Duration()> reportInterval;            ///< shortest time between two reports of a guard
    std::function<bool(const AgentName &agent)> isUsing; ///< whether tasks of the scheduler are on a worker
    std::function<bool()> missesWorkers;                 ///< whether the scheduler needs workers of which it follows few
};

/** Holds one streamed exchange with each guard that the scheduler follows, and opens it anew when it breaks or falls silent. */
class RoomWatcher
{
public:
    RoomWatcher(EventLoop &loop, HttpClient &client, EntryName scheduler, GuardSubset subset, RoomWatcherHooks hooks);
    ~RoomWatcher();

    RoomWatcher(const RoomWatcher &) = delete;
    RoomWatcher &operator=(const RoomWatcher &) = delete;

    /** Emitted for reports and silences. */
    sigc::signal<void(SchedulerInput)> &signalInput();

    /** Watches the subset of these guards, and of those from before that still answer. */
    void setGuards(const GuardSubset::Guards &guards);

    /** Returns where a guard listens. */
    [[nodiscard]] std::optional<Endpoint> endpoint(const AgentName &agent) const;

    /** Returns all guards that are known. */
    [[nodiscard]] KnownGuards guards() const;

private:
    struct Watch;

    /** Watches the guards that are chosen now, and ends watches of others that the scheduler does not use. */
    void follow();
    void watch(const AgentRecord &record);
    /** Ends the watch of a guard that is not chosen, unless it was until recently or is in use. @return whether a followed guard was left */
    bool unfollow(const AgentName &agent, MonotonicTime now);
    /** Tells the scheduler whether it follows all workers, if that has changed or more were asked for. */
    void tellChoice(std::size_t chosen, std::size_t all, bool isWidened);
    void open(Watch &watch);
    void received(Watch &watch, std::string_view part);
    void takeCrash(const AgentName &agent, std::string_view line);
    void takeCancellation(const AgentName &agent, std::string line);
    /** Hands on the newest report of a guard. Those before it say nothing more. */
    void decodeNewest(Watch &watch);
    void broken(Watch &watch);

    EventLoop &m_loop;
    HttpClient &m_client;
    EntryName m_scheduler;
    GuardSubset m_subset;
    RoomWatcherHooks m_hooks;
    GuardSubset::Guards m_listed;   ///< in the directory
    std::string m_lastCancellation; ///< line that was handed on last
    MonotonicTime m_lastCancellationAt;
    bool m_choseAll = true;
    Timer m_followTimer;
    sigc::signal<void(SchedulerInput)> m_input;
    std::map<AgentName, std::unique_ptr<Watch>> m_watches;
};

} // namespace Sycamoremoor
