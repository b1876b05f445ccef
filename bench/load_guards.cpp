// Stand-in guards with simulated runs, for load on a scheduler.
#include "load_guards.h"

#include <sycamoremoor/core/task_size_func.h>
#include <sycamoremoor/net/clock_func.h>
#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/net/guard_server.h>
#include <sycamoremoor/net/http_server.h>
#include <sycamoremoor/net/metric_registry.h>
#include <sycamoremoor/net/router.h>

#include <array>
#include <deque>
#include <string>
#include <utility>

namespace Sycamoremoor
{

namespace
{

using std::chrono::milliseconds;

constexpr Duration StepInterval = milliseconds(1);
constexpr TaskSize Capacity{MilliCores(36'000), Megabytes(131'072), Accelerators(0)};
constexpr TaskSize OtherTask{MilliCores(2'900), Megabytes(64), Accelerators(0)};

/** Run times of other schedulers' tasks, in the proportions of the jobs of the load. */
constexpr std::array OtherRunTimes{milliseconds(60),
                                   milliseconds(60),
                                   milliseconds(60),
                                   milliseconds(60),
                                   milliseconds(60),
                                   milliseconds(60),
                                   milliseconds(200),
                                   milliseconds(200),
                                   milliseconds(200),
                                   milliseconds(200),
                                   milliseconds(900)};

} // namespace

/** One guard with its runs. */
struct LoadGuards::Guard {
    struct Run {
        ConnectionId connection; ///< zero for a task of another scheduler
        std::uint32_t order = 0;
        TaskSize size;
        Duration runTime{};
        MonotonicTime startBy;
    };

    Guard(EventLoop &loop, const std::function<std::uint64_t()> &randomBits)
        : router(metrics, randomBits)
        , http(loop, Endpoint{"127.0.0.1", 0}, {}, [this](const HttpExchangePointer &exchange) { router.route(exchange); })
        , server(loop, router, metrics)
    {
    }

    MetricRegistry metrics;
    Router router;
    HttpServer http;
    GuardServer server;
    AgentName name;
    TaskSize free = Capacity;
    std::deque<Run> waiting;
    std::multimap<MonotonicTime, Run> running;
    std::map<ConnectionId, std::uint32_t> unreported; ///< runs of a batch that have not ended
    MonotonicTime nextOther;
    bool changed = true;
};

LoadGuards::LoadGuards(EventLoop &loop, std::uint32_t count, double otherTasksPerSecond)
    : m_otherTasksPerSecond(otherTasksPerSecond)
    , m_timer(loop, [this] { advance(); })
{
    for (std::uint32_t index = 0; index < count; ++index) {
        auto guard = std::make_unique<Guard>(loop, [this] { return m_random(); });
        guard->name = AgentName("guard-" + std::to_string(index));
        guard->nextOther = monotonicNow();
        auto *opened = guard.get();
        guard->server.signalInput().connect([this, opened](const GuardInput &input) {
            if (const auto *batch = std::get_if<BatchReceived>(&input)) {
                take(*opened, *batch);
            } else if (const auto *abandoned = std::get_if<BatchAbandoned>(&input)) {
                opened->unreported.erase(abandoned->connection);
            }
        });
        m_guards.push_back(std::move(guard));
    }
    m_timer.start(StepInterval);
}

LoadGuards::~LoadGuards() = default;

std::map<AgentName, AgentRecord> LoadGuards::records() const
{
    std::map<AgentName, AgentRecord> records;
    for (const auto &guard : m_guards) {
        records[guard->name] = {guard->name, guard->http.endpoint(), ZoneName("zone")};
    }
    return records;
}

void LoadGuards::take(Guard &guard, const BatchReceived &input)
{
    const auto now = monotonicNow();
    guard.unreported[input.connection] = static_cast<std::uint32_t>(input.batch.orders.size());
    const bool isStale = now > MonotonicTime(Duration(input.batch.receiveBy.value()));
    for (std::uint32_t order = 0; order < input.batch.orders.size(); ++order) {
        const auto &content = input.batch.orders[order];
        guard.waiting.push_back({input.connection,
                                 order,
                                 content.size,
                                 milliseconds(std::stol(input.batch.payload)),
                                 isStale ? MonotonicTime::min() : now + content.startWithin});
    }
    guard.changed = true;
    startWaiting(guard);
    reportCapacity(guard);
}

void LoadGuards::startWaiting(Guard &guard)
{
    const auto now = monotonicNow();
    std::deque<Guard::Run> left;
    const auto waiting = std::exchange(guard.waiting, {});
    for (const auto &run : waiting) {
        if (!guard.unreported.contains(run.connection)) {
            continue;
        }
        if (run.startBy < now) {
            RunReport report;
            report.order = run.order;
            report.error = run.startBy == MonotonicTime::min() ? ErrorKind::StaleMessage : ErrorKind::DeadlineUnreachable;
            guard.server.carryOut(ReportRun{run.connection, report});
            if (--guard.unreported[run.connection] == 0) {
                guard.unreported.erase(run.connection);
                guard.server.carryOut(EndBatch{run.connection});
            }
        } else if (fits(run.size, guard.free)) {
            guard.free -= run.size;
            guard.running.emplace(now + run.runTime, run);
        } else {
            left.push_back(run);
        }
    }
    guard.changed = guard.changed || left.size() != waiting.size();
    guard.waiting = std::move(left);
}

void LoadGuards::endDue(Guard &guard)
{
    const auto now = monotonicNow();
    while (!guard.running.empty() && guard.running.begin()->first <= now) {
        const auto run = guard.running.begin()->second;
        guard.running.erase(guard.running.begin());
        guard.free += run.size;
        guard.changed = true;
        const auto found = guard.unreported.find(run.connection);
        if (found == guard.unreported.end()) {
            continue;
        }
        RunReport report;
        report.order = run.order;
        report.outcome = RunOutcome::Done;
        report.runTime = run.runTime;
        guard.server.carryOut(ReportRun{run.connection, report});
        if (--found->second == 0) {
            guard.unreported.erase(found);
            guard.server.carryOut(EndBatch{run.connection});
        }
    }
}

void LoadGuards::startOthers(Guard &guard)
{
    const auto now = monotonicNow();
    while (guard.nextOther <= now) {
        const auto rate = m_otherTasksPerSecond / static_cast<double>(m_guards.size());
        guard.nextOther += Duration(static_cast<std::int64_t>(std::exponential_distribution<double>(rate)(m_random) * 1e6));
        if (fits(OtherTask, guard.free)) {
            guard.free -= OtherTask;
            guard.running.emplace(now + OtherRunTimes.at(m_random() % OtherRunTimes.size()), Guard::Run{{}, 0, OtherTask, {}, {}});
            guard.changed = true;
        }
    }
}

void LoadGuards::reportCapacity(Guard &guard)
{
    if (!std::exchange(guard.changed, false)) {
        return;
    }
    CapacityReport report;
    report.incarnation = Incarnation(1);
    report.accepting = true;
    report.service = ServiceName("service");
    report.capacity = Capacity;
    report.free = guard.free;
    for (const auto &run : guard.waiting) {
        report.free -= run.size;
    }
    report.waiting = static_cast<std::uint32_t>(guard.waiting.size());
    report.labels = {"a", "r1-3"};
    guard.server.carryOut(CapacityChanged{report});
}

void LoadGuards::advance()
{
    for (const auto &guard : m_guards) {
        endDue(*guard);
        startWaiting(*guard);
        startOthers(*guard);
        reportCapacity(*guard);
    }
    m_timer.start(StepInterval);
}

} // namespace Sycamoremoor
