// Sends messages of an entry to other entries.
#include <sycamoremoor/net/peer_sender.h>

#include <sycamoremoor/net/http_client.h>
#include <sycamoremoor/net/metric_registry.h>
#include <sycamoremoor/net/path_type.h>
#include <sycamoremoor/wire/http_status.h>
#include <sycamoremoor/wire/message_codec.h>

#include <memory>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr Duration HeartbeatLimit = std::chrono::seconds(2);
constexpr Duration QueryLimit = std::chrono::seconds(5);
constexpr Duration ForwardSlack = std::chrono::seconds(30);   ///< beyond the deadline, for the truth about stopped tasks
constexpr Duration UnknownDeadline = std::chrono::minutes(5); ///< the service's default is the owner's to know

/** Path, limit and answer of each kind of message. */
template<typename Message>
struct PeerCall;

template<>
struct PeerCall<PeerHeartbeat> {
    using Reply = PeerHeartbeatReply;
    static constexpr auto Path = Path::PeerHeartbeat;
    static Duration timeLimit(const PeerHeartbeat & /*message*/)
    {
        return HeartbeatLimit;
    }
    static EntryInput input(ConnectionId /*connection*/, Reply reply)
    {
        return PeerHeartbeatReplyReceived{std::move(reply)};
    }
};

template<>
struct PeerCall<OwnerQuery> {
    using Reply = OwnerQueryReply;
    static constexpr auto Path = Path::OwnerQuery;
    static Duration timeLimit(const OwnerQuery & /*message*/)
    {
        return QueryLimit;
    }
    static EntryInput input(ConnectionId /*connection*/, Reply reply)
    {
        return OwnerQueryReplyReceived{std::move(reply)};
    }
};

template<>
struct PeerCall<Handover> {
    using Reply = HandoverReply;
    static constexpr auto Path = Path::Handover;
    static Duration timeLimit(const Handover & /*message*/)
    {
        return QueryLimit;
    }
    static EntryInput input(ConnectionId /*connection*/, Reply reply)
    {
        return HandoverReplyReceived{std::move(reply)};
    }
};

template<>
struct PeerCall<ForwardJob> {
    using Reply = JobAnswer;
    static constexpr auto Path = Path::ForwardJob;
    static Duration timeLimit(const ForwardJob &message)
    {
        const auto deadline = message.job->deadline;
        return (deadline == Duration() ? UnknownDeadline : deadline) + ForwardSlack;
    }
    static EntryInput input(ConnectionId connection, Reply reply)
    {
        return ForwardAnswered{connection, std::make_shared<const JobAnswer>(std::move(reply))};
    }
};

template<>
struct PeerCall<ForwardCancel> {
    using Reply = StatusReply;
    static constexpr auto Path = Path::ForwardCancel;
    static Duration timeLimit(const ForwardCancel & /*message*/)
    {
        return QueryLimit;
    }
    static EntryInput input(ConnectionId connection, Reply reply)
    {
        return ForwardStatusAnswered{connection, reply.error, std::move(reply.status)};
    }
};

template<>
struct PeerCall<ForwardQuery> {
    using Reply = StatusReply;
    static constexpr auto Path = Path::ForwardQuery;
    static Duration timeLimit(const ForwardQuery & /*message*/)
    {
        return QueryLimit;
    }
    static EntryInput input(ConnectionId connection, Reply reply)
    {
        return ForwardStatusAnswered{connection, reply.error, std::move(reply.status)};
    }
};

} // namespace

PeerSender::PeerSender(HttpClient &client, MetricRegistry &metrics)
    : m_client(client)
    , m_metrics(metrics)
{
}

sigc::signal<void(EntryInput)> &PeerSender::signalInput()
{
    return m_input;
}

void PeerSender::carryOut(const SendToPeer &output)
{
    std::visit([this, &output](const auto &message) { send(output, message); }, output.message);
}

template<typename Message>
void PeerSender::send(const SendToPeer &output, const Message &message)
{
    using Call = PeerCall<Message>;
    ClientCall call;
    call.endpoint = output.endpoint;
    call.path = Call::Path;
    call.body = encode(message);
    call.timeLimit = Call::timeLimit(message);
    m_metrics.addMessage(MessageDirection::Out, Call::Path, call.body.size());
    Origin origin{output.peer, output.connection};
    m_client.send(std::move(call), [this, origin = std::move(origin)](const ClientResult &result) {
        if (!result.answered || result.status != HttpStatus::Ok) {
            // A conflict: the receiver is not the entry that was meant, and took nothing.
            fail(origin, result.status == HttpStatus::Conflict ? Delivery::NotSent : result.delivery);
            return;
        }
        if (typename Call::Reply reply; !decode(result.body, reply)) {
            m_input.emit(Call::input(origin.connection.value_or(ConnectionId()), std::move(reply)));
        } else {
            fail(origin, Delivery::Unknown);
        }
    });
}

void PeerSender::fail(const Origin &origin, Delivery delivery)
{
    m_input.emit(PeerSendFailed{origin.peer, delivery, origin.connection});
}

} // namespace Sycamoremoor
