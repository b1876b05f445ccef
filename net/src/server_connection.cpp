// One connection of a server: its phase, and what it holds.
#include "server_connection.h"

#include "socket_func.h"

#include <sycamoremoor/net/clock_func.h>
#include <sycamoremoor/wire/caller_codec.h>
#include <sycamoremoor/wire/http_status.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string>
#include <string_view>
#include <utility>

namespace Sycamoremoor
{

namespace
{

/** What the library allocates for each field besides its text: a list entry of 48 bytes and two strings of at least 32 bytes. */
constexpr std::size_t FieldBytes = 112;

/** Returns the whole text of an answer that the library does not send. */
std::string replyText(int status, std::string_view reason, std::string_view body)
{
    return "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason) + "\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + std::string(body);
}

std::string timeoutReply()
{
    const auto answer = encodeError(ErrorKind::RequestTimeout, "", "");
    return replyText(answer.httpStatus, "Request Timeout", answer.body);
}

std::string fieldsReply()
{
    return replyText(HttpStatus::HeaderFieldsTooLarge, "Request Header Fields Too Large", "{}");
}

/** Returns the status of the answer that begins @p output, or 0. */
int statusOf(evbuffer *output)
{
    constexpr std::string_view Version = "HTTP/1.1 ";
    std::array<char, Version.size() + 3> begin{};
    int status = 0;
    if (evbuffer_copyout(output, begin.data(), begin.size()) == static_cast<ev_ssize_t>(begin.size())) {
        std::from_chars(begin.data() + Version.size(), begin.data() + begin.size(), status);
    }
    return status;
}

/** Returns whether the library takes bytes that arrive; it does not while it writes an answer. */
bool isRead(bufferevent *transport)
{
    bufferevent_data_cb read = nullptr;
    bufferevent_getcb(transport, &read, nullptr, nullptr, nullptr);
    return read != nullptr;
}

} // namespace

ServerConnection::ServerConnection(EventLoop &loop, bufferevent *transport, const ServerConnectionRules &rules)
    : m_rules(rules)
    , m_transport(transport)
    , m_timer(loop, [this] { expire(); })
    , m_since(monotonicNow())
{
    bufferevent_set_max_single_read(transport, rules.singleRead);
    evbuffer_add_cb(bufferevent_get_input(transport), &ServerConnection::inputMoved, this);
    evbuffer_add_cb(bufferevent_get_output(transport), &ServerConnection::outputMoved, this);
}

ServerConnection::~ServerConnection()
{
    evbuffer_remove_cb(bufferevent_get_input(m_transport), &ServerConnection::inputMoved, this);
    evbuffer_remove_cb(bufferevent_get_output(m_transport), &ServerConnection::outputMoved, this);
    hold(-static_cast<std::ptrdiff_t>(m_held));
}

void ServerConnection::adopt(evhttp_connection *connection)
{
    m_connection = connection;
}

void ServerConnection::enlargeBuffers(std::size_t bytes)
{
    setBuffers(bufferevent_getfd(m_transport), bytes);
    m_hasLargeBuffers = true;
}

bool ServerConnection::hasLargeBuffers() const
{
    return m_hasLargeBuffers;
}

evhttp_connection *ServerConnection::connection() const
{
    return m_connection;
}

void ServerConnection::requestReceived()
{
    m_timer.stop();
    // From here on the body belongs to work that was accepted.
    hold(-static_cast<std::ptrdiff_t>(m_bodyHeld));
    m_requestHeld -= std::exchange(m_bodyHeld, 0);
    enter(Phase::Answering);
}

void ServerConnection::answerGiven(std::size_t requestBytes)
{
    m_requestHeld += requestBytes;
    hold(static_cast<std::ptrdiff_t>(requestBytes));
}

void ServerConnection::partGiven()
{
    // Without bytes ahead nothing is done, since it costs a system call; the first ones that come stop it, see inputMoved().
    if (m_phase == Phase::Answering && evbuffer_get_length(bufferevent_get_input(m_transport)) > 0) {
        bufferevent_disable(m_transport, EV_READ);
    }
}

void ServerConnection::requestAnswered()
{
    dropRequest();
    enter(Phase::Idle);
    const auto ahead = evbuffer_get_length(bufferevent_get_input(m_transport));
    if (ahead == 0) {
        m_aheadSince.reset();
        return;
    }
    // A client that always has another request ready is as old as the first of them, or it would never have to make room for others.
    m_aheadSince = m_aheadSince.value_or(m_since);
    received(ahead);
    m_since = *m_aheadSince;
}

bool ServerConnection::maySpare() const
{
    return m_connection != nullptr
        && (m_phase != Phase::Answering
            || (evbuffer_get_length(bufferevent_get_output(m_transport)) > 0 && !isWritable(bufferevent_getfd(m_transport))));
}

bool ServerConnection::isRefused() const
{
    return m_isRefused;
}

MonotonicTime ServerConnection::since() const
{
    return m_since;
}

std::size_t ServerConnection::heldBytes() const
{
    return m_held;
}

void ServerConnection::inputMoved(evbuffer * /*buffer*/, const evbuffer_cb_info *info, void *self)
{
    auto *connection = static_cast<ServerConnection *>(self);
    connection->hold(static_cast<std::ptrdiff_t>(info->n_added) - static_cast<std::ptrdiff_t>(info->n_deleted));
    if (info->n_deleted > 0 && connection->m_phase == Phase::Receiving) {
        connection->taken(info->n_deleted);
    }
    if (info->n_added == 0) {
        return;
    }
    if (connection->m_phase == Phase::Answering || !isRead(connection->m_transport)) {
        // The library reads on while it writes an answer; what is sent ahead waits in the socket from here on.
        bufferevent_disable(connection->m_transport, EV_READ);
        return;
    }
    connection->received(info->n_added);
}

void ServerConnection::outputMoved(evbuffer *buffer, const evbuffer_cb_info *info, void *self)
{
    auto *connection = static_cast<ServerConnection *>(self);
    connection->hold(static_cast<std::ptrdiff_t>(info->n_added) - static_cast<std::ptrdiff_t>(info->n_deleted));
    if (info->n_added > 0 && connection->m_phase != Phase::Answering) {
        connection->noteRefusalOfLibrary(buffer);
    }
}

void ServerConnection::enter(Phase phase)
{
    m_phase = phase;
    m_since = monotonicNow();
}

void ServerConnection::received(std::size_t bytes)
{
    if (m_phase == Phase::Idle) {
        enter(Phase::Receiving);
        m_timer.start(m_rules.receiveLimit);
    }
    if (!m_isHeadWhole && !m_isRefused) {
        readHead(bytes);
    }
}

void ServerConnection::readHead(std::size_t bytes)
{
    auto *input = bufferevent_get_input(m_transport);
    evbuffer_ptr position{};
    evbuffer_ptr_set(input, &position, evbuffer_get_length(input) - bytes, EVBUFFER_PTR_SET);
    const auto fieldsBefore = m_headFields;
    std::size_t read = 0;
    evbuffer_iovec part{};
    while (read < bytes && !m_isHeadWhole && evbuffer_peek(input, -1, &position, &part, 1) > 0) {
        const std::string_view text(static_cast<const char *>(part.iov_base), std::min(part.iov_len, bytes - read));
        std::size_t used = 0;
        while (used < text.size() && !m_isHeadWhole) {
            const auto end = std::min(text.find('\n', used), text.size());
            const auto line = text.substr(used, end - used);
            m_lineBytes += line.size() - static_cast<std::size_t>(line.ends_with('\r'));
            used = std::min(end + 1, text.size());
            if (end < text.size()) {
                m_isHeadWhole = m_lineBytes == 0;
                m_lineBytes = 0;
                ++m_headFields;
            }
        }
        read += used;
        evbuffer_ptr_set(input, &position, text.size(), EVBUFFER_PTR_ADD);
    }
    const auto kept = read + (m_headFields - fieldsBefore) * FieldBytes;
    m_requestHeld += kept;
    m_headBytes += read;
    hold(static_cast<std::ptrdiff_t>(kept));
    if (m_headFields > m_rules.maxHeadFields) {
        const auto reply = fieldsReply();
        ::send(bufferevent_getfd(m_transport), reply.data(), reply.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        refuse(ClientRefusal::TooManyFields);
    }
}

void ServerConnection::taken(std::size_t bytes)
{
    const auto ofHead = std::min(bytes, m_headBytes);
    m_headBytes -= ofHead;
    if (bytes == ofHead) {
        return;
    }
    // A chunk of the body, or a field behind it; the library takes them one by one.
    const auto kept = bytes - ofHead + FieldBytes;
    m_requestHeld += kept;
    m_bodyHeld += kept;
    hold(static_cast<std::ptrdiff_t>(kept));
}

void ServerConnection::noteRefusalOfLibrary(evbuffer *output)
{
    const int status = statusOf(output);
    if (status >= HttpStatus::BadRequest) {
        refuse(status == HttpStatus::PayloadTooLarge ? ClientRefusal::LargeBody : ClientRefusal::MalformedHead);
    }
}

void ServerConnection::hold(std::ptrdiff_t bytes)
{
    m_held = static_cast<std::size_t>(static_cast<std::ptrdiff_t>(m_held) + bytes);
    m_rules.holds(bytes);
}

void ServerConnection::dropRequest()
{
    hold(-static_cast<std::ptrdiff_t>(m_requestHeld));
    m_requestHeld = 0;
    m_bodyHeld = 0;
    m_headBytes = 0;
    m_headFields = 0;
    m_lineBytes = 0;
    m_isHeadWhole = false;
}

void ServerConnection::refuse(ClientRefusal refusal)
{
    if (!m_isRefused) {
        m_isRefused = true;
        m_rules.refused(*this, refusal);
    }
}

void ServerConnection::expire()
{
    const int socket = bufferevent_getfd(m_transport);
    const auto reply = timeoutReply();
    ::send(socket, reply.data(), reply.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    ::shutdown(socket, SHUT_RDWR);
    refuse(ClientRefusal::SlowRequest);
}

} // namespace Sycamoremoor
