// Formats inputs and outputs of an entry as lines of text.
#include "entry_trace.h"

#include <sycamoremoor/core/job_type.h>

namespace Sycamoremoor
{

namespace
{

std::string number(std::uint64_t value)
{
    return std::to_string(value);
}

std::string keyText(const SubmissionKey &key)
{
    return key.toString().substr(24);
}

std::string taskText(const TaskId &task)
{
    return keyText(task.submission) + "/" + number(task.index.value());
}

std::string rosterText(const std::shared_ptr<const RosterRecord> &roster)
{
    if (roster == nullptr) {
        return "no roster";
    }
    std::string text = "roster " + number(roster->epoch.value()) + " of";
    for (const auto &member : roster->members) {
        text += " " + member.name.value() + (member.leaving ? "(leaving)" : "");
    }
    for (const auto &slot : roster->slots) {
        text += ", slot of " + slot.owner.value() + " since " + number(slot.token.value());
        for (const auto &former : slot.former) {
            text += " after " + former.name.value() + (former.clean ? "(clean)" : "");
        }
    }
    return text;
}

std::string answerText(const JobAnswerPointer &answer)
{
    std::string text
        = keyText(answer->key) + " " + std::string(errorRow(answer->error).code) + " " + std::string(runStateName(answer->ran));
    text += " results " + number(answer->results.size());
    for (const auto &line : answer->account) {
        text += ", " + number(line.index.value()) + " " + std::string(taskStateName(line.state)) + " " + std::string(runStateName(line.ran))
            + " at " + line.agent.value();
    }
    return text;
}

std::string reportsText(const std::vector<TaskReport> &reports)
{
    std::string text;
    for (const auto &report : reports) {
        text += " " + taskText(report.task) + " " + std::string(taskStateName(report.state));
    }
    return text;
}

template<typename... Handlers>
struct Overloaded : Handlers... {
    using Handlers::operator()...;
};

template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

std::string messageText(const ToAgentMessage &message)
{
    const auto ids = [](const std::vector<TaskId> &tasks) {
        std::string text;
        for (const auto &task : tasks) {
            text += " " + taskText(task);
        }
        return text;
    };
    return std::visit(Overloaded{[](const StartTasks &start) {
                                     std::string text = "start token " + number(start.claim.token.value());
                                     for (const auto &task : start.tasks) {
                                         text += " " + taskText(task.task);
                                     }
                                     return text;
                                 },
                                 [&](const StopTasks &stop) { return "stop" + ids(stop.tasks); },
                                 [&](const QueryTasks &query) {
                                     return "query" + ids(query.tasks);
                                 }},
                      message);
}

std::string messageText(const ToPeerMessage &message)
{
    return std::visit(
        Overloaded{[](const PeerHeartbeat &heartbeat) { return "peer heartbeat epoch " + number(heartbeat.rosterEpoch.value()); },
                   [](const OwnerQuery &query) { return "owner query " + keyText(query.key); },
                   [](const Handover &handover) { return "handover of " + number(handover.submissions.size()); },
                   [](const ForwardJob &job) { return "forward job " + keyText(job.job->key); },
                   [](const ForwardCancel &cancel) { return "forward cancel " + keyText(cancel.key); },
                   [](const ForwardQuery &query) {
                       return "forward query " + keyText(query.key);
                   }},
        message);
}

std::string inputText(const EntryInput &input)
{
    return std::visit(
        Overloaded{
            [](const Tick &) { return std::string("tick"); },
            [](const JobSubmitted &job) {
                return "job " + keyText(job.job->key) + (job.forwardedBy ? " by " + job.forwardedBy->value() : "");
            },
            [](const CancelRequested &cancel) { return "cancel " + keyText(cancel.key); },
            [](const StatusRequested &status) { return "status " + keyText(status.key); },
            [](const AgentHeartbeatReceived &heartbeat) { return "heartbeat of " + heartbeat.heartbeat.agent.value(); },
            [](const TaskReportsReceived &reports) {
                return "reports of " + reports.reports.agent.value() + reportsText(reports.reports.reports);
            },
            [](const LedgerReportReceived &ledger) {
                return "ledger of " + ledger.report.agent.value() + " token " + number(ledger.report.token.value())
                    + reportsText(ledger.report.entries);
            },
            [](const PeerHeartbeatReceived &heartbeat) {
                return "peer heartbeat of " + heartbeat.heartbeat.from.value() + " epoch "
                    + number(heartbeat.heartbeat.rosterEpoch.value());
            },
            [](const PeerHeartbeatReplyReceived &reply) {
                return "peer reply of " + reply.reply.from.value() + " epoch " + number(reply.reply.rosterEpoch.value())
                    + (reply.reply.roster != nullptr ? " with " + rosterText(reply.reply.roster) : "");
            },
            [](const ForwardAnswered &answered) { return "forward answered " + answerText(answered.answer); },
            [](const PeerSendFailed &failed) { return "send to " + failed.peer.value() + " failed"; },
            [](const HeadRead &read) { return "head read " + rosterText(read.roster) + ", config " + number(read.configRevision.value()); },
            [](const HeadReadFailed &) { return std::string("head read failed"); },
            [](const RosterWriteEnded &ended) {
                return "roster write " + number(ended.epoch.value()) + " outcome " + number(static_cast<unsigned>(ended.outcome));
            },
            [](const ConfigRead &read) { return "config read " + number(read.config->revision.value()); },
            [](const SlotAgentsRead &read) { return "slot agents read " + number(read.agents.size()); },
            [](const SlotAgentsWriteEnded &ended) { return "slot agents write outcome " + number(static_cast<unsigned>(ended.outcome)); },
            [](const DrainRequested &) { return std::string("drain"); },
            [](const auto &) {
                return std::string("other");
            }},
        input);
}

} // namespace

std::string traceLine(const EntryName &entry, MonotonicTime now, const EntryInput &input)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    return std::to_string(milliseconds) + " " + entry.value() + " <- " + inputText(input);
}

