// Sends messages of an agent to entries.
#include <sycamoremoor/net/entry_sender.h>

#include <sycamoremoor/net/http_client.h>
#include <sycamoremoor/net/metric_registry.h>
#include <sycamoremoor/net/path_type.h>
#include <sycamoremoor/wire/http_status.h>
#include <sycamoremoor/wire/message_codec.h>

#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr Duration TimeLimit = std::chrono::seconds(2);

} // namespace

EntrySender::EntrySender(HttpClient &client, MetricRegistry &metrics)
    : m_client(client)
    , m_metrics(metrics)
{
}

sigc::signal<void(AgentInput)> &EntrySender::signalInput()
{
    return m_input;
}

void EntrySender::carryOut(const SendHeartbeat &output)
{
    send(output.entry, Path::AgentHeartbeat, encode(output.heartbeat), [this, entry = output.entry](const ClientResult &result) {
        AgentHeartbeatReply reply;
        if (result.status == HttpStatus::Ok && !decode(result.body, reply)) {
            m_input.emit(HeartbeatReplyReceived{std::move(reply)});
        } else {
            m_input.emit(HeartbeatFailed{entry});
        }
    });
}

void EntrySender::carryOut(const SendLedgerReport &output)
{
    send(output.entry, Path::LedgerReport, encode(output.report), [this](const ClientResult &result) {
        LedgerReportReply reply;
        if (result.status == HttpStatus::Ok && !decode(result.body, reply)) {
            m_input.emit(LedgerReplyReceived{reply});
        }
    });
}

void EntrySender::sendReports(const EntryName &owner, const Endpoint &entry, const TaskReports &reports)
{
    send(entry, Path::TaskReports, encode(reports), [this, owner](const ClientResult &result) {
        if (result.status != HttpStatus::Ok) {
            m_input.emit(ReportsFailed{owner});
        }
    });
}

void EntrySender::send(const Endpoint &entry, std::string_view path, std::string body, std::function<void(const ClientResult &)> done)
{
    ClientCall call;
    call.endpoint = entry;
    call.path = path;
    call.body = std::move(body);
    call.timeLimit = TimeLimit;
    m_metrics.addMessage(MessageDirection::Out, path, call.body.size());
    m_client.send(std::move(call), [done = std::move(done)](const ClientResult &result) { done(result); });
}

} // namespace Sycamoremoor
