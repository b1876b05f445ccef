// Error kinds, their codes and HTTP statuses.
#pragma once

#include <string_view>
#include <system_error>

namespace Sycamoremoor
{

/** Reasons for which a request can fail. Codes and texts are in table/error_table.h. */
enum class ErrorKind {
    None,                ///< no error
    MalformedBody,       ///< the body is not JSON of the documented schema
    UnknownField,        ///< the body has a field that is not part of the interface
    InvalidValue,        ///< a field's value is out of its documented range
    WrongContentType,    ///< the body is not application/json
    BodyTooLarge,        ///< the body exceeds the limit in bytes
    TooManyTasks,        ///< the job has no task or more than the limit
    InvalidKey,          ///< the idempotency key is missing or is not a UUID of version 7
    KeyFromFuture,       ///< the timestamp of the key is ahead of the clock by more than the allowed skew
    KeyExpired,          ///< the key is older than the retention of answers and ledgers
    KeyConflict,         ///< the key was received before with a different body
    AnswerReleased,      ///< the job ended, but its answer is no longer stored
    NotFound,            ///< no such job or path
    MethodNotAllowed,    ///< the path does not support the method
    RequestTimeout,      ///< the caller did not send the complete request in time
    UnknownService,      ///< no such service in the configuration in force
    UnknownTeam,         ///< no such team in the configuration in force
    NeverFits,           ///< a task is larger than any worker of the service
    QueueFull,           ///< the queue has reached its limit of bytes, tasks or expected wait
    QuotaExceeded,       ///< the queue of the team is full
    DeadlineUnreachable, ///< the deadline has passed, or would pass before the job can end
    Draining,            ///< this process is shutting down
    OwnerUnavailable,    ///< the owner of the key is unreachable, or has no proof that it still is the owner
    NoCapacity,          ///< the worker has not enough free capacity for the task
    OwnerFenced,         ///< the sender is no longer an owner
    WrongIncarnation,    ///< the message is addressed to an earlier incarnation of this process
    StaleMessage,        ///< the message is older than the maximum age
    Tombstoned,          ///< the agent has a tombstone for the task, which guarantees that it never starts
    Cancelled,           ///< the caller cancelled the job
    TaskFailed,          ///< the upstream ran the task and it failed
    CrashesUpstreams,    ///< upstreams that started the task crashed, several times
    RunLimitReached,     ///< the task ran for much longer than expected and was stopped
    UpstreamLost,        ///< the upstream ended while the task ran
    AgentLost,           ///< the agent has no record of the task any more
    PlatformUnavailable, ///< the platform's key-value service does not answer
    RevisionConflict,    ///< another change was made first
    Internal,            ///< a bug or an unexpected state of this program
    End,                 ///< number of kinds
};

/** Whether a task or job was started, as far as it can be proven. */
enum class RunState {
    NotRun,  ///< was not started and never will be
    Ran,     ///< started exactly once
    Unknown, ///< may have started once
    End,
};

/** One row of the error table: the answer to a caller. */
struct ErrorRow {
    ErrorKind kind;
    int httpStatus;        ///< status of the HTTP answer
    std::string_view code; ///< machine-readable, stable
    RunState ran;          ///< whether tasks ran, if this is the answer to a whole submission
    bool retryIsSafe;      ///< whether the same submission may be sent again with the same key and may get a different answer
    std::string_view text; ///< human-readable
};

/** Returns the row of @p kind. */
const ErrorRow &errorRow(ErrorKind kind);

/** Returns the kind with machine-readable code @p code, or ErrorKind::Internal. */
ErrorKind errorKindFromCode(std::string_view code);

/** Returns the machine-readable name: not_run, ran or unknown. */
std::string_view runStateName(RunState state);

/** Returns the category of std::error_code for error kinds. */
const std::error_category &errorCategory();

/** Makes a std::error_code; found by argument-dependent lookup. */
std::error_code make_error_code(ErrorKind kind);

} // namespace Sycamoremoor

template<>
struct std::is_error_code_enum<Sycamoremoor::ErrorKind> : std::true_type {
};
