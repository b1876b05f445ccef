// The interface of a guard towards schedulers: batches, and a stream of its room.
#pragma once

#include <sycamoremoor/core/guard_output_type.h>
#include <sycamoremoor/net/router.h>
#include <sycamoremoor/net/timer.h>

#include <sigc++/signal.h>

#include <cstdint>
#include <map>

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

    /** Returns how much of the streams of room waits for schedulers that do not read. */
    [[nodiscard]] std::size_t unsentBytes() const;

    /** Ends the streams of room: this guard stops. */
    void endWatches();

private:
    /** An exchange that a scheduler holds open: a batch, a recall, or a stream of room. */
    struct OpenExchange {
        EntryName scheduler;
        HttpExchangePointer exchange;
        MonotonicTime clockToldAt{}; ///< last report of room that told the clock
    };

    void takeBatch(const RoutedRequest &request);
    void takeRenewal(const RoutedRequest &request);
    void takeRecall(const RoutedRequest &request);
    /** Keeps an exchange that takes reports. @return the connection that stands for it */
    ConnectionId openExchange(const EntryName &scheduler, const HttpExchangePointer &exchange);
    void takeWatch(const RoutedRequest &request);
    void watcherGone(std::uint64_t watcher);
    void tellAll();
    /** Tells one scheduler. @return false if it is behind with reading */
    bool tell(OpenExchange &watcher);
    [[nodiscard]] bool isWatched(const EntryName &scheduler) const;
    void dropUnwatched();

    MetricRegistry &m_metrics;
    sigc::signal<void(GuardInput)> m_input;
    std::uint64_t m_lastConnection = 0;
    std::uint64_t m_lastWatcher = 0;
    CapacityReport m_room;
    std::map<std::uint64_t, OpenExchange> m_watchers;    ///< streams of room
    std::map<EntryName, BatchNumber> m_seen;             ///< highest batch by scheduler
    std::map<ConnectionId, OpenExchange> m_batches;      ///< batches and recalls
    std::map<EntryName, MonotonicTime> m_unwatchedSince; ///< schedulers whose stream broke
    Timer m_tellTimer;                                   ///< gathers changes
    Timer m_steadyTimer;                                 ///< tells without a change
    bool m_telling = false;
};

} // namespace Sycamoremoor