std::optional<std::string> traceLine(const EntryOutput &output)
{
    const auto text = std::visit(
        Overloaded{[](const SendToAgent &send) { return "to " + send.agent.value() + ": " + messageText(send.message); },
                   [](const SendToPeer &send) { return "to " + send.endpoint.host + ": " + messageText(send.message); },
                   [](const AnswerJob &answer) { return "answer " + answerText(answer.answer); },
                   [](const AnswerStatus &answer) { return "status " + std::string(jobStateName(answer.status.state)); },
                   [](const AnswerAgentHeartbeat &answer) {
                       return std::string("heartbeat answer") + (answer.reply.assigned ? "" : ", not home");
                   },
                   [](const AnswerPeerHeartbeat &answer) { return "peer answer epoch " + number(answer.reply.rosterEpoch.value()); },
                   [](const AnswerLedgerReport &answer) { return "ledger answer token " + number(answer.reply.token.value()); },
                   [](const ReadHead &) { return std::string("read head"); },
                   [](const WriteRoster &write) { return "write " + rosterText(write.roster); },
                   [](const ReadConfig &read) { return "read config " + number(read.revision.value()); },
                   [](const ReadSlotAgents &) { return std::string("read slot agents"); },
                   [](const WriteSlotAgents &write) { return "write slot agents " + number(write.agents.size()); },
                   [](const LogLine &line) { return "log " + std::string(line.component) + ": " + line.text; },
                   [](const AuditRecord &record) { return "audit " + record.subject + ": " + record.reason; },
                   [](const Stopped &stopped) { return "stopped, cut off " + number(stopped.cutOff); },
                   [](const SetTimer &) { return std::string(); },
                   [](const Observation &) { return std::string(); },
                   [](const Count &) { return std::string(); },
                   [](const auto &) {
                       return std::string("other");
                   }},
        output);
    return text.empty() ? std::nullopt : std::optional("    -> " + text);
}

} // namespace Sycamoremoor
