// The event loop of one task, with a mailbox for other threads.
#pragma once

#include <sycamoremoor/core/time_type.h>

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

    /**
     * Calls a message after everything that was ready when the loop last waited.
     *
     * One poll returns only a part of what is ready if that is much. A loop that may have stood still reads all of it first, with
     * what follows on connections that it accepts meanwhile; what becomes ready later does not postpone the message.
     */
    void atEndOfRound(RoundPhase phase, Message message);

    [[nodiscard]] event_base *base() const;

private:
    static void mailboxReady(int socket, short what, void *self);
    static void roundEnded(int socket, short what, void *self);
    static void markReached(int socket, short what, void *self);
    void readMailbox();

    /** Marks what is ready, if all of it belongs to this round. @return whether the round ends only after the mark */
    bool startLap();
    void endRound();

    event_base *m_base;
    event *m_wakeUp;
    event *m_roundEnd;
    int m_mark; ///< a socket that is made ready after all that are ready
    event *m_markReached;
    bool m_isMarked = false;
    int m_lapsLeft = 0;       ///< times that the mark is yet to be set and reached in this round
    int m_lapsMade = 0;       ///< in this round
    MonotonicTime m_onTimeAt; ///< when a round last reached its end or a mark
    std::array<std::vector<Message>, static_cast<std::size_t>(RoundPhase::End)> m_endOfRound;
    std::mutex m_mailboxMutex;
    std::vector<Message> m_mailbox;
};

} // namespace Sycamoremoor
