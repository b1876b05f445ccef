// The event loop of one task, with a mailbox for other threads.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

struct event;
struct event_base;

namespace Sycamoremoor
{

/** One event loop. Everything but post() and stop() belongs to the thread that runs it. */
class EventLoop
{
public:
    using Message = std::function<void()>;

    EventLoop();
    ~EventLoop();

    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** Runs until stop(). */
    void run();

    /** Ends run() after the current step. May be called from any thread. */
    void stop();

    /** Puts a message into the mailbox; the loop's thread calls it. May be called from any thread. */
    void post(Message message);

    [[nodiscard]] event_base *base() const;

private:
    static void mailboxReady(int socket, short what, void *self);
    void readMailbox();

    event_base *m_base;
    event *m_wakeUp;
    std::mutex m_mailboxMutex;
    std::vector<Message> m_mailbox;
};

} // namespace Sycamoremoor
