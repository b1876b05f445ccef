// Runs of an event loop in tests.
#pragma once

#include <sycamoremoor/net/clock_func.h>
#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/net/timer.h>

#include <functional>

namespace Sycamoremoor
{

/** Runs the loop until @p condition holds. @return false if it does not within a generous limit */
inline bool runUntil(EventLoop &loop, const std::function<bool()> &condition)
{
    constexpr Duration TestLimit = std::chrono::seconds(20);
    constexpr Duration PollInterval = std::chrono::milliseconds(2);
    const auto end = monotonicNow() + TestLimit;
    bool held = false;
    std::function<void()> check;
    Timer timer(loop, [&] { check(); });
    check = [&] {
        held = condition();
        if (held || monotonicNow() > end) {
            loop.stop();
        } else {
            timer.start(PollInterval);
        }
    };
    timer.start(Duration::zero());
    loop.run();
    return held;
}

/** Runs the loop for @p duration. */
inline void runFor(EventLoop &loop, Duration duration)
{
    Timer end(loop, [&loop] { loop.stop(); });
    end.start(duration);
    loop.run();
}

} // namespace Sycamoremoor
