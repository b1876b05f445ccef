// Keeps a scheduler informed of the room of every worker in the directory.
#pragma once

#include <sycamoremoor/core/scheduler_input_type.h>

#include <sigc++/signal.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace Sycamoremoor
{

class EventLoop;
class HttpClient;

/** Holds one streamed exchange with each guard, and opens it anew when it breaks or falls silent. */
class RoomWatcher
{
public:
    using ReportInterval = std::function<Duration()>;

    /** @param reportInterval tells the shortest time between two reports of a guard */
    RoomWatcher(EventLoop &loop, HttpClient &client, EntryName scheduler, ReportInterval reportInterval);
    ~RoomWatcher();

    RoomWatcher(const RoomWatcher &) = delete;
    RoomWatcher &operator=(const RoomWatcher &) = delete;

    /** Emitted for reports and silences. */
    sigc::signal<void(SchedulerInput)> &signalInput();

    /** Watches these guards, and those from before that still answer. */
    void setGuards(const std::map<AgentName, AgentRecord> &guards);

    /** Returns where a guard listens. */
    [[nodiscard]] std::optional<Endpoint> endpoint(const AgentName &agent) const;

private:
    struct Watch;

    void open(Watch &watch);
    void received(Watch &watch, std::string_view part);
    void takeCrash(const Watch &watch, std::string_view line);
    /** Hands on the newest report of a guard. Those before it say nothing more. */
    void decodeNewest(Watch &watch);
    void broken(Watch &watch);

    EventLoop &m_loop;
    HttpClient &m_client;
    EntryName m_scheduler;
    ReportInterval m_reportInterval;
    sigc::signal<void(SchedulerInput)> m_input;
    std::map<AgentName, std::unique_ptr<Watch>> m_watches;
};

} // namespace Sycamoremoor
