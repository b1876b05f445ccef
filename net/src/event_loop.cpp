// The event loop of one task, with a mailbox for other threads.
#include <sycamoremoor/net/event_loop.h>

#include <event2/event.h>
#include <event2/thread.h>

#include <stdexcept>
#include <utility>

namespace Sycamoremoor
{

namespace
{

event_base *makeBase()
{
    static const int threadSupport = evthread_use_pthreads();
    auto *base = threadSupport == 0 ? event_base_new() : nullptr;
    if (base == nullptr) {
        throw std::runtime_error("cannot make an event loop");
    }
    return base;
}

} // namespace

EventLoop::EventLoop()
    : m_base(makeBase())
    , m_wakeUp(event_new(m_base, -1, EV_PERSIST, &EventLoop::mailboxReady, this))
    , m_roundEnd(event_new(m_base, -1, EV_PERSIST, &EventLoop::roundEnded, this))
{
}

EventLoop::~EventLoop()
{
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
    static_cast<EventLoop *>(self)->endRound();
}

void EventLoop::endRound()
{
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
