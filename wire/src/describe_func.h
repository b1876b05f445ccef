// Fields of every message, once for reading and writing.
#pragma once

#include <sycamoremoor/core/account_type.h>
#include <sycamoremoor/core/agent_message_type.h>
#include <sycamoremoor/core/guard_message_type.h>
#include <sycamoremoor/core/peer_message_type.h>
#include <sycamoremoor/wire/status_reply_type.h>

#include <concepts>
#include <type_traits>

namespace Sycamoremoor
{

/** @p T is @p Message, const or not. */
template<typename T, typename Message>
concept Described = std::same_as<std::remove_const_t<T>, Message>;

/** describe() below lists the fields of @p T to an @p Archive. */
template<typename T, typename Archive>
concept Describable = requires(Archive &archive, T &message)
{
    describe(archive, message);
};

// An archive is called with the name and the value of each field. Fields given to optional() are left out when they
// have their type's zero value.

void describe(auto &archive, Described<TaskSize> auto &size)
{
    archive("cores", size.cores);
    archive("memory", size.memory);
    archive.optional("accelerators", size.accelerators);
}

void describe(auto &archive, Described<TaskSpec> auto &spec)
{
    archive.optional("kind", spec.kind);
    archive.optional("payload", spec.payload);
    archive("size", spec.size);
    archive("run_time", spec.declaredRunTime);
    archive("idempotent", spec.idempotent);
}

void describe(auto &archive, Described<TaskReport> auto &report)
{
    archive("task", report.task);
    archive("sequence", report.sequence);
    archive("state", report.state);
    archive("ran", report.ran);
    archive.optional("error", report.error);
    archive.optional("result", report.result);
    archive.optional("result_released", report.resultReleased);
    archive.optional("started_at", report.startedAt);
    archive.optional("finished_at", report.finishedAt);
}

void describe(auto &archive, Described<TaskAccount> auto &account)
{
    archive("index", account.index);
    archive("kind", account.kind);
    archive("idempotent", account.idempotent);
    archive("ran", account.ran);
    archive("state", account.state);
    archive("error", account.error);
    archive("agent", account.agent);
    archive("upstream", account.upstream);
    archive("attempts", account.attempts);
    archive("started_at", account.startedAt);
    archive("finished_at", account.finishedAt);
}

void describe(auto &archive, Described<JobSpec> auto &job)
{
    archive("key", job.key);
    archive("service", job.service);
    archive("team", job.team);
    archive("deadline", job.deadline);
    archive("tasks", job.tasks);
    archive("single_request", job.singleRequest);
    archive("digest", job.digest);
}

void describe(auto &archive, Described<JobAnswer> auto &answer)
{
    archive("key", answer.key);
    archive("error", answer.error);
    archive("ran", answer.ran);
    archive("detail", answer.detail);
    archive("retry_after", answer.retryAfter);
    archive("single_request", answer.singleRequest);
    archive("results", answer.results);
    archive("account", answer.account);
}

void describe(auto &archive, Described<JobStatus> auto &status)
{
    archive("key", status.key);
    archive("state", status.state);
    archive("tasks", status.tasks);
    archive("finished", status.finished);
    archive("answer", status.answer);
}

void describe(auto &archive, Described<StatusReply> auto &reply)
{
    archive("error", reply.error);
    archive("status", reply.status);
}

void describe(auto &archive, Described<SubmissionAccount> auto &account)
{
    archive("key", account.key);
    archive("service", account.service);
    archive("team", account.team);
    archive("state", account.state);
    archive("error", account.error);
    archive("ran", account.ran);
    archive("received_at", account.receivedAt);
    archive("answered_at", account.answeredAt);
    archive("times_submitted", account.timesSubmitted);
    archive("times_answered", account.timesAnswered);
    archive("tasks", account.tasks);
}

void describe(auto &archive, Described<AccountReply> auto &reply)
{
    archive("entry", reply.entry);
    archive("incarnation", reply.incarnation);
    archive("covers_from", reply.coversFrom);
    archive("released", reply.released);
    archive("submissions", reply.submissions);
}

void describe(auto &archive, Described<AuditRecord> auto &record)
{
    archive("at", record.at);
    archive("kind", record.kind);
    archive("actor", record.actor);
    archive("subject", record.subject);
    archive("reason", record.reason);
    archive("before", record.before);
    archive("after", record.after);
}

void describe(auto &archive, Described<ProcessStatus::Worker> auto &worker)
{
    archive("agent", worker.agent);
    archive("incarnation", worker.incarnation);
    archive("zone", worker.zone);
    archive("service", worker.service);
    archive("leaving", worker.leaving);
    archive("ejected", worker.ejected);
    archive("reachable", worker.reachable);
    archive("running", worker.running);
    archive("slots", worker.slots);
    archive("config_revision", worker.configRevision);
    archive("config_since", worker.configSince);
}

void describe(auto &archive, Described<ProcessStatus> auto &status)
{
    archive("name", status.name);
    archive("role", status.role);
    archive("incarnation", status.incarnation);
    archive("started_at", status.startedAt);
    archive("draining", status.draining);
    archive("ready", status.ready);
    archive("roster_epoch", status.rosterEpoch);
    archive("config_revision", status.configRevision);
    archive("config_since", status.configSince);
    archive("owned_slots", status.ownedSlots);
    archive("open_jobs", status.openJobs);
    archive("queued_tasks", status.queuedTasks);
    archive("outstanding_tasks", status.outstandingTasks);
    archive("workers", status.workers);
    archive("roster", status.roster);
    archive("audit", status.audit);
}

void describe(auto &archive, Described<ServiceRecord> auto &service)
{
    archive("name", service.name);
    archive("slots_per_upstream", service.slotsPerUpstream);
    archive("connections_per_upstream", service.connectionsPerUpstream);
    archive("default_deadline", service.defaultDeadline);
    archive("max_deadline", service.maxDeadline);
    archive("max_run_time", service.maxRunTime);
    archive("max_queue_bytes", service.maxQueueBytes);
    archive("max_queue_tasks", service.maxQueueTasks);
}

void describe(auto &archive, Described<TeamRecord> auto &team)
{
    archive("name", team.name);
    archive("quota_slots", team.quotaSlots);
    archive("weight", team.weight);
    archive("max_queue_tasks", team.maxQueueTasks);
}

void describe(auto &archive, Described<PolicyRecord> auto &policy)
{
    archive("agents_per_owner", policy.agentsPerOwner);
    archive("agent_queue", policy.agentQueue);
    archive("eject_after_failures", policy.ejectAfterFailures);
    archive("max_ejected_percent", policy.maxEjectedPercent);
    archive("ejection_time", policy.ejectionTime);
    archive("retry_budget_percent", policy.retryBudgetPercent);
    archive("answer_retention", policy.answerRetention);
    archive("answer_bytes", policy.answerBytes);
}

void describe(auto &archive, Described<ConfigSet> auto &config)
{
    archive("revision", config.revision);
    archive("change_id", config.changeId);
    archive("author", config.author);
    archive("changed_at", config.changedAt);
    archive("services", config.services);
    archive("teams", config.teams);
    archive("policy", config.policy);
}

void describe(auto &archive, Described<RosterMember> auto &member)
{
    archive("name", member.name);
    archive("incarnation", member.incarnation);
    archive("endpoint", member.endpoint);
    archive("zone", member.zone);
    archive("region", member.region);
    archive("leaving", member.leaving);
}

void describe(auto &archive, Described<FormerOwner> auto &former)
{
    archive("name", former.name);
    archive("incarnation", former.incarnation);
    archive("until", former.until);
    archive("clean", former.clean);
}

void describe(auto &archive, Described<OwnerSlot> auto &slot)
{
    archive("owner", slot.owner);
    archive("incarnation", slot.incarnation);
    archive("token", slot.token);
    archive("since", slot.since);
    archive("former", slot.former);
}

void describe(auto &archive, Described<RosterRecord> auto &roster)
{
    archive("epoch", roster.epoch);
    archive("members", roster.members);
    archive("slots", roster.slots);
}

void describe(auto &archive, Described<OwnerClaim> auto &right)
{
    archive("owner", right.owner);
    archive("incarnation", right.incarnation);
    archive("slot", right.slot);
    archive("token", right.token);
}

void describe(auto &archive, Described<WorkerCapacity> auto &capacity)
{
    archive("slots", capacity.slots);
    archive("connections", capacity.connections);
    archive("cores", capacity.cores);
    archive("memory", capacity.memory);
    archive("accelerators", capacity.accelerators);
}

void describe(auto &archive, Described<WorkerUsage> auto &usage)
{
    archive("cores", usage.cores);
    archive("memory", usage.memory);
}

void describe(auto &archive, Described<AgentHeartbeat> auto &heartbeat)
{
    archive("agent", heartbeat.agent);
    archive("incarnation", heartbeat.incarnation);
    archive.optional("brief", heartbeat.brief);
    archive.optional("started_at", heartbeat.startedAt);
    archive.optional("endpoint", heartbeat.endpoint);
    archive.optional("zone", heartbeat.zone);
    archive.optional("region", heartbeat.region);
    archive.optional("service", heartbeat.service);
    archive.optional("upstream", heartbeat.upstream);
    archive.optional("capacity", heartbeat.capacity);
    archive.optional("usage", heartbeat.usage);
    archive("stamp", heartbeat.stamp);
    archive("roster_epoch", heartbeat.rosterEpoch);
    archive("config_revision", heartbeat.configRevision);
    archive("config_since", heartbeat.configSince);
    archive.optional("leaving", heartbeat.leaving);
    archive("upstream_healthy", heartbeat.upstreamHealthy);
    archive.optional("queued", heartbeat.queued);
    archive.optional("running", heartbeat.running);
    archive.optional("receiver", heartbeat.receiver);
    archive.optional("held_for_owner", heartbeat.heldForOwner);
    archive.optional("unacknowledged", heartbeat.unacknowledged);
}

void describe(auto &archive, Described<AgentHeartbeatReply> auto &reply)
{
    archive("entry", reply.entry);
    archive("incarnation", reply.incarnation);
    archive.optional("describe", reply.needsDescription);
    archive.optional("interval", reply.interval);
    archive("home", reply.assigned);
    archive.optional("roster", reply.roster);
    archive.optional("config_unchanged", reply.configUnchanged);
    archive.optional("config", reply.config);
    archive("roster_epoch", reply.rosterEpoch);
    archive.optional("acknowledged", reply.acknowledged);
}

void describe(auto &archive, Described<StartTask> auto &start)
{
    archive("task", start.task);
    archive("spec", start.spec);
    archive("deadline", start.deadline);
}

void describe(auto &archive, Described<StartTasks> auto &message)
{
    archive("right", message.claim);
    archive("agent", message.agent);
    archive("agent_incarnation", message.agentIncarnation);
    archive("stamp", message.stamp);
    archive("acknowledged", message.acknowledged);
    archive("tasks", message.tasks);
}

void describe(auto &archive, Described<StopTasks> auto &message)
{
    archive("right", message.claim);
    archive("agent", message.agent);
    archive("agent_incarnation", message.agentIncarnation);
    archive("reason", message.reason);
    archive("tasks", message.tasks);
}

void describe(auto &archive, Described<QueryTasks> auto &message)
{
    archive("right", message.claim);
    archive("agent", message.agent);
    archive("agent_incarnation", message.agentIncarnation);
    archive("tasks", message.tasks);
}

void describe(auto &archive, Described<TaskReports> auto &message)
{
    archive("agent", message.agent);
    archive("incarnation", message.incarnation);
    archive("owner", message.owner);
    archive("queued", message.queued);
    archive("running", message.running);
    archive("reports", message.reports);
}

void describe(auto &archive, Described<LedgerReport> auto &message)
{
    archive("agent", message.agent);
    archive("incarnation", message.incarnation);
    archive("started_at", message.startedAt);
    archive("slot", message.slot);
    archive("token", message.token);
    archive("part", message.part);
    archive("parts", message.parts);
    archive("entries", message.entries);
}

void describe(auto &archive, Described<LedgerReportReply> auto &reply)
{
    archive("slot", reply.slot);
    archive("token", reply.token);
    archive("part", reply.part);
}

void describe(auto &archive, Described<PeerHeartbeat> auto &heartbeat)
{
    archive("from", heartbeat.from);
    archive("incarnation", heartbeat.incarnation);
    archive("to", heartbeat.to);
    archive("sequence", heartbeat.sequence);
    archive("roster_epoch", heartbeat.rosterEpoch);
    archive("config_revision", heartbeat.configRevision);
}

void describe(auto &archive, Described<PeerHeartbeatReply> auto &reply)
{
    archive("from", reply.from);
    archive("incarnation", reply.incarnation);
    archive("sequence", reply.sequence);
    archive("roster_epoch", reply.rosterEpoch);
    archive("roster", reply.roster);
    archive("config_revision", reply.configRevision);
    archive("config", reply.config);
    archive("silent", reply.silent);
}

void describe(auto &archive, Described<SubmissionRecord> auto &record)
{
    archive("key", record.key);
    archive("digest", record.digest);
    archive("state", record.state);
    archive("answer", record.answer);
}

void describe(auto &archive, Described<OwnerQuery> auto &query)
{
    archive("from", query.from);
    archive("to", query.to);
    archive("slot", query.slot);
    archive("token", query.token);
    archive("key", query.key);
}

void describe(auto &archive, Described<OwnerQueryReply> auto &reply)
{
    archive("from", reply.from);
    archive("incarnation", reply.incarnation);
    archive("key", reply.key);
    archive("known", reply.known);
}

void describe(auto &archive, Described<Handover> auto &message)
{
    archive("from", message.from);
    archive("incarnation", message.incarnation);
    archive("to", message.to);
    archive("slot", message.slot);
    archive("part", message.part);
    archive("parts", message.parts);
    archive("submissions", message.submissions);
}

void describe(auto &archive, Described<HandoverReply> auto &reply)
{
    archive("from", reply.from);
    archive("incarnation", reply.incarnation);
    archive("slot", reply.slot);
    archive("part", reply.part);
}

void describe(auto &archive, Described<ForwardJob> auto &message)
{
    archive("from", message.from);
    archive("to", message.to);
    archive("to_incarnation", message.toIncarnation);
    archive("roster_epoch", message.rosterEpoch);
    archive("job", message.job);
}

void describe(auto &archive, Described<ForwardCancel> auto &message)
{
    archive("from", message.from);
    archive("to", message.to);
    archive("key", message.key);
}

void describe(auto &archive, Described<ForwardQuery> auto &message)
{
    archive("from", message.from);
    archive("to", message.to);
    archive("key", message.key);
}

void describe(auto &archive, Described<QueueTaskId> auto &task)
{
    archive("work", task.job);
    archive("step", task.step);
    archive("index", task.index);
}

void describe(auto &archive, Described<RunId> auto &run)
{
    archive("task", run.task);
    archive("number", run.number);
}

void describe(auto &archive, Described<Urgency> auto &urgency)
{
    archive("is_ordinary", urgency.isOrdinary);
    archive("slack", urgency.slack);
}

void describe(auto &archive, Described<RunOrder> auto &order)
{
    archive("run", order.run);
    archive("size", order.size);
    archive("urgency", order.urgency);
    archive("start_within", order.startWithin);
    archive.optional("expected", order.expected);
    archive("run_limit", order.runLimit);
    archive.optional("reference", order.reference);
}

void describe(auto &archive, Described<StartBatch> auto &batch)
{
    archive("scheduler", batch.scheduler);
    archive("scheduler_incarnation", batch.schedulerIncarnation);
    archive("batch", batch.batch);
    archive("guard", batch.guard);
    archive("receive_by", batch.receiveBy);
    archive("lease_until", batch.leaseUntil);
    archive("expires_at", batch.expiresAt);
    archive.optional("report_interval", batch.reportInterval);
    archive.optional("queue", batch.queue);
    archive("payload", batch.payload);
    archive("orders", batch.orders);
}

void describe(auto &archive, Described<BatchRenewal> auto &renewal)
{
    archive("scheduler", renewal.scheduler);
    archive("scheduler_incarnation", renewal.schedulerIncarnation);
    archive("batches", renewal.batches);
    archive("lease_until", renewal.leaseUntil);
}

void describe(auto &archive, Described<BatchRecall> auto &recall)
{
    archive("scheduler", recall.scheduler);
    archive("scheduler_incarnation", recall.schedulerIncarnation);
    archive("batch", recall.batch);
    archive("guard", recall.guard);
    archive("orders", recall.orders);
}

void describe(auto &archive, Described<RunReport> auto &report)
{
    archive("order", report.order);
    archive("outcome", report.outcome);
    archive("run_time", report.runTime);
    archive.optional("why", report.error);
    archive.optional("crash", report.crash);
    archive.optional("is_suspect", report.isSuspect);
}

void describe(auto &archive, Described<RunProjection> auto &projection)
{
    archive("projected_order", projection.order);
    archive("run_time", projection.runTime);
}

void describe(auto &archive, Described<CrashedRun> auto &run)
{
    archive("task", run.task);
    archive.optional("is_suspect", run.isSuspect);
}

void describe(auto &archive, Described<QueueEvidence> auto &evidence)
{
    archive("queue", evidence.queue);
    archive("likelihood_ratio", evidence.likelihoodRatio);
    archive("had_runs", evidence.hadRuns);
}

void describe(auto &archive, Described<CrashNotice> auto &notice)
{
    archive("crashed_guard", notice.guard);
    archive("number", notice.number);
    archive("runs", notice.runs);
    archive("queues", notice.queues);
    archive.optional("is_refuted", notice.isRefuted);
}

void describe(auto &archive, Described<CapacityReport> auto &room)
{
    archive("incarnation", room.incarnation);
    archive("accepting", room.accepting);
    archive("service", room.service);
    archive("capacity", room.capacity);
    archive("free", room.free);
    archive.optional("waiting", room.waiting);
    archive("labels", room.labels);
    archive("seen", room.lastCountedBatch);
    archive.optional("clock", room.clock);
    archive.optional("run_time_ratio", room.runTimeRatio);
    archive.optional("ratio_error", room.ratioError);
}

void describe(auto &archive, Described<JobCancellation> auto &cancellation)
{
    archive("cancelled_jobs", cancellation.jobs);
}

void describe(auto &archive, Described<JobCancellationReply> auto &reply)
{
    archive("stopped", reply.stopped);
}

void describe(auto &archive, Described<AgentRecord> auto &record)
{
    archive("agent", record.agent);
    archive("endpoint", record.endpoint);
    archive("zone", record.zone);
}

} // namespace Sycamoremoor
