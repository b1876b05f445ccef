// Drives one scheduler over loopback with a limit on its processor time, and prints second by second what callers get.
#include "load_guards.h"

#include <sycamoremoor/core/scheduler_machine.h>
#include <sycamoremoor/net/batch_sender.h>
#include <sycamoremoor/net/clock_func.h>
#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/net/http_client.h>
#include <sycamoremoor/net/http_exchange.h>
#include <sycamoremoor/net/http_server.h>
#include <sycamoremoor/net/log_func.h>
#include <sycamoremoor/net/machine_driver.h>
#include <sycamoremoor/net/metric_registry.h>
#include <sycamoremoor/net/random_bits.h>
#include <sycamoremoor/net/room_watcher.h>
#include <sycamoremoor/wire/http_status.h>

#include <sigc++/functors/mem_fun.h>

#include <event2/event.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <map>
#include <random>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

using namespace Sycamoremoor;
using std::chrono::milliseconds;

namespace
{

constexpr std::int64_t NanosecondsPerMicrosecond = 1'000;
constexpr std::int64_t MicrosecondsPerSecond = 1'000'000;
constexpr Duration CallerPatience = milliseconds(1'500);
constexpr Duration LatencyAllowance = milliseconds(60);
constexpr double Stretch = 1.6;

/** Processor time of the calling thread. */
Duration threadTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return Duration(time.tv_sec * MicrosecondsPerSecond + time.tv_nsec / NanosecondsPerMicrosecond);
}

/** A kind of job and how many of them arrive at each scheduler. */
struct JobKind {
    const char *name;
    int tasks;
    Duration runTime;
    double share; ///< of the jobs
    bool urgent;
};

constexpr std::array JobKinds{
    JobKind{"quick", 8, milliseconds(60), 0.24, true},
    JobKind{"heavy", 4, milliseconds(900), 0.055, false},
    JobKind{"middle", 2, milliseconds(200), 0.705, false},
};

/** Numbers of one second. */
struct Interval {
    std::atomic<int> sent{0};
    std::atomic<int> inTime{0};
    std::atomic<int> late{0};
    std::atomic<int> refused{0};
    std::atomic<int> failed{0};
    std::atomic<int> batches{0};
    std::atomic<int> reports{0};
    std::atomic<int> renewals{0};
    std::atomic<int> rounds{0};
    std::atomic<std::int64_t> longestRound{0};
    std::atomic<std::int64_t> processor{0};
    std::atomic<int> connections{0};
};

std::vector<Interval> &intervals()
{
    static std::vector<Interval> all(120);
    return all;
}

MonotonicTime &startTime()
{
    static MonotonicTime start = monotonicNow();
    return start;
}

Interval &interval(MonotonicTime at)
{
    const auto index = std::chrono::duration_cast<std::chrono::seconds>(at - startTime()).count();
    return intervals().at(static_cast<std::size_t>(std::max<std::int64_t>(0, index)));
}

/** A scheduler with its sockets. Callers submit jobs as "TASKS MILLISECONDS URGENT". */
class LoadedScheduler
{
public:
    LoadedScheduler(EventLoop &loop, const std::map<AgentName, AgentRecord> &guards)
        : m_callers(loop, Endpoint{"127.0.0.1", 0}, {}, [this](const HttpExchangePointer &exchange) { take(exchange); })
        , m_client(loop)
        , m_rooms(loop,
                  m_client,
                  EntryName("scheduler"),
                  GuardSubset(EntryName("scheduler"), ZoneName("zone"), guards.size()),
                  {[this] { return m_driver.machine().reportInterval(); },
                   [this](const AgentName &agent) { return m_driver.machine().isUsing(agent); },
                   [this] {
                       return m_driver.machine().missesWorkers();
                   }})
        , m_batches(loop, m_client, m_metrics, [this](const AgentName &agent) { return m_rooms.endpoint(agent); })
        , m_driver(
              loop,
              SchedulerMachine({EntryName("scheduler"), Incarnation(1), ZoneName("zone")}),
              m_metrics,
              [this] { return m_random(); },
              *this)
    {
        m_rooms.signalInput().connect([this](SchedulerInput input) {
            ++interval(monotonicNow()).reports;
            m_driver.feed(std::move(input));
        });
        m_batches.signalInput().connect(sigc::mem_fun(m_driver, &Driver::feed));
        auto queues = std::make_shared<QueueSet>();
        queues->version = Revision(1);
        m_driver.feed(QueuesRead{queues});
        m_rooms.setGuards(guards);
    }

    [[nodiscard]] const Endpoint &endpoint() const
    {
        return m_callers.endpoint();
    }

