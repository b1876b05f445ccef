// Event loop of a stand-in's program.
#include "signal_loop.h"

#include <event2/event.h>

#include <csignal>
#include <utility>

namespace Sycamoremoor
{

SignalLoop::SignalLoop()
    : m_base(event_base_new())
    , m_terminate(evsignal_new(m_base, SIGTERM, &SignalLoop::signalled, this))
    , m_interrupt(evsignal_new(m_base, SIGINT, &SignalLoop::signalled, this))
{
    std::signal(SIGPIPE, SIG_IGN);
    event_add(m_terminate, nullptr);
    event_add(m_interrupt, nullptr);
}

SignalLoop::~SignalLoop()
{
    event_free(m_terminate);
    event_free(m_interrupt);
    event_base_free(m_base);
}

event_base *SignalLoop::base() const
{
    return m_base;
}

void SignalLoop::run(std::function<void()> terminated)
{
    m_terminated = std::move(terminated);
    event_base_dispatch(m_base);
}

void SignalLoop::stop()
{
    event_base_loopexit(m_base, nullptr);
}

void SignalLoop::signalled(int /*number*/, short /*what*/, void *self)
{
    static_cast<SignalLoop *>(self)->m_terminated();
}

} // namespace Sycamoremoor
