// The interface of a guard towards schedulers: batches, and a stream of its room.
#include <sycamoremoor/net/guard_server.h>

#include "internal_request_func.h"

#include <sycamoremoor/net/clock_func.h>
#include <sycamoremoor/net/log_func.h>
#include <sycamoremoor/net/metric_registry.h>
#include <sycamoremoor/net/path_type.h>

#include <sycamoremoor/wire/http_status.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

namespace Sycamoremoor
{

namespace
{

constexpr Duration MinReportInterval = std::chrono::milliseconds(4); ///< a job's tasks end and begin in groups
constexpr Duration SteadyInterval = std::chrono::milliseconds(250);  ///< a quarter of the silence that schedulers bear
constexpr Duration UnwatchedLimit = std::chrono::milliseconds(1200); ///< a scheduler that lives watches anew within a second

constexpr std::size_t MaxCrashes = 16;        ///< that are kept for schedulers that connect
constexpr std::size_t MaxCancellations = 256; ///< as well: a scheduler sends some in a second, with up to a thousand jobs each

/** Reads the whole of @p text as a number of microseconds, or nothing. */
std::optional<Duration> readMicroseconds(std::string_view text)
{
    Duration::rep count = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(Duration(count)) : std::nullopt;
}

} // namespace

GuardServer::GuardServer(EventLoop &loop, Router &router, MetricRegistry &metrics)
    : m_metrics(metrics)
    , m_tellTimer(loop, [this] { tellDue(); })
    , m_steadyTimer(loop, [this] {
        dropUnwatched();
        tellQuiet();
    })
{
    router.add(RequestMethod::Post, Path::StartBatch, [this](const RoutedRequest &request) { takeBatch(request); });
    router.add(RequestMethod::Post, Path::RenewBatches, [this](const RoutedRequest &request) { takeRenewal(request); });
    router.add(RequestMethod::Post, Path::RecallBatch, [this](const RoutedRequest &request) { takeRecall(request); });
    router.add(RequestMethod::Post, Path::CancelJobs, [this](const RoutedRequest &request) { takeCancellation(request); });
    router.add(RequestMethod::Get, Path::WatchRoom, [this](const RoutedRequest &request) { takeWatch(request); });
    m_steadyTimer.start(SteadyInterval / 2);
}

sigc::signal<void(GuardInput)> &GuardServer::signalInput()
{
    return m_input;
}

void GuardServer::takeBatch(const RoutedRequest &request)
{
    StartBatch batch;
    if (!decodeOrRefuse(request, batch)) {
        return;
    }
    if (batch.orders.empty()) {
        request.exchange->endStream();
        return;
    }
    m_metrics.addMessage(MessageDirection::In, Path::StartBatch, request.exchange->request().body.size());
    auto &seen = m_seen[batch.scheduler];
    seen = std::max(seen, batch.batch);
    setReportInterval(batch.scheduler, batch.reportInterval);
    const auto connection = openExchange(batch.scheduler, request.exchange);
    m_input.emit(BatchReceived{connection, std::move(batch)});
}

void GuardServer::takeRenewal(const RoutedRequest &request)
{
    BatchRenewal renewal;
    if (!decodeOrRefuse(request, renewal)) {
        return;
    }
    m_metrics.addMessage(MessageDirection::In, Path::RenewBatches, request.exchange->request().body.size());
    request.exchange->reply({HttpStatus::Ok, "{}", "application/json", {}});
    m_input.emit(BatchesRenewed{std::move(renewal)});
}

void GuardServer::takeRecall(const RoutedRequest &request)
{
    BatchRecall recall;
    if (!decodeOrRefuse(request, recall)) {
        return;
    }
    m_metrics.addMessage(MessageDirection::In, Path::RecallBatch, request.exchange->request().body.size());
    const auto connection = openExchange(recall.scheduler, request.exchange);
    m_input.emit(RecallReceived{connection, std::move(recall)});
}

void GuardServer::takeCancellation(const RoutedRequest &request)
{
    JobCancellation cancellation;
    if (!decodeOrRefuse(request, cancellation)) {
        return;
    }
    m_metrics.addMessage(MessageDirection::In, Path::CancelJobs, request.exchange->request().body.size());
    const ConnectionId connection(++m_lastConnection);
    m_cancelRequests[connection] = request.exchange;
    request.exchange->onGone([this, connection] { m_cancelRequests.erase(connection); });
    m_input.emit(JobsCancelled{connection, std::move(cancellation.jobs)});
}

ConnectionId GuardServer::openExchange(const EntryName &scheduler, const HttpExchangePointer &exchange)
{
    exchange->dropBody();
    const ConnectionId connection(++m_lastConnection);
    m_batches[connection] = {scheduler, exchange};
    exchange->onGone([this, connection] {
        m_batches.erase(connection);
        m_input.emit(BatchAbandoned{connection});
    });
    return connection;
}

void GuardServer::takeWatch(const RoutedRequest &request)
{
    if (m_watchesEnded) {
        replyError(request, ErrorKind::Draining, "this guard is being stopped");
        return;
    }
    const auto &parameters = request.exchange->request().parameters;
    const auto scheduler = parameters.find("scheduler");
    if (scheduler == parameters.end()) {
        replyError(request, ErrorKind::InvalidValue, "the parameter scheduler is missing");
        return;
    }
    if (const auto interval = parameters.find("interval_us"); interval != parameters.end()) {
        const auto microseconds = readMicroseconds(interval->second);
        if (!microseconds) {
            replyError(request, ErrorKind::InvalidValue, "the parameter interval_us is no number of microseconds: " + interval->second);
            return;
        }
        setReportInterval(EntryName(scheduler->second), *microseconds);
    }
    const auto number = ++m_lastWatcher;
    auto &watcher = m_watchers.emplace(number, OpenExchange{EntryName(scheduler->second), request.exchange}).first->second;
    request.exchange->onGone([this, number] { watcherGone(number); });
    m_unwatchedSince.erase(watcher.scheduler);
    tell(watcher);
}

void GuardServer::watcherGone(std::uint64_t watcher)
{
    const auto found = m_watchers.find(watcher);
    if (found == m_watchers.end()) {
        return;
    }
    const auto scheduler = found->second.scheduler;
    m_watchers.erase(found);
    if (!isWatched(scheduler)) {
        m_unwatchedSince[scheduler] = monotonicNow();
    }
}

bool GuardServer::isWatched(const EntryName &scheduler) const
{
    return std::ranges::any_of(m_watchers, [&](const auto &item) { return item.second.scheduler == scheduler; });
}

void GuardServer::dropUnwatched()
{
    const auto now = monotonicNow();
    std::vector<EntryName> gone;
    for (const auto &[scheduler, since] : m_unwatchedSince) {
        if (now - since >= UnwatchedLimit) {
            gone.push_back(scheduler);
        }
    }
    for (const auto &scheduler : gone) {
        drop(scheduler);
    }
}

void GuardServer::drop(const EntryName &scheduler)
{
    std::vector<ConnectionId> dropped;
    for (const auto &[connection, batch] : m_batches) {
        if (batch.scheduler == scheduler) {
            dropped.push_back(connection);
        }
    }
    if (!dropped.empty()) {
        writeLog({Severity::Warning,
                  "guard",
                  "Scheduler " + scheduler.value() + " is gone; its " + std::to_string(dropped.size()) + " batches are stopped."});
    }
    m_seen.erase(scheduler);
    m_reportIntervals.erase(scheduler);
    m_unwatchedSince.erase(scheduler);
    for (const auto connection : dropped) {
        // The step that follows an earlier one may have ended this batch.
        if (const auto batch = m_batches.extract(connection); !batch.empty()) {
            batch.mapped().exchange->endStream();
            m_input.emit(BatchAbandoned{connection});
        }
    }
}

void GuardServer::carryOut(const ReportRun &output)
{
    if (const auto found = m_batches.find(output.connection); found != m_batches.end()) {
        found->second.exchange->stream(encode(output.report) + "\n");
    }
}

void GuardServer::carryOut(const ProjectRun &output)
{
    if (const auto found = m_batches.find(output.connection); found != m_batches.end()) {
        found->second.exchange->stream(encode(output.projection) + "\n");
    }
}

void GuardServer::carryOut(const EndBatch &output)
{
    if (const auto found = m_batches.find(output.connection); found != m_batches.end()) {
        const auto exchange = found->second.exchange;
        m_batches.erase(found);
        exchange->onGone(nullptr);
        exchange->endStream();
    }
}

void GuardServer::carryOut(const CapacityChanged &output)
{
    const bool urgent = output.report.accepting != m_room.accepting;
    m_room = output.report;
    if (urgent) {
        tellAll();
        return;
    }
    for (auto &[number, watcher] : m_watchers) {
        watcher.isBehind = true;
    }
    startTellTimer();
}

void GuardServer::carryOut(const UpstreamCrashed &output)
{
    const auto now = monotonicNow();
    while (!m_crashes.empty() && (m_crashes.begin()->second.expiresAt <= now || m_crashes.size() >= MaxCrashes)) {
        m_crashes.erase(m_crashes.begin());
    }
    // A refutation takes the place of the notice that it is about.
    std::erase_if(m_crashes, [&](const auto &item) { return item.second.notice.number == output.notice.number; });
    m_crashes.emplace(++m_lastCrash, output);
    tellAll();
}

void GuardServer::carryOut(const CancellationTaken &output)
{
    const auto now = monotonicNow();
    while (!m_cancellations.empty() && (m_cancellations.begin()->second.expiresAt <= now || m_cancellations.size() >= MaxCancellations)) {
        m_cancellations.erase(m_cancellations.begin());
    }
    m_cancellations.emplace(++m_lastCancellation, ToldCancellation{encode(JobCancellation{output.jobs}) + "\n", output.expiresAt});
    tellAll();
    if (const auto request = m_cancelRequests.extract(output.connection); !request.empty()) {
        request.mapped()->reply({HttpStatus::Ok, encode(JobCancellationReply{output.stopped}), "application/json", {}});
    }
}

std::string GuardServer::takeUntoldCancellations(OpenExchange &watcher) const
{
    const auto now = monotonicNow();
    std::string lines;
    for (auto position = m_cancellations.upper_bound(watcher.toldCancellation); position != m_cancellations.end(); ++position) {
        if (position->second.expiresAt > now) {
            lines += position->second.line;
        }
    }
    watcher.toldCancellation = m_lastCancellation;
    return lines;
}

std::string GuardServer::takeUntoldCrashes(OpenExchange &watcher) const
{
    const auto now = monotonicNow();
    std::string lines;
    for (const auto &[number, crash] : m_crashes) {
        if (number > watcher.toldCrash && crash.expiresAt > now) {
            watcher.toldCrash = number;
            lines += encode(crash.notice) + "\n";
        }
    }
    return lines;
}

void GuardServer::setReportInterval(const EntryName &scheduler, Duration interval)
{
    m_reportIntervals[scheduler] = std::clamp(interval, MinReportInterval, SteadyInterval);
}

MonotonicTime GuardServer::tellAt(const OpenExchange &watcher) const
{
    const auto interval = m_reportIntervals.find(watcher.scheduler);
    return watcher.toldAt + (interval == m_reportIntervals.end() ? MinReportInterval : interval->second);
}

void GuardServer::startTellTimer()
{
    auto next = MonotonicTime::max();
    for (const auto &[number, watcher] : m_watchers) {
        if (watcher.isBehind) {
            next = std::min(next, tellAt(watcher));
        }
    }
    if (next != MonotonicTime::max()) {
        m_tellTimer.start(std::max(next - monotonicNow(), MinReportInterval));
    }
}

void GuardServer::tellDue()
{
    const auto now = monotonicNow();
    tellWatchers([this, now](const OpenExchange &watcher) { return watcher.isBehind && tellAt(watcher) <= now; });
}

void GuardServer::tellQuiet()
{
    m_steadyTimer.start(SteadyInterval / 2);
    const auto quietSince = monotonicNow() - SteadyInterval / 2;
    tellWatchers([quietSince](const OpenExchange &watcher) { return watcher.toldAt <= quietSince; });
}

void GuardServer::tellAll()
{
    tellWatchers([](const OpenExchange & /*watcher*/) { return true; });
}

void GuardServer::tellWatchers(const std::function<bool(const OpenExchange &)> &isDue)
{
    std::vector<std::uint64_t> due;
    for (const auto &[number, watcher] : m_watchers) {
        if (isDue(watcher)) {
            due.push_back(number);
        }
    }
    for (const auto number : due) {
        // Writing may find that another stream has ended.
        if (const auto found = m_watchers.find(number); found != m_watchers.end()) {
            tell(found->second);
        }
    }
    startTellTimer();
}

std::size_t GuardServer::unsentBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[number, watcher] : m_watchers) {
        bytes += watcher.exchange->unsentBytes();
    }
    return bytes;
}

void GuardServer::endWatches()
{
    m_watchesEnded = true;
    for (const auto &[number, watcher] : std::exchange(m_watchers, {})) {
        watcher.exchange->onGone(nullptr);
        watcher.exchange->endStream();
    }
}

void GuardServer::tell(OpenExchange &watcher)
{
    const auto now = monotonicNow();
    watcher.toldAt = now;
    watcher.isBehind = watcher.exchange->unsentBytes() > 0;
    if (watcher.isBehind) {
        return; // it reads more slowly than room changes: the next report is newer than all that it misses
    }
    auto lines = takeUntoldCancellations(watcher) + takeUntoldCrashes(watcher);
    auto room = m_room;
    if (const auto seen = m_seen.find(watcher.scheduler); seen != m_seen.end()) {
        room.lastCountedBatch = seen->second;
    }
    room.clock = GuardTime(now.time_since_epoch().count());
    lines += encode(room) + "\n";
    const auto exchange = watcher.exchange; // if the stream has ended, writing to it may remove the watcher
    exchange->stream(lines);
}

} // namespace Sycamoremoor
