// JSON of the messages between processes, of the roster, and of what processes tell operators.
#include <sycamoremoor/wire/message_codec.h>

#include "json_reader.h"
#include "json_writer.h"

#include <sycamoremoor/wire/json_parse_func.h>

namespace Sycamoremoor
{

template<typename Message>
std::string encode(const Message &message)
{
    std::string text;
    JsonWriter::writeObject(text, message);
    return text;
}

template<typename Message>
std::optional<DecodeError> decode(std::string_view json, Message &message)
{
    auto tree = parseJson(json);
    if (tree.is_discarded()) {
        return DecodeError{ErrorKind::MalformedBody, "the text is no JSON, is too long or nests too deep"};
    }
    std::optional<DecodeError> error;
    JsonReader::readObject(tree, message, "message", error);
    return error;
}

template std::string encode(const RosterRecord &);
template std::optional<DecodeError> decode(std::string_view, RosterRecord &);
template std::string encode(const ConfigSet &);
template std::optional<DecodeError> decode(std::string_view, ConfigSet &);
template std::string encode(const JobAnswer &);
template std::optional<DecodeError> decode(std::string_view, JobAnswer &);
template std::string encode(const JobStatus &);
template std::optional<DecodeError> decode(std::string_view, JobStatus &);
template std::string encode(const StatusReply &);
template std::optional<DecodeError> decode(std::string_view, StatusReply &);
template std::string encode(const AccountReply &);
template std::optional<DecodeError> decode(std::string_view, AccountReply &);
template std::string encode(const ProcessStatus &);
template std::optional<DecodeError> decode(std::string_view, ProcessStatus &);
template std::string encode(const AgentHeartbeat &);
template std::optional<DecodeError> decode(std::string_view, AgentHeartbeat &);
template std::string encode(const AgentHeartbeatReply &);
template std::optional<DecodeError> decode(std::string_view, AgentHeartbeatReply &);
template std::string encode(const StartTasks &);
template std::optional<DecodeError> decode(std::string_view, StartTasks &);
template std::string encode(const StopTasks &);
template std::optional<DecodeError> decode(std::string_view, StopTasks &);
template std::string encode(const QueryTasks &);
template std::optional<DecodeError> decode(std::string_view, QueryTasks &);
template std::string encode(const TaskReports &);
template std::optional<DecodeError> decode(std::string_view, TaskReports &);
template std::string encode(const LedgerReport &);
template std::optional<DecodeError> decode(std::string_view, LedgerReport &);
template std::string encode(const LedgerReportReply &);
template std::optional<DecodeError> decode(std::string_view, LedgerReportReply &);
template std::string encode(const PeerHeartbeat &);
template std::optional<DecodeError> decode(std::string_view, PeerHeartbeat &);
template std::string encode(const PeerHeartbeatReply &);
template std::optional<DecodeError> decode(std::string_view, PeerHeartbeatReply &);
template std::string encode(const OwnerQuery &);
template std::optional<DecodeError> decode(std::string_view, OwnerQuery &);
template std::string encode(const OwnerQueryReply &);
template std::optional<DecodeError> decode(std::string_view, OwnerQueryReply &);
template std::string encode(const Handover &);
template std::optional<DecodeError> decode(std::string_view, Handover &);
template std::string encode(const HandoverReply &);
template std::optional<DecodeError> decode(std::string_view, HandoverReply &);
template std::string encode(const ForwardJob &);
template std::optional<DecodeError> decode(std::string_view, ForwardJob &);
template std::string encode(const ForwardCancel &);
template std::optional<DecodeError> decode(std::string_view, ForwardCancel &);
template std::string encode(const ForwardQuery &);
template std::optional<DecodeError> decode(std::string_view, ForwardQuery &);
template std::string encode(const StartBatch &);
template std::optional<DecodeError> decode(std::string_view, StartBatch &);
template std::string encode(const BatchRenewal &);
template std::optional<DecodeError> decode(std::string_view, BatchRenewal &);
template std::string encode(const BatchRecall &);
template std::optional<DecodeError> decode(std::string_view, BatchRecall &);
template std::string encode(const RunReport &);
template std::optional<DecodeError> decode(std::string_view, RunReport &);
template std::string encode(const CapacityReport &);
template std::optional<DecodeError> decode(std::string_view, CapacityReport &);
template std::string encode(const CrashNotice &);
template std::optional<DecodeError> decode(std::string_view, CrashNotice &);
template std::string encode(const JobCancellation &);
template std::optional<DecodeError> decode(std::string_view, JobCancellation &);
template std::string encode(const JobCancellationReply &);
template std::optional<DecodeError> decode(std::string_view, JobCancellationReply &);
template std::string encode(const AgentRecord &);
template std::optional<DecodeError> decode(std::string_view, AgentRecord &);

} // namespace Sycamoremoor
