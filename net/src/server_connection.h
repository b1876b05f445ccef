// One connection of a server: its phase, and what it holds.
#pragma once

#include <sycamoremoor/net/client_refusal_type.h>
#include <sycamoremoor/net/timer.h>

#include <cstddef>
#include <functional>
#include <optional>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;

namespace Sycamoremoor
{

class EventLoop;
class ServerConnection;

/** What the connections of one server share. */
struct ServerConnectionRules {
    Duration receiveLimit;                                          ///< from the first byte of a request to its last
    std::size_t maxHeadFields;                                      ///< of one request
    std::size_t singleRead;                                         ///< most bytes that are read at once
    std::function<void(std::ptrdiff_t)> holds;                      ///< told by how many bytes what is held has changed
    std::function<void(ServerConnection &, ClientRefusal)> refused; ///< told that a request was refused; once for each connection
};

/**
 * Bounds the time and the fields of each request, and stops reading while an answer is owed. Knows what the connection holds: bytes that wait
 * in either direction, what the library keeps of a head, and the body of a request whose answer has not left.
 */
class ServerConnection
{
public:
    ServerConnection(EventLoop &loop, bufferevent *transport, const ServerConnectionRules &rules);
    ~ServerConnection();

    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    /** Sets the library's connection, once it is known. */
    void adopt(evhttp_connection *connection);

    /** Lets the system hold up to @p bytes for it, more than connections have from their begin. */
    void enlargeBuffers(std::size_t bytes);

    [[nodiscard]] bool hasLargeBuffers() const;

    /** Returns nullptr before it was adopted. */
    [[nodiscard]] evhttp_connection *connection() const;

    /** To be called when a whole request was received; the time of the next one is not counted until this one is answered. */
    void requestReceived();

    /** To be called when the whole answer was given, but has not left. @param requestBytes held until it has */
    void answerGiven(std::size_t requestBytes);

    /** To be called when the library was given a part of an answer, as it then reads on: stops that if a client has sent ahead. */
    void partGiven();

    /** To be called when the answer has left. */
    void requestAnswered();

    /** Returns whether closing it cuts off no request that may run: none is whole, or the client does not read the answer. */
    [[nodiscard]] bool maySpare() const;

    /** Returns whether a request was refused, so that it must not run. */
    [[nodiscard]] bool isRefused() const;

    /** Returns since when it is idle, answers a request, receives one, or receives one after the other that were sent ahead. */
    [[nodiscard]] MonotonicTime since() const;

    [[nodiscard]] std::size_t heldBytes() const;

private:
    enum class Phase {
        Idle,
        Receiving,
        Answering,
    };

    static void inputMoved(evbuffer *buffer, const evbuffer_cb_info *info, void *self);
    static void outputMoved(evbuffer *buffer, const evbuffer_cb_info *info, void *self);
    void enter(Phase phase);
    void received(std::size_t bytes);
    void readHead(std::size_t bytes);
    void taken(std::size_t bytes);
    void noteRefusalOfLibrary(evbuffer *output);
    void hold(std::ptrdiff_t bytes);
    void dropRequest();
    void refuse(ClientRefusal refusal);
    void expire();

    const ServerConnectionRules &m_rules;
    bufferevent *m_transport;
    evhttp_connection *m_connection = nullptr;
    Timer m_timer;
    Phase m_phase = Phase::Idle;
    MonotonicTime m_since;
    std::optional<MonotonicTime> m_aheadSince; ///< since when each answer has left bytes that were sent ahead
    std::size_t m_held = 0;                    ///< in the buffers and of the request
    std::size_t m_requestHeld = 0;             ///< of the request, outside the buffers
    std::size_t m_bodyHeld = 0;                ///< of that, the part of the body that the library has taken from the buffer
    std::size_t m_headBytes = 0;               ///< of the head, counted and still in the buffer
    std::size_t m_headFields = 0;              ///< lines of the head, so far
    std::size_t m_lineBytes = 0;               ///< of the line of the head that is not whole, without carriage returns
    bool m_isHeadWhole = false;
    bool m_isRefused = false;
    bool m_hasLargeBuffers = false;
};

} // namespace Sycamoremoor