    [[nodiscard]] std::size_t connections() const
    {
        return m_client.connections();
    }

private:
    using Driver = MachineDriver<SchedulerMachine, SchedulerInput, SchedulerOutput, LoadedScheduler>;
    friend Driver;

    void take(const HttpExchangePointer &exchange)
    {
        std::istringstream body(exchange->request().body);
        int tasks = 1;
        std::int64_t runMilliseconds = 0;
        int urgent = 0;
        body >> tasks >> runMilliseconds >> urgent;
        auto spec = std::make_shared<QueueJobSpec>();
        spec->id = QueueJobId(exchange->request().path);
        spec->payload = std::to_string(runMilliseconds) + std::string(400, 'x');
        spec->steps.push_back({.count = static_cast<std::uint32_t>(tasks),
                               .size = {MilliCores(2'900), Megabytes(64), Accelerators(0)},
                               .declaredRunTime = milliseconds(runMilliseconds)});
        QueueRecord queue;
        queue.name = QueueName(urgent != 0 ? "urgent" : "ordinary");
        queue.service = ServiceName("service");
        queue.priority = urgent != 0 ? 0 : 1;
        queue.maxAttempts = 3;
        queue.stretch = Stretch;
        queue.latencyAllowance = LatencyAllowance;
        const ConnectionId connection(++m_lastConnection);
        m_open[connection] = exchange;
        exchange->onGone([this, connection] {
            m_open.erase(connection);
            m_driver.feed(CallerDisconnected{connection});
        });
        m_driver.feed(QueueJobSubmitted{connection, std::make_shared<const QueueRecord>(queue), spec, CallerPatience});
    }

    void carryOut(const SendBatch &output)
    {
        ++interval(monotonicNow()).batches;
        m_batches.carryOut(output);
    }

    void carryOut(const RenewBatches &output)
    {
        ++interval(monotonicNow()).renewals;
        m_batches.carryOut(output);
    }

    void carryOut(const RecallBatch &output)
    {
        m_batches.carryOut(output);
    }

    void carryOut(const CancelBatch &output)
    {
        m_batches.carryOut(output);
    }

    void carryOut(const AnswerQueueJob &output)
    {
        if (const auto node = m_open.extract(output.connection); !node.empty()) {
            const auto status = output.result == QueueJobResult::Complete ? HttpStatus::Ok
                : output.result == QueueJobResult::Refused                ? HttpStatus::ServiceUnavailable
                                                                          : HttpStatus::InternalServerError;
            node.mapped()->reply({status, "{}", "application/json", {}});
        }
    }

    void carryOut(const SpreadCancel & /*output*/) { }
    void carryOut(const AnswerCancel & /*output*/) { }

    void carryOut(const Stopped & /*output*/) { }

    RandomBits m_random;
    MetricRegistry m_metrics;
    HttpServer m_callers;
    HttpClient m_client;
    RoomWatcher m_rooms;
    BatchSender m_batches;
    std::map<ConnectionId, HttpExchangePointer> m_open;
    std::uint64_t m_lastConnection = 0;
    Driver m_driver;
};

/** Runs the loop round by round, and sleeps after each so that the thread uses no more than its share of a core. */
void runLimited(EventLoop &loop, const LoadedScheduler &scheduler, double share, const std::atomic<bool> &stop)
{
    Duration debt{};
    while (!stop) {
        const auto before = threadTime();
        const auto began = monotonicNow();
        event_base_loop(loop.base(), EVLOOP_ONCE);
        const auto used = threadTime() - before;
        debt += Duration(static_cast<std::int64_t>(static_cast<double>(used.count()) * (1 / share - 1)));
        if (debt > milliseconds(1)) {
            std::this_thread::sleep_for(debt);
            debt = {};
        }
        auto &current = interval(began);
        ++current.rounds;
        current.processor += used.count();
        const auto length = static_cast<std::int64_t>(static_cast<double>(used.count()) / share);
        current.longestRound = std::max(current.longestRound.load(), length);
        current.connections = static_cast<int>(scheduler.connections());
    }
}

/** Submits jobs at random times. */
class LoadCallers
{
public:
    LoadCallers(EventLoop &loop, Endpoint scheduler, std::function<double(Duration)> jobsPerSecond)
        : m_client(loop)
        , m_scheduler(std::move(scheduler))
        , m_jobsPerSecond(std::move(jobsPerSecond))
        , m_timer(loop, [this] { submitDue(); })
    {
        m_next = monotonicNow();
        m_timer.start(Duration::zero());
    }

private:
    void submitDue()
    {
        while (m_next <= monotonicNow()) {
            submit();
            const auto rate = std::max(0.001, m_jobsPerSecond(m_next - startTime()));
            const auto gap = std::exponential_distribution<double>(rate)(m_random);
            m_next += Duration(static_cast<std::int64_t>(gap * static_cast<double>(MicrosecondsPerSecond)));
        }
        m_timer.start(milliseconds(1));
    }

    void submit()
    {
        auto pick = std::uniform_real_distribution<double>(0, 1)(m_random);
        const auto *kind = &JobKinds.front();
        for (const auto &candidate : JobKinds) {
            kind = &candidate;
            pick -= candidate.share;
            if (pick < 0) {
                break;
            }
        }
        ClientCall call;
        call.endpoint = m_scheduler;
        call.path = "/job" + std::to_string(++m_lastJob);
        call.body = std::to_string(kind->tasks) + " " + std::to_string(kind->runTime.count() / 1'000) + " " + (kind->urgent ? "1" : "0");
        call.timeLimit = CallerPatience;
        const auto sentAt = monotonicNow();
        ++interval(sentAt).sent;
        m_client.send(std::move(call), [sentAt, kind](const ClientResult &result) {
            auto &second = interval(sentAt);
            const auto objective
                = Duration(static_cast<std::int64_t>(static_cast<double>(kind->runTime.count()) * Stretch)) + LatencyAllowance;
            if (result.answered && result.status == HttpStatus::Ok) {
                ++(monotonicNow() - sentAt <= objective ? second.inTime : second.late);
            } else {
                ++(result.answered && result.status == HttpStatus::ServiceUnavailable ? second.refused : second.failed);
            }
        });
    }

    HttpClient m_client;
    Endpoint m_scheduler;
    std::function<double(Duration)> m_jobsPerSecond;
    Timer m_timer;
    std::mt19937_64 m_random{1};
    MonotonicTime m_next;
    std::uint64_t m_lastJob = 0;
};

double option(int argc, char **argv, std::string_view name, double otherwise)
{
    for (int index = 1; index < argc; ++index) {
        const std::string_view word(argv[index]);
        if (word.starts_with(name) && word.size() > name.size() && word[name.size()] == '=') {
            return std::atof(word.data() + name.size() + 1);
        }
    }
    return otherwise;
}

} // namespace

int main(int argc, char **argv)
{
    startLog(Severity::Error, LogFormat::Text);
    const auto share = option(argc, argv, "--share", 0.12);
    const auto rate = option(argc, argv, "--rate", 100);
    const auto burst = option(argc, argv, "--burst", 1);
    const auto seconds = static_cast<int>(option(argc, argv, "--seconds", 12));
    const auto guardCount = static_cast<std::uint32_t>(option(argc, argv, "--guards", 61));
    const auto others = option(argc, argv, "--others", 2'900);
    std::atomic<bool> stop{false};

    EventLoop guardLoop;
    LoadGuards guards(guardLoop, guardCount, others);
    const auto records = guards.records();
    std::thread guardThread([&guardLoop] { guardLoop.run(); });

    EventLoop schedulerLoop;
    LoadedScheduler scheduler(schedulerLoop, records);
    std::thread schedulerThread([&] { runLimited(schedulerLoop, scheduler, share, stop); });
    std::this_thread::sleep_for(std::chrono::seconds(2));

    startTime() = monotonicNow();
    EventLoop callerLoop;
    LoadCallers callers(callerLoop, scheduler.endpoint(), [&](Duration time) {
        const bool inBurst = time >= std::chrono::seconds(seconds / 3) && time < std::chrono::seconds(seconds / 2);
        return time < std::chrono::seconds(seconds) ? rate * (inBurst ? burst : 1) : 0.01;
    });
    std::thread callerThread([&callerLoop] { callerLoop.run(); });
    std::this_thread::sleep_for(std::chrono::seconds(seconds + 2));
    stop = true;
    callerLoop.stop();
    schedulerThread.join();
    callerThread.join();
    guardLoop.stop();
    guardThread.join();
    std::printf("second sent in_time late refused failed | batches reports renewals rounds longest_ms cores connections\n");
    for (int second = 0; second < seconds; ++second) {
        const auto &row = intervals().at(static_cast<std::size_t>(second));
        std::printf("%6d %4d %7d %4d %7d %6d | %7d %7d %8d %6d %10.1f %.3f %6d\n",
                    second,
                    row.sent.load(),
                    row.inTime.load(),
                    row.late.load(),
                    row.refused.load(),
                    row.failed.load(),
                    row.batches.load(),
                    row.reports.load(),
                    row.renewals.load(),
                    row.rounds.load(),
                    static_cast<double>(row.longestRound.load()) / 1'000,
                    static_cast<double>(row.processor.load()) / 1e6,
                    row.connections.load());
    }
    return 0;
}
