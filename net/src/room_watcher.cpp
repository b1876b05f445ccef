// Keeps a scheduler informed of the room of every worker in the directory.
#include <sycamoremoor/net/room_watcher.h>

#include <sycamoremoor/net/clock_func.h>
#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/net/http_client.h>
#include <sycamoremoor/net/line_reader.h>
#include <sycamoremoor/net/log_func.h>
#include <sycamoremoor/net/path_type.h>
#include <sycamoremoor/net/timer.h>
#include <sycamoremoor/wire/message_codec.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Sycamoremoor
{

namespace
{

constexpr Duration SilenceLimit = std::chrono::milliseconds(900); ///< guards speak every 250 ms; a busy one may be late by two
constexpr Duration ConnectLimit = std::chrono::milliseconds(400);
constexpr Duration ReopenDelay = std::chrono::milliseconds(150);
constexpr Duration LongestReopenDelay = std::chrono::milliseconds(1000);
constexpr std::string_view CrashNoticeStart = R"({"crashed_guard":)";   ///< tells a notice of a crash from a report of room
constexpr std::string_view CancellationStart = R"({"cancelled_jobs":)"; ///< tells cancelled jobs from a report of room
constexpr Duration RepeatTime
    = std::chrono::seconds(10); ///< in which the guards that a scheduler told of a cancellation have all passed it on
constexpr Duration FollowInterval = std::chrono::milliseconds(500); ///< between choices of the guards to follow
constexpr Duration SilentTime = std::chrono::seconds(1);            ///< without a report, until another guard is followed instead
constexpr Duration LingerTime = std::chrono::seconds(10);           ///< for which a guard is followed after it was in the subset
constexpr Duration WatchLimit = std::chrono::hours(24);             ///< a watch has no end of its own

} // namespace

/** The exchange with one guard. */
struct RoomWatcher::Watch {
    AgentRecord record;
    bool heard = false;                         ///< since the exchange was opened
    MonotonicTime silentSince;                  ///< when nothing was heard any more, unless heard
    std::optional<MonotonicTime> unchosenSince; ///< when the guard was no longer in the subset, if it is not
    CallNumber call = 0;
    Duration reopenDelay = ReopenDelay;
    LineReader lines;
    std::string newestReport; ///< read in this round of the loop and not decoded yet
    std::unique_ptr<Timer> silence;
    std::unique_ptr<Timer> reopen;
};

RoomWatcher::RoomWatcher(EventLoop &loop, HttpClient &client, EntryName scheduler, GuardSubset subset, RoomWatcherHooks hooks)
    : m_loop(loop)
    , m_client(client)
    , m_scheduler(std::move(scheduler))
    , m_subset(std::move(subset))
    , m_hooks(std::move(hooks))
    , m_followTimer(loop, [this] { follow(); })
{
    m_followTimer.start(FollowInterval);
}

RoomWatcher::~RoomWatcher() = default;

sigc::signal<void(SchedulerInput)> &RoomWatcher::signalInput()
{
    return m_input;
}

void RoomWatcher::setGuards(const GuardSubset::Guards &guards)
{
    m_listed = guards;
    follow();
}

void RoomWatcher::follow()
{
    m_followTimer.start(FollowInterval);
    const bool isWidened = m_hooks.missesWorkers();
    if (isWidened) {
        m_subset.widen();
    }
    const auto now = monotonicNow();
    auto candidates = m_listed;
    std::set<AgentName> silent;
    for (const auto &[agent, watch] : m_watches) {
        if (watch->heard) {
            candidates.emplace(agent, watch->record); // records can be lost while the store is away: a guard that answers is there
        } else if (watch->silentSince + SilentTime <= now) {
            silent.insert(agent);
        }
    }
    const auto chosen = m_subset.choose(candidates, silent);
    for (const auto &agent : chosen) {
        watch(candidates.at(agent));
    }
    std::vector<AgentName> unchosen;
    for (const auto &[agent, watch] : m_watches) {
        if (chosen.contains(agent)) {
            watch->unchosenSince.reset();
        } else {
            unchosen.push_back(agent);
        }
    }
    std::vector<AgentName> unfollowed;
    std::ranges::copy_if(unchosen, std::back_inserter(unfollowed), [&](const auto &agent) { return unfollow(agent, now); });
    // Inputs come last: what they cause may choose anew.
    tellChoice(chosen.size(), candidates.size(), isWidened);
    for (const auto &agent : unfollowed) {
        m_input.emit(WorkerUnfollowed{agent});
    }
}

bool RoomWatcher::unfollow(const AgentName &agent, MonotonicTime now)
{
    const bool isUsed = m_hooks.isUsing(agent);
    const auto found = m_watches.find(agent);
    if (found == m_watches.end()) {
        return false;
    }
    auto &watch = *found->second;
    const auto since = watch.unchosenSince.value_or(now);
    watch.unchosenSince = since;
    if (m_listed.contains(agent) && (since + LingerTime > now || isUsed)) {
        return false; // the choice may soon be as it was, and the guard's clock is needed to renew the leases of batches
    }
    m_client.cancel(watch.record.endpoint, watch.call);
    const bool wasHeard = watch.heard;
    m_watches.erase(found);
    return wasHeard;
}

void RoomWatcher::tellChoice(std::size_t chosen, std::size_t all, bool isWidened)
{
    const bool isAll = chosen == all;
    if (!isWidened && isAll == m_choseAll) {
        return;
    }
    m_choseAll = isAll;
    if (isWidened) {
        writeLog({Severity::Info,
                  "rooms",
                  "More workers are followed: jobs were refused that few of them can hold.",
                  {{"workers", std::to_string(chosen)}, {"of", std::to_string(all)}}});
    }
    m_input.emit(WorkersChosen{chosen, isAll});
}

void RoomWatcher::watch(const AgentRecord &record)
{
    auto &watch = m_watches[record.agent];
    if (watch && watch->record == record) {
        return;
    }
    if (watch) {
        m_client.cancel(watch->record.endpoint, watch->call);
    }
    watch = std::make_unique<Watch>();
    watch->record = record;
    watch->silentSince = monotonicNow();
    auto *opened = watch.get();
    watch->silence = std::make_unique<Timer>(m_loop, [this, opened] { broken(*opened); });
    watch->reopen = std::make_unique<Timer>(m_loop, [this, opened] { open(*opened); });
    watch->reopen->start(Duration::zero());
}

std::optional<Endpoint> RoomWatcher::endpoint(const AgentName &agent) const
{
    if (const auto found = m_watches.find(agent); found != m_watches.end()) {
        return found->second->record.endpoint;
    }
    const auto found = m_listed.find(agent);
    return found == m_listed.end() ? std::nullopt : std::optional(found->second.endpoint);
}

KnownGuards RoomWatcher::guards() const
{
    KnownGuards guards;
    for (const auto &[agent, record] : m_listed) {
        guards[agent].endpoint = record.endpoint;
    }
    for (const auto &[agent, watch] : m_watches) {
        guards[agent] = {watch->record.endpoint, watch->heard};
    }
    return guards;
}

void RoomWatcher::open(Watch &watch)
{
    watch.lines = {};
    watch.newestReport.clear();
    ClientCall call;
    call.endpoint = watch.record.endpoint;
    call.method = RequestMethod::Get;
    call.path = std::string(Path::WatchRoom) + "?scheduler=" + m_scheduler.value()
        + "&interval_us=" + std::to_string(m_hooks.reportInterval().count());
    call.connectLimit = ConnectLimit;
    call.timeLimit = WatchLimit;
    call.newConnection = true;
    call.received = [this, &watch](std::string_view part) {
        received(watch, part);
    };
    const auto agent = watch.record.agent;
    watch.silence->start(SilenceLimit);
    watch.call = m_client.send(std::move(call), [this, agent](const ClientResult & /*result*/) {
        if (const auto found = m_watches.find(agent); found != m_watches.end()) {
            broken(*found->second);
        }
    });
}

void RoomWatcher::received(Watch &watch, std::string_view part)
{
    const bool isFirst = watch.newestReport.empty();
    std::vector<std::string> notices;
    std::vector<std::string> cancellations;
    watch.lines.take(part, [&](std::string_view line) {
        if (line.starts_with(CrashNoticeStart)) {
            notices.emplace_back(line);
        } else if (line.starts_with(CancellationStart)) {
            cancellations.emplace_back(line);
        } else {
            watch.newestReport = line;
        }
    });
    const auto agent = watch.record.agent;
    if (isFirst && !watch.newestReport.empty()) {
        watch.silence->start(SilenceLimit);
        m_loop.atEndOfRound(RoundPhase::Decode, [this, agent] {
            if (const auto found = m_watches.find(agent); found != m_watches.end()) {
                decodeNewest(*found->second);
            }
        });
    }
    // Inputs come last: what they cause may end the watch.
    for (const auto &line : notices) {
        takeCrash(agent, line);
    }
    for (auto &line : cancellations) {
        takeCancellation(agent, std::move(line));
    }
}

void RoomWatcher::takeCancellation(const AgentName &agent, std::string line)
{
    const auto now = monotonicNow();
    if (line == m_lastCancellation && now < m_lastCancellationAt + RepeatTime) {
        return; // each guard passes it on
    }
    JobCancellation cancellation;
    if (const auto error = decode(line, cancellation)) {
        writeLog({Severity::Error, "rooms", "A cancellation cannot be read: " + error->detail + "."});
        return;
    }
    m_lastCancellation = std::move(line);
    m_lastCancellationAt = now;
    m_input.emit(JobsCancelledElsewhere{agent, std::move(cancellation.jobs)});
}

void RoomWatcher::takeCrash(const AgentName &agent, std::string_view line)
{
    CrashNotice notice;
    if (const auto error = decode(line, notice)) {
        writeLog({Severity::Error, "rooms", "A notice of a crash cannot be read: " + error->detail + "."});
        return;
    }
    m_input.emit(CrashReported{agent, std::move(notice)});
}

void RoomWatcher::decodeNewest(Watch &watch)
{
    const auto line = std::exchange(watch.newestReport, {});
    if (line.empty()) {
        return; // its connection was opened anew meanwhile
    }
    CapacityReport report;
    if (const auto error = decode(line, report)) {
        writeLog({Severity::Error, "rooms", "A report of room cannot be read: " + error->detail + "."});
        return;
    }
    watch.heard = true;
    watch.reopenDelay = ReopenDelay;
    m_input.emit(CapacityReported{watch.record.agent, watch.record.zone, std::move(report)});
}

void RoomWatcher::broken(Watch &watch)
{
    m_client.cancel(watch.record.endpoint, watch.call);
    watch.newestReport.clear();
    watch.silence->stop();
    const auto agent = watch.record.agent;
    const bool wasHeard = std::exchange(watch.heard, false);
    if (wasHeard) {
        watch.silentSince = monotonicNow();
    }
    // The timer that calls this belongs to the watch: if it is not listed, it is forgotten when the subset is chosen next.
    if (m_listed.contains(agent)) {
        watch.reopen->start(watch.reopenDelay);
        watch.reopenDelay = std::min(watch.reopenDelay * 2, LongestReopenDelay);
    }
    if (wasHeard) {
        m_input.emit(WorkerUnreachable{agent}); // last: what it causes may end the watch
    }
}

} // namespace Sycamoremoor
