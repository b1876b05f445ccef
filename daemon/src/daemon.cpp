// sycamoremoord: settings, signals, exit codes.
#include <sycamoremoor/daemon/daemon.h>

#include "guard_task.h"
#include "listener_limits_func.h"
#include "option_reader.h"
#include "scheduler_task.h"

#include <sycamoremoor/net/agent_task.h>
#include <sycamoremoor/net/clock_func.h>
#include <sycamoremoor/net/entry_task.h>
#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/net/log_func.h>
#include <sycamoremoor/net/random_bits.h>
#include <sycamoremoor/wire/text_codec.h>

#include <event2/event.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <system_error>
#include <thread>
#include <utility>

namespace Sycamoremoor
{

namespace
{

std::optional<std::string> readEnvironment(const std::string &name)
{
    const char *value = std::getenv(name.c_str()); // NOLINT(concurrency-mt-unsafe): read before any thread starts
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

/** Returns a new incarnation, never zero. */
Incarnation makeIncarnation()
{
    RandomBits randomBits;
    return Incarnation(randomBits() | 1U);
}

Endpoint advertisedBy(const DaemonSettings &settings)
{
    return settings.advertise.port == 0 ? settings.listen : settings.advertise;
}

/** Returns the limits on clients, within what the system allows. */
ClientLimits effectiveLimits(const DaemonSettings &settings)
{
    auto limits = settings.limits;
    limits.descriptors = std::min(limits.descriptors, systemDescriptors());
    if (limits.descriptors < settings.limits.descriptors) {
        writeLog({Severity::Info,
                  "daemon",
                  "The system allows " + std::to_string(limits.descriptors) + " descriptors; the limits follow that."});
    }
    return limits;
}

EntryTaskSettings entrySettings(const DaemonSettings &settings)
{
    EntryTaskSettings task;
    task.machine = settings.entry;
    task.machine.name = EntryName(settings.name);
    task.machine.incarnation = makeIncarnation();
    task.machine.endpoint = advertisedBy(settings);
    task.machine.zone = ZoneName(settings.zone);
    task.machine.region = RegionName(settings.region);
    task.machine.peerSeeds = settings.entries;
    task.listen = settings.listen;
    task.server = listenerSettings(effectiveLimits(settings), ListenerKind::Entry);
    task.platform.endpoints = settings.platform;
    return task;
}

AgentTaskSettings agentSettings(const DaemonSettings &settings)
{
    AgentTaskSettings task;
    task.machine = settings.agent;
    task.machine.name = AgentName(settings.name);
    task.machine.incarnation = makeIncarnation();
    task.machine.endpoint = advertisedBy(settings);
    task.machine.zone = ZoneName(settings.zone);
    task.machine.region = RegionName(settings.region);
    task.machine.entrySeeds = settings.entries;
    task.listen = settings.listen;
    task.server = listenerSettings(effectiveLimits(settings), ListenerKind::Agent);
    return task;
}

SchedulerTaskSettings schedulerSettings(const DaemonSettings &settings)
{
    SchedulerTaskSettings task;
    task.machine = settings.scheduler;
    task.machine.name = EntryName(settings.name);
    task.machine.incarnation = makeIncarnation();
    task.machine.zone = ZoneName(settings.zone);
    task.listen = settings.listen;
    task.callers = settings.callers;
    task.readiness = settings.readiness;
    task.store = settings.platform.front();
    task.followedWorkers = settings.followedWorkers;
    task.evacuateWithin = settings.evacuateWithin;
    task.limits = effectiveLimits(settings);
    return task;
}

GuardTaskSettings guardSettings(const DaemonSettings &settings)
{
    GuardTaskSettings task;
    task.machine = settings.guard;
    task.machine.zone = ZoneName(settings.zone);
    task.machine.evacuateWithin = settings.evacuateWithin;
    task.machine.incarnation = makeIncarnation();
    // Rises from life to life as long as the clock does; a guard that meets a higher token raises its own.
    task.machine.firstToken = FencingToken(std::chrono::duration_cast<std::chrono::milliseconds>(wallNow().time_since_epoch()).count());
    task.record = {AgentName(settings.name), advertisedBy(settings), ZoneName(settings.zone)};
    task.listen = settings.listen;
    task.announcements = settings.announcements;
    task.limits = effectiveLimits(settings);
    task.store = settings.platform.front();
    return task;
}

/** Runs one task on a thread of its own; the main thread waits for signals and for the task's end. */
template<typename Task, typename Settings>
class TaskRunner
{
public:
    explicit TaskRunner(Settings settings)
        : m_task(m_taskLoop, std::move(settings))
    {
        m_task.signalStopped().connect([this](std::uint32_t cutOff) { m_mainLoop.post([this, cutOff] { ended(cutOff); }); });
        watchSignal(SIGTERM, m_terminate);
        watchSignal(SIGINT, m_interrupt);
        m_hangUp = evsignal_new(m_mainLoop.base(), SIGHUP, &TaskRunner::hangUpReceived, this);
        evsignal_add(m_hangUp, nullptr);
    }

    ~TaskRunner()
    {
        event_free(m_terminate);
        event_free(m_interrupt);
        event_free(m_hangUp);
    }

    TaskRunner(const TaskRunner &) = delete;
    TaskRunner &operator=(const TaskRunner &) = delete;

    DaemonExit run()
    {
        writeLog({Severity::Info, "daemon", "Listening at " + endpointToString(m_task.endpoint()) + "."});
        std::thread thread([this] {
            m_task.start();
            m_taskLoop.run();
        });
        m_mainLoop.run();
        thread.join();
        return m_cutOff == 0 ? DaemonExit::Stopped : DaemonExit::CutOff;
    }

private:
    void watchSignal(int signal, event *&handle)
    {
        handle = evsignal_new(m_mainLoop.base(), signal, &TaskRunner::signalReceived, this);
        evsignal_add(handle, nullptr);
    }

    static void signalReceived(int /*signal*/, short /*what*/, void *self)
    {
        static_cast<TaskRunner *>(self)->beginStop();
    }

    static void hangUpReceived(int /*signal*/, short /*what*/, void * /*self*/)
    {
        writeLog({Severity::Info, "daemon", "SIGHUP changes nothing: settings are flags and variables, read at the start."});
    }

    void beginStop()
    {
        if (std::exchange(m_stopping, true)) {
            return; // a second signal changes nothing
        }
        writeLog({Severity::Info, "daemon", "A planned stop begins."});
        m_taskLoop.post([this] { m_task.drain(); });
    }

    void ended(std::uint32_t cutOff)
    {
        m_cutOff = cutOff;
        writeLog({Severity::Info, "daemon", "Stopped; submissions cut off: " + std::to_string(cutOff) + "."});
        m_taskLoop.stop();
        m_mainLoop.stop();
    }

    EventLoop m_mainLoop;
    EventLoop m_taskLoop;
    Task m_task;
    event *m_terminate = nullptr;
    event *m_interrupt = nullptr;
    event *m_hangUp = nullptr;
    bool m_stopping = false;
    std::uint32_t m_cutOff = 0;
};

DaemonExit runRole(const DaemonSettings &settings)
{
    switch (settings.role) {
    case DaemonRole::Entry:
        return TaskRunner<EntryTask, EntryTaskSettings>(entrySettings(settings)).run();
    case DaemonRole::Scheduler:
        return TaskRunner<SchedulerTask, SchedulerTaskSettings>(schedulerSettings(settings)).run();
    case DaemonRole::Guard:
        return TaskRunner<GuardTask, GuardTaskSettings>(guardSettings(settings)).run();
    default:
        return TaskRunner<AgentTask, AgentTaskSettings>(agentSettings(settings)).run();
    }
}

DaemonExit runGuarded(const DaemonSettings &settings)
{
    try {
        return runRole(settings);
    } catch (const std::system_error &error) {
        writeLog({Severity::Error, "daemon", error.what()});
        return DaemonExit::Address;
    } catch (const std::exception &error) {
        writeLog({Severity::Error, "daemon", error.what()});
        return DaemonExit::Fault;
    }
}

} // namespace

int runDaemon(int argc, char **argv)
{
    DaemonSettings settings;
    const auto errors = readSettings(argc, argv, &readEnvironment, settings);
    if (settings.showHelp) {
        std::cout << helpText();
        return static_cast<int>(DaemonExit::Stopped);
    }
    if (settings.showVersion) {
        std::cout << "sycamoremoord " << SYCAMOREMOOR_VERSION << '\n';
        return static_cast<int>(DaemonExit::Stopped);
    }
    for (const auto &error : errors) {
        std::cerr << "sycamoremoord: " << error << '\n';
    }
    if (!errors.empty()) {
        return static_cast<int>(DaemonExit::Settings);
    }
    if (settings.checkOnly) {
        std::cout << "The settings are in order.\n";
        return static_cast<int>(DaemonExit::Stopped);
    }
    std::signal(SIGPIPE, SIG_IGN);
    startLog(settings.logLevel, settings.logFormat);
    return static_cast<int>(runGuarded(settings));
}

} // namespace Sycamoremoor
