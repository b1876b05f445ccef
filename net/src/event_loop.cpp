// The event loop of one task, with a mailbox for other threads.
#include <sycamoremoor/net/event_loop.h>

#include <sycamoremoor/net/clock_func.h>

#include <event2/event.h>
#include <event2/thread.h>

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <system_error>
#include <utility>

namespace Sycamoremoor
{

namespace
{

/** A round whose poll may have returned only a part of what was ready: the process may have stood still for so long. */
constexpr Duration LateRound = std::chrono::milliseconds(250);
/** Makes an accepted connection, its first request and then the end of that connection part of a late round. */
constexpr int Laps = 3;
constexpr int MostLaps = 2 * Laps; ///< in a round that comes late again and again

event_base *makeBase()
{
    static const int threadSupport = evthread_use_pthreads();
    auto *base = threadSupport == 0 ? event_base_new() : nullptr;
    if (base == nullptr) {
        throw std::runtime_error("cannot make an event loop");
    }
    return base;
}

int makeMark()
{
    const int mark = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (mark < 0) {
        throw std::system_error(errno, std::generic_category(), "cannot make the mark of an event loop");
    }
    return mark;
}

} // namespace

EventLoop::EventLoop()
    : m_base(makeBase())
    , m_wakeUp(event_new(m_base, -1, EV_PERSIST, &EventLoop::mailboxReady, this))
    , m_roundEnd(event_new(m_base, -1, EV_PERSIST, &EventLoop::roundEnded, this))
    , m_mark(makeMark())
    , m_markReached(event_new(m_base, m_mark, EV_READ | EV_PERSIST, &EventLoop::markReached, this))
    , m_onTimeAt(monotonicNow())
{
    event_add(m_markReached, nullptr);
}

EventLoop::~EventLoop()
{
    event_free(m_markReached);
    close(m_mark);
    event_free(m_roundEnd);
    event_free(m_wakeUp);
    event_base_free(m_base);
}

void EventLoop::run()
{
    event_base_loop(m_base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::stop()
{
    event_base_loopbreak(m_base);
}

void EventLoop::post(Message message)
{
    {
        const std::lock_guard lock(m_mailboxMutex);
        m_mailbox.push_back(std::move(message));
    }
    event_active(m_wakeUp, EV_READ, 0);
}

void EventLoop::atEndOfRound(RoundPhase phase, Message message)
{
    m_endOfRound.at(static_cast<std::size_t>(phase)).push_back(std::move(message));
    event_active(m_roundEnd, EV_READ, 0); // goes behind the events that are ready already
}

event_base *EventLoop::base() const
{
    return m_base;
}

void EventLoop::mailboxReady(int /*socket*/, short /*what*/, void *self)
{
    static_cast<EventLoop *>(self)->readMailbox();
}

void EventLoop::roundEnded(int /*socket*/, short /*what*/, void *self)
{
    auto *loop = static_cast<EventLoop *>(self);
    if (!loop->m_isMarked && !loop->startLap()) {
        loop->endRound();
    }
}

void EventLoop::markReached(int mark, short /*what*/, void *self)
{
    eventfd_t laps = 0;
    eventfd_read(mark, &laps);
    auto *loop = static_cast<EventLoop *>(self);
    loop->m_isMarked = false;
    event_active(loop->m_roundEnd, EV_READ, 0);
}

bool EventLoop::startLap()
{
    const auto now = monotonicNow();
    if (now - std::exchange(m_onTimeAt, now) >= LateRound) {
        m_lapsLeft = std::min(Laps, MostLaps - m_lapsMade);
    }
    // The kernel reports ready sockets in turn, so the mark comes after all that are ready now, however many a poll returns.
    if (m_lapsLeft == 0 || eventfd_write(m_mark, 1) != 0) {
        return false;
    }
    --m_lapsLeft;
    ++m_lapsMade;
    m_isMarked = true;
    return true;
}

void EventLoop::endRound()
{
    m_lapsLeft = 0;
    m_lapsMade = 0;
    for (auto &phase : m_endOfRound) {
        for (const auto &message : std::exchange(phase, {})) {
            message();
        }
    }
}

void EventLoop::readMailbox()
{
    std::vector<Message> messages;
    {
        const std::lock_guard lock(m_mailboxMutex);
        messages.swap(m_mailbox);
    }
    for (const auto &message : messages) {
        message();
    }
}

} // namespace Sycamoremoor
