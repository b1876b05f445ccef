// Event loop of one command.
#pragma once

#include <functional>

struct event_base;

namespace Sycamoremoor
{

/** Owns a libevent loop. */
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();

    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    [[nodiscard]] event_base *base() const;
    /** Handles events for as long as @p goesOn holds. */
    void runWhile(const std::function<bool()> &goesOn);

private:
    event_base *m_base;
};

} // namespace Sycamoremoor
