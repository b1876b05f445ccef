// A timer on an event loop.
#pragma once

#include <sycamoremoor/core/time_type.h>

#include <functional>

struct event;

namespace Sycamoremoor
{

class EventLoop;

/** Calls a hook once after each start(). Belongs to the loop's thread. */
class Timer
{
public:
    Timer(EventLoop &loop, std::function<void()> hook);
    ~Timer();

    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /** Sets the timer; replaces the time set before. Past times fire in the next round of the loop. */
    void start(Duration delay);

    /** Clears the timer. */
    void stop();

private:
    static void fired(int socket, short what, void *self);

    std::function<void()> m_hook;
    event *m_event;
};

} // namespace Sycamoremoor
