// The closed list of error kinds, and what each means to a caller.
#pragma once

#include <string_view>
#include <system_error>

namespace Sycamoremoor
{

/** Every way in which a request can end other than well. The table is table/error_table.h. */
enum class ErrorKind {
    None,                ///< no error
    MalformedBody,       ///< the body is no JSON of the documented shape
    UnknownField,        ///< the body has a field that the interface does not know
    InvalidValue,        ///< a field's value is out of its documented range
    WrongContentType,    ///< the body is not application/json
    BodyTooLarge,        ///< the body exceeds the limit in bytes
    TooManyTasks,        ///< a job with more tasks than allowed, or none
    InvalidKey,          ///< the idempotency key is missing or no UUID of version 7
    KeyFromFuture,       ///< the key's time is ahead of the clock by more than the allowed skew
    KeyExpired,          ///< the key is older than answers and ledgers are kept
    KeyConflict,         ///< the same key came with another body before
    AnswerReleased,      ///< the job ended, but its answer is no longer kept
    NotFound,            ///< no such job or path
    MethodNotAllowed,    ///< the path exists, the method does not
    RequestTimeout,      ///< the caller did not send its whole request in time
    UnknownService,      ///< no such service in the configuration in force
    UnknownTeam,         ///< no such team in the configuration in force
    NeverFits,           ///< a task is larger than any worker of the service
    QueueFull,           ///< the queue is full by bytes, tasks or expected wait
    QuotaExceeded,       ///< the team's own queue is full
    DeadlineUnreachable, ///< the deadline passed, or would pass, before the work could end
    Draining,            ///< this process is stopping
    OwnerUnavailable,    ///< the owner of the key cannot be reached, or cannot prove that it may act
    NoCapacity,          ///< the worker has no room for the task
    OwnerFenced,         ///< the sender is no longer an owner
    WrongIncarnation,    ///< the message was meant for an earlier life of this process
    StaleMessage,        ///< the message is older than messages are accepted
    Tombstoned,          ///< the task was promised never to start
    Cancelled,           ///< the caller cancelled
    TaskFailed,          ///< the upstream ran the task and it failed
    RunLimitReached,     ///< the task ran for much longer than expected and was stopped
    UpstreamLost,        ///< the upstream ended while the task ran
    AgentLost,           ///< the agent's record of the task is gone
    PlatformUnavailable, ///< the platform's key-value service does not answer
    RevisionConflict,    ///< another change came first
    Internal,            ///< a fault of this program
    End,                 ///< number of kinds
};

/** Whether work was started, as far as is provable. */
enum class RunState {
    NotRun,  ///< provably never started, and never will
    Ran,     ///< started exactly once
    Unknown, ///< may have started once
    End,
};

/** One row of the error table: what a caller is told. */
struct ErrorRow {
    ErrorKind kind;
    int httpStatus;        ///< status of the HTTP answer
    std::string_view code; ///< machine-readable, stable
    RunState ran;          ///< whether the work ran, when this is the answer to a whole submission
    bool retryIsSafe;      ///< whether the same submission may be sent again with the same key and hope of another answer
    std::string_view text; ///< for people
};

/** Returns the row of @p kind. */
const ErrorRow &errorRow(ErrorKind kind);

/** Returns the kind with machine-readable code @p code, or ErrorKind::Internal. */
ErrorKind errorKindFromCode(std::string_view code);

/** Returns the machine-readable name: not_run, ran or unknown. */
std::string_view runStateName(RunState state);

/** Returns the category of std::error_code for error kinds. */
const std::error_category &errorCategory();

/** Makes an std::error_code; found by argument-dependent look-up. */
std::error_code make_error_code(ErrorKind kind);

} // namespace Sycamoremoor

template<>
struct std::is_error_code_enum<Sycamoremoor::ErrorKind> : std::true_type {
};
