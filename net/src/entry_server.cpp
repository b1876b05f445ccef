// The HTTP interface of an entry: turns requests into inputs, and answers into replies.
#include <sycamoremoor/net/entry_server.h>

#include "internal_request_func.h"

#include <sycamoremoor/net/path_type.h>

#include <memory>
#include <utility>

namespace Sycamoremoor
{

EntryServer::EntryServer(Router &router, EntryName name, Incarnation incarnation, CallerLimits limits)
    : m_name(std::move(name))
    , m_incarnation(incarnation)
    , m_limits(limits)
{
    addCallerRoutes(router);
    addInternalRoutes(router);
}

sigc::signal<void(EntryInput)> &EntryServer::signalInput()
{
    return m_input;
}

void EntryServer::addCallerRoutes(Router &router)
{
    const auto jobPrefix = std::string(Path::Jobs) + "/";
    router.add(RequestMethod::Post, Path::Jobs, [this](const RoutedRequest &request) { submit(request, false); });
    router.add(RequestMethod::Post, Path::Requests, [this](const RoutedRequest &request) { submit(request, true); });
    router.add(RequestMethod::Get, jobPrefix, [this](const RoutedRequest &request) { askStatus(request, false); });
    router.add(RequestMethod::Delete, jobPrefix, [this](const RoutedRequest &request) { askStatus(request, true); });
    router.add(RequestMethod::Get, Path::Account, [this](const RoutedRequest &request) { askAccount(request); });
    router.add(RequestMethod::Get, Path::Status, [this](const RoutedRequest &request) {
        m_input.emit(ProcessStatusRequested{open(request, true)});
    });
}

template<typename Message, typename Input>
void EntryServer::addMessage(Router &router, std::string_view path, Input makeInput)
{
    router.add(RequestMethod::Post, path, [this, makeInput](const RoutedRequest &request) {
        if (Message message; decodeOrRefuse(request, message)) {
            m_input.emit(makeInput(open(request, false), std::move(message)));
        }
    });
}

void EntryServer::addInternalRoutes(Router &router)
{
    addMessage<AgentHeartbeat>(router, Path::AgentHeartbeat, [](ConnectionId connection, AgentHeartbeat heartbeat) {
        return AgentHeartbeatReceived{connection, std::move(heartbeat)};
    });
    addMessage<LedgerReport>(router, Path::LedgerReport, [](ConnectionId connection, LedgerReport report) {
        return LedgerReportReceived{connection, std::move(report)};
    });
    addMessage<PeerHeartbeat>(router, Path::PeerHeartbeat, [](ConnectionId connection, PeerHeartbeat heartbeat) {
        return PeerHeartbeatReceived{connection, std::move(heartbeat)};
    });
    addMessage<OwnerQuery>(router, Path::OwnerQuery, [](ConnectionId connection, OwnerQuery query) {
        return OwnerQueryReceived{connection, std::move(query)};
    });
    addMessage<Handover>(router, Path::Handover, [](ConnectionId connection, Handover handover) {
        return HandoverReceived{connection, std::move(handover)};
    });
    addMessage<ForwardCancel>(router, Path::ForwardCancel, [](ConnectionId connection, const ForwardCancel &cancel) {
        return CancelRequested{connection, cancel.key, true};
    });
    addMessage<ForwardQuery>(router, Path::ForwardQuery, [](ConnectionId connection, const ForwardQuery &query) {
        return StatusRequested{connection, query.key, true};
    });
    router.add(RequestMethod::Post, Path::ForwardJob, [this](const RoutedRequest &request) { takeForward(request); });
    router.add(RequestMethod::Post, Path::TaskReports, [this](const RoutedRequest &request) { takeReports(request); });
}

void EntryServer::submit(const RoutedRequest &request, bool singleRequest)
{
    const auto &received = request.exchange->request();
    const auto found = received.headers.find(std::string(IdempotencyKeyHeader));
    const auto key = found == received.headers.end() ? std::string_view() : std::string_view(found->second);
    auto job = std::make_shared<JobSpec>();
    const auto error = singleRequest ? decodeRequest(key, received.body, m_limits, *job) : decodeJob(key, received.body, m_limits, *job);
    if (error) {
        replyError(request, error->kind, error->detail);
        return;
    }
    m_input.emit(JobSubmitted{open(request, true), std::move(job), std::nullopt, Epoch()});
}

void EntryServer::askStatus(const RoutedRequest &request, bool cancel)
{
    const auto key = SubmissionKey::fromString(request.pathSuffix);
    if (!key) {
        replyError(request, ErrorKind::InvalidKey, "the path must end in a UUID of version 7");
    } else if (cancel) {
        m_input.emit(CancelRequested{open(request, true), *key, false});
    } else {
        m_input.emit(StatusRequested{open(request, true), *key, false});
    }
}

void EntryServer::askAccount(const RoutedRequest &request)
{
    AccountQuery query;
    if (const auto error = decodeAccountQuery(request.exchange->request().parameters, query)) {
        replyError(request, error->kind, error->detail);
        return;
    }
    m_input.emit(AccountRequested{open(request, true), std::move(query)});
}

void EntryServer::takeForward(const RoutedRequest &request)
{
    ForwardJob forward;
    if (!decodeOrRefuse(request, forward)) {
        return;
    }
    if (forward.to != m_name || forward.toIncarnation != m_incarnation || !forward.job) {
        replyError(request, ErrorKind::WrongIncarnation, "");
        return;
    }
    m_input.emit(JobSubmitted{open(request, false), forward.job, forward.from, forward.rosterEpoch});
}

void EntryServer::takeReports(const RoutedRequest &request)
{
    if (TaskReports reports; decodeOrRefuse(request, reports)) {
        m_input.emit(TaskReportsReceived{std::move(reports)});
        request.exchange->reply({200, "{}", "application/json", {}});
    }
}

ConnectionId EntryServer::open(const RoutedRequest &request, bool isCaller)
{
    request.exchange->dropBody();
    const ConnectionId connection(++m_lastConnection);
    m_open.emplace(connection, Open{request, isCaller});
    request.exchange->onGone([this, connection] { gone(connection); });
    return connection;
}

std::optional<EntryServer::Open> EntryServer::take(ConnectionId connection)
{
    const auto found = m_open.find(connection);
    if (found == m_open.end()) {
        return std::nullopt;
    }
    auto open = std::move(found->second);
    m_open.erase(found);
    return open;
}

void EntryServer::gone(ConnectionId connection)
{
    if (m_open.erase(connection) > 0) {
        m_input.emit(CallerDisconnected{connection});
    }
}

void EntryServer::replyCaller(const Open &open, CallerAnswer answer)
{
    ServerReply reply{answer.httpStatus, std::move(answer.body), "application/json", {}};
    reply.headers.emplace(RequestIdHeader, open.request.requestId);
    if (answer.retryAfterSeconds > 0) {
        reply.headers.emplace("Retry-After", std::to_string(answer.retryAfterSeconds));
    }
    open.request.exchange->reply(reply);
}

template<typename Message>
void EntryServer::replyMessage(ConnectionId connection, const Message &message)
{
    if (const auto open = take(connection)) {
        open->request.exchange->reply({200, encode(message), "application/json", {}});
    }
}

void EntryServer::carryOut(const AnswerJob &answer)
{
    const auto open = take(answer.connection);
    if (!open) {
        return;
    }
    if (open->isCaller) {
        replyCaller(*open, encodeAnswer(*answer.answer, open->request.requestId));
    } else {
        open->request.exchange->reply({200, encode(*answer.answer), "application/json", {}});
    }
}

void EntryServer::carryOut(const AnswerStatus &answer)
{
    const auto open = take(answer.connection);
    if (!open) {
        return;
    }
    if (open->isCaller) {
        replyCaller(*open, encodeStatus(answer.error, answer.status, open->request.requestId));
    } else {
        open->request.exchange->reply({200, encode(StatusReply{answer.error, answer.status}), "application/json", {}});
    }
}

void EntryServer::carryOut(const AnswerAccount &answer)
{
    replyMessage(answer.connection, answer.reply);
}

void EntryServer::carryOut(const AnswerProcessStatus &answer)
{
    replyMessage(answer.connection, answer.status);
}

void EntryServer::carryOut(const AnswerAgentHeartbeat &answer)
{
    replyMessage(answer.connection, answer.reply);
}

void EntryServer::carryOut(const AnswerLedgerReport &answer)
{
    replyMessage(answer.connection, answer.reply);
}

void EntryServer::carryOut(const AnswerPeerHeartbeat &answer)
{
    replyMessage(answer.connection, answer.reply);
}

void EntryServer::carryOut(const AnswerOwnerQuery &answer)
{
    replyMessage(answer.connection, answer.reply);
}

void EntryServer::carryOut(const AnswerHandover &answer)
{
    replyMessage(answer.connection, answer.reply);
}

} // namespace Sycamoremoor
