// The interface of a guard towards schedulers: batches, and a stream of its room.
#pragma once

#include <sycamoremoor/core/guard_output_type.h>
#include <sycamoremoor/net/router.h>
#include <sycamoremoor/net/timer.h>

#include <sigc++/signal.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace Sycamoremoor
{

class EventLoop;

/** Turns requests of schedulers into inputs, and reports into streamed answers. */
class GuardServer
{
public:
    GuardServer(EventLoop &loop, Router &router, MetricRegistry &metrics);

    /** Emitted for each thing that happened. */
    sigc::signal<void(GuardInput)> &signalInput();

    void carryOut(const ReportRun &output);
    void carryOut(const EndBatch &output);
    void carryOut(const CapacityChanged &output);
    void carryOut(const UpstreamCrashed &output);
    void carryOut(const CancellationTaken &output);

    /** Returns how much of the streams of room waits for schedulers that do not read. */
    [[nodiscard]] std::size_t unsentBytes() const;

    /** Ends the streams of room and begins no other: this guard stops. */
    void endWatches();

private:
    /** Cancelled jobs of which schedulers that connect are told. */
    struct ToldCancellation {
        std::string line;
        MonotonicTime expiresAt;
    };

    /** An exchange that a scheduler holds open: a batch, a recall, or a stream of room. */
    struct OpenExchange {
        EntryName scheduler;
        HttpExchangePointer exchange;
        MonotonicTime toldAt{};             ///< last report of room
        bool isBehind = false;              ///< the room has changed since then
        std::uint64_t toldCrash = 0;        ///< last of the crashes that it was told of
        std::uint64_t toldCancellation = 0; ///< last of the cancellations that it was told of
    };

    void takeBatch(const RoutedRequest &request);
    void takeRenewal(const RoutedRequest &request);
    void takeRecall(const RoutedRequest &request);
    void takeCancellation(const RoutedRequest &request);
    /** Keeps an exchange that takes reports. @return the connection that stands for it */
    ConnectionId openExchange(const EntryName &scheduler, const HttpExchangePointer &exchange);
    void takeWatch(const RoutedRequest &request);
    void watcherGone(std::uint64_t watcher);
    void tellAll();
    /** Returns the lines of the crashes that a scheduler was not told of; they then count as told. */
    [[nodiscard]] std::string takeUntoldCrashes(OpenExchange &watcher) const;
    /** Returns the lines of the cancellations that a scheduler was not told of; they then count as told. */
    [[nodiscard]] std::string takeUntoldCancellations(OpenExchange &watcher) const;
    /** Tells the schedulers that have heard nothing for a while. */
    void tellQuiet();
    /** Tells the schedulers that have not been told of the last change and whose interval has passed. */
    void tellDue();
    void tellWatchers(const std::function<bool(const OpenExchange &)> &isDue);
    /** Tells one scheduler, unless it is behind with reading. */
    void tell(OpenExchange &watcher);
    [[nodiscard]] MonotonicTime tellAt(const OpenExchange &watcher) const;
    void startTellTimer();
    void setReportInterval(const EntryName &scheduler, Duration interval);
    [[nodiscard]] bool isWatched(const EntryName &scheduler) const;
    void dropUnwatched();
    /** Ends all batches of a scheduler that is gone. */
    void drop(const EntryName &scheduler);

    MetricRegistry &m_metrics;
    sigc::signal<void(GuardInput)> m_input;
    std::uint64_t m_lastConnection = 0;
    std::uint64_t m_lastWatcher = 0;
    bool m_watchesEnded = false;
    CapacityReport m_room;
    std::map<std::uint64_t, UpstreamCrashed> m_crashes;        ///< that have not expired, by the order in which they were told
    std::uint64_t m_lastCrash = 0;                             ///< number of crashes told
    std::map<std::uint64_t, ToldCancellation> m_cancellations; ///< that have not expired, by the order in which they were told
    std::uint64_t m_lastCancellation = 0;
    std::map<ConnectionId, HttpExchangePointer> m_cancelRequests;
    std::map<std::uint64_t, OpenExchange> m_watchers;    ///< streams of room
    std::map<EntryName, BatchNumber> m_seen;             ///< highest batch by scheduler
    std::map<ConnectionId, OpenExchange> m_batches;      ///< batches and recalls
    std::map<EntryName, Duration> m_reportIntervals;     ///< shortest time between two reports, as the scheduler asked
    std::map<EntryName, MonotonicTime> m_unwatchedSince; ///< schedulers whose stream broke
    Timer m_tellTimer;                                   ///< tells the next scheduler that is due
    Timer m_steadyTimer;                                 ///< tells without a change
};

} // namespace Sycamoremoor
