// HTTP status, code and text of each error kind, in the order of ErrorKind.
#pragma once

#include <sycamoremoor/core/error_type.h>

#include <array>

namespace Sycamoremoor
{

inline constexpr std::array<ErrorRow, static_cast<std::size_t>(ErrorKind::End)> ErrorTable{{
    // clang-format off
    // kind                          status  code                    ran                retry  text
    {ErrorKind::None,                200, "ok",                      RunState::Ran,     true,  "done"},
    {ErrorKind::MalformedBody,       400, "malformed_body",          RunState::NotRun,  false, "the body is not JSON of the documented shape"},
    {ErrorKind::UnknownField,        400, "unknown_field",           RunState::NotRun,  false, "the body has an unknown field"},
    {ErrorKind::InvalidValue,        400, "invalid_value",           RunState::NotRun,  false, "a value is out of its range"},
    {ErrorKind::WrongContentType,    415, "wrong_content_type",      RunState::NotRun,  false, "the content type must be application/json"},
    {ErrorKind::BodyTooLarge,        413, "body_too_large",          RunState::NotRun,  false, "the body is too large"},
    {ErrorKind::TooManyTasks,        400, "too_many_tasks",          RunState::NotRun,  false, "a job has from 1 to 1,000 tasks"},
    {ErrorKind::InvalidKey,          400, "invalid_key",             RunState::NotRun,  false, "the idempotency key must be a UUID of version 7"},
    {ErrorKind::KeyFromFuture,       400, "key_from_future",         RunState::NotRun,  false, "the key's time is ahead of the clock"},
    {ErrorKind::KeyExpired,          410, "key_expired",             RunState::Unknown, false, "the key is older than submissions are remembered"},
    {ErrorKind::KeyConflict,         409, "key_conflict",            RunState::Unknown, false, "the key was used with another body"},
    {ErrorKind::AnswerReleased,      410, "answer_released",         RunState::Unknown, false, "the job ended and its answer is no longer kept"},
    {ErrorKind::NotFound,            404, "not_found",               RunState::Unknown, false, "no such job or path"},
    {ErrorKind::MethodNotAllowed,    405, "method_not_allowed",      RunState::NotRun,  false, "the method is not allowed here"},
    {ErrorKind::RequestTimeout,      408, "request_timeout",         RunState::NotRun,  true,  "the request did not arrive whole in time"},
    {ErrorKind::UnknownService,      404, "unknown_service",         RunState::NotRun,  false, "no such service"},
    {ErrorKind::UnknownTeam,         403, "unknown_team",            RunState::NotRun,  false, "no such team"},
    {ErrorKind::NeverFits,           422, "never_fits",              RunState::NotRun,  false, "a task is larger than any worker of the service"},
    {ErrorKind::QueueFull,           503, "queue_full",              RunState::NotRun,  true,  "too much work is waiting"},
    {ErrorKind::QuotaExceeded,       429, "quota_exceeded",          RunState::NotRun,  true,  "too much work of the team is waiting"},
    {ErrorKind::DeadlineUnreachable, 504, "deadline_unreachable",    RunState::NotRun,  false, "the deadline cannot be met"},
    {ErrorKind::Draining,            503, "draining",                RunState::NotRun,  true,  "the process is stopping"},
    {ErrorKind::OwnerUnavailable,    503, "owner_unavailable",       RunState::Unknown, true,  "the owner of the key cannot be reached"},
    {ErrorKind::NoCapacity,          503, "no_capacity",             RunState::NotRun,  true,  "the worker has no room"},
    {ErrorKind::OwnerFenced,         409, "owner_fenced",            RunState::NotRun,  true,  "the sender is no longer an owner"},
    {ErrorKind::WrongIncarnation,    409, "wrong_incarnation",       RunState::NotRun,  true,  "the message was meant for an earlier process"},
    {ErrorKind::StaleMessage,        409, "stale_message",           RunState::NotRun,  true,  "the message came too late"},
    {ErrorKind::Tombstoned,          409, "tombstoned",              RunState::NotRun,  true,  "the task was promised never to start"},
    {ErrorKind::Cancelled,           409, "cancelled",               RunState::Unknown, false, "the caller cancelled"},
    {ErrorKind::TaskFailed,          424, "task_failed",             RunState::Ran,     false, "the task ran and failed"},
    {ErrorKind::CrashesUpstreams,    424, "crashes_upstreams",       RunState::Ran,     false, "the upstreams that started the task crashed"},
    {ErrorKind::RunLimitReached,     424, "run_limit_reached",       RunState::Ran,     false, "the task ran too long and was stopped"},
    {ErrorKind::UpstreamLost,        502, "upstream_lost",           RunState::Unknown, false, "the upstream ended while the task ran"},
    {ErrorKind::AgentLost,           502, "agent_lost",              RunState::Unknown, false, "the record of the task is gone"},
    {ErrorKind::PlatformUnavailable, 503, "platform_unavailable",    RunState::NotRun,  true,  "the platform's key-value service does not answer"},
    {ErrorKind::RevisionConflict,    409, "revision_conflict",       RunState::NotRun,  true,  "another change came first"},
    {ErrorKind::Internal,            500, "internal",                RunState::Unknown, false, "a fault of this program"},
    // clang-format on
}};

/** Returns whether the rows are in the order of ErrorKind. */
constexpr bool errorTableIsOrdered()
{
    for (std::size_t row = 0; row < ErrorTable.size(); ++row) {
        if (static_cast<std::size_t>(ErrorTable.at(row).kind) != row) {
            return false;
        }
    }
    return true;
}

static_assert(errorTableIsOrdered(), "ErrorTable must follow ErrorKind");

} // namespace Sycamoremoor
