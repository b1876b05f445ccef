// Event loop of a stand-in's program.
#pragma once

#include <functional>
#include <memory>

struct event_base;
struct event;

namespace Sycamoremoor
{

/** An event loop that calls a hook at SIGTERM or SIGINT and ignores SIGPIPE. */
class SignalLoop
{
public:
    SignalLoop();
    ~SignalLoop();

    SignalLoop(const SignalLoop &) = delete;
    SignalLoop &operator=(const SignalLoop &) = delete;

    [[nodiscard]] event_base *base() const;
    /** Runs until stop(). @param terminated called at each signal */
    void run(std::function<void()> terminated);
    void stop();

private:
    static void signalled(int number, short what, void *self);

    event_base *m_base;
    event *m_terminate;
    event *m_interrupt;
    std::function<void()> m_terminated;
};

} // namespace Sycamoremoor
