// The event loop of one task, with a mailbox for other threads.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

struct event;
struct event_base;

namespace Sycamoremoor
{

/** Order in which messages to the end of a round are called: all of one phase before those of the next. */
enum class RoundPhase {
    Decode, ///< turns what was read in this round into inputs
    Decide, ///< handles the inputs of this round
    End,
};

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

    /** Calls a message after everything that was ready when the loop last waited. */
    void atEndOfRound(RoundPhase phase, Message message);

    [[nodiscard]] event_base *base() const;

private:
    static void mailboxReady(int socket, short what, void *self);
    static void roundEnded(int socket, short what, void *self);
    void readMailbox();
    void endRound();

    event_base *m_base;
    event *m_wakeUp;
    event *m_roundEnd;
    std::array<std::vector<Message>, static_cast<std::size_t>(RoundPhase::End)> m_endOfRound;
    std::mutex m_mailboxMutex;
    std::vector<Message> m_mailbox;
};

} // namespace Sycamoremoor
