// Event loop of one command.
#include "event_loop.h"

#include <event2/event.h>

namespace Sycamoremoor
{

EventLoop::EventLoop()
    : m_base(event_base_new())
{
}

EventLoop::~EventLoop()
{
    event_base_free(m_base);
}

event_base *EventLoop::base() const
{
    return m_base;
}

void EventLoop::runWhile(const std::function<bool()> &goesOn)
{
    while (goesOn()) {
        event_base_loop(m_base, EVLOOP_ONCE);
    }
}

} // namespace Sycamoremoor
