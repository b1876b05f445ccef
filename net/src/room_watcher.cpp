// Keeps a scheduler informed of the room of every worker in the directory.
#include <sycamoremoor/net/room_watcher.h>

#include <sycamoremoor/net/http_client.h>
#include <sycamoremoor/net/line_reader.h>
#include <sycamoremoor/net/log_func.h>
#include <sycamoremoor/net/path_type.h>
#include <sycamoremoor/net/timer.h>
#include <sycamoremoor/wire/message_codec.h>

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
constexpr Duration WatchLimit = std::chrono::hours(24); ///< a watch has no end of its own

} // namespace

/** The exchange with one guard. */
struct RoomWatcher::Watch {
    AgentRecord record;
    bool listed = true; ///< in the directory
    bool heard = false; ///< since the exchange was opened
    CallNumber call = 0;
    Duration reopenDelay = ReopenDelay;
    LineReader lines;
    std::unique_ptr<Timer> silence;
    std::unique_ptr<Timer> reopen;
};

RoomWatcher::RoomWatcher(EventLoop &loop, HttpClient &client, EntryName scheduler)
    : m_loop(loop)
    , m_client(client)
    , m_scheduler(std::move(scheduler))
{
}

RoomWatcher::~RoomWatcher() = default;

sigc::signal<void(SchedulerInput)> &RoomWatcher::signalInput()
{
    return m_input;
}

void RoomWatcher::setGuards(const std::map<AgentName, AgentRecord> &guards)
{
    for (const auto &[agent, record] : guards) {
        auto &watch = m_watches[agent];
        if (watch && watch->record == record) {
            watch->listed = true;
            continue;
        }
        if (watch) {
            m_client.cancel(watch->record.endpoint, watch->call);
        }
        watch = std::make_unique<Watch>();
        watch->record = record;
        auto *opened = watch.get();
        watch->silence = std::make_unique<Timer>(m_loop, [this, opened] { broken(*opened); });
        watch->reopen = std::make_unique<Timer>(m_loop, [this, opened] { open(*opened); });
        watch->reopen->start(Duration::zero());
    }
    std::erase_if(m_watches, [&](const auto &item) {
        const auto &[agent, watch] = item;
        watch->listed = guards.contains(agent);
        if (watch->listed || watch->heard) {
            return false; // records can be lost while the store is away: a guard that answers is there
        }
        m_client.cancel(watch->record.endpoint, watch->call);
        return true;
    });
}

std::optional<Endpoint> RoomWatcher::endpoint(const AgentName &agent) const
{
    const auto found = m_watches.find(agent);
    return found == m_watches.end() ? std::nullopt : std::optional(found->second->record.endpoint);
}

void RoomWatcher::open(Watch &watch)
{
    watch.lines = {};
    ClientCall call;
    call.endpoint = watch.record.endpoint;
    call.method = RequestMethod::Get;
    call.path = std::string(Path::WatchRoom) + "?scheduler=" + m_scheduler.value();
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
    watch.silence->start(SilenceLimit);
    std::vector<CapacityReport> rooms;
    watch.lines.take(part, [&rooms](std::string_view line) {
        if (CapacityReport room; const auto error = decode(line, room)) {
            writeLog({Severity::Error, "rooms", "A report of room cannot be read: " + error->detail + "."});
        } else {
            rooms.push_back(std::move(room));
        }
    });
    for (auto &room : rooms) {
        watch.heard = true;
        watch.reopenDelay = ReopenDelay;
        m_input.emit(CapacityReported{watch.record.agent, watch.record.zone, std::move(room)});
    }
}

void RoomWatcher::broken(Watch &watch)
{
    m_client.cancel(watch.record.endpoint, watch.call);
    watch.silence->stop();
    const auto agent = watch.record.agent;
    if (std::exchange(watch.heard, false)) {
        m_input.emit(WorkerUnreachable{agent});
    }
    if (!watch.listed) {
        // The timer that calls this belongs to the watch: it is forgotten with the next change of the directory.
        return;
    }
    watch.reopen->start(watch.reopenDelay);
    watch.reopenDelay = std::min(watch.reopenDelay * 2, LongestReopenDelay);
}

} // namespace Sycamoremoor
