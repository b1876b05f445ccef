// Writes what callers are told.
#include <sycamoremoor/wire/caller_codec.h>

#include "json_writer.h"

#include <sycamoremoor/wire/http_status.h>

namespace Sycamoremoor
{

namespace
{

/** What a caller is told of a failure. */
struct ErrorBody {
    ErrorKind kind = ErrorKind::None;
    RunState ran = RunState::NotRun;
    std::string_view detail;
    bool isFinal = false; ///< the submission was taken and has ended: sent again, it gets this answer again
};

void describe(auto &archive, Described<ErrorBody> auto &error)
{
    const auto &row = errorRow(error.kind);
    archive("code", std::string(row.code));
    archive("message", std::string(row.text));
    archive("detail", std::string(error.detail));
    archive("ran", error.ran);
    archive("retry_is_safe", row.retryIsSafe && !error.isFinal);
}

/** The body of an answer to a submission. */
struct AnswerBody {
    const JobAnswer &answer;
};

void describeOutcome(auto &archive, const JobAnswer &answer)
{
    if (answer.error == ErrorKind::None) {
        archive("state", JobState::Complete);
        if (answer.singleRequest && answer.results.size() == 1) {
            archive("result", answer.results.front());
        } else {
            archive("results", answer.results);
        }
    } else {
        archive("state", JobState::Failed);
        archive("error", ErrorBody{answer.error, answer.ran, answer.detail, !answer.account.empty()});
    }
}

void describe(auto &archive, Described<AnswerBody> auto &body)
{
    archive("key", body.answer.key);
    describeOutcome(archive, body.answer);
    archive("account", body.answer.account);
}

/** The body of an answer to a status query or cancel. */
struct StatusBody {
    const JobStatus &status;
};

void describe(auto &archive, Described<StatusBody> auto &body)
{
    const auto &status = body.status;
    archive("key", status.key);
    archive("state", status.state);
    archive("tasks", status.tasks);
    archive("finished", status.finished);
    if (status.answer) {
        archive("answer", AnswerBody{*status.answer});
    }
}

/** Puts the request's id before the fields of @p body. */
template<typename Body>
struct WithRequestId {
    std::string_view requestId;
    const Body &body;
};

template<typename Body>
void describe(auto &archive, const WithRequestId<Body> &wrapped)
{
    archive("request_id", std::string(wrapped.requestId));
    describe(archive, wrapped.body);
}

/** The body of an answer that is only an error. */
struct ErrorOnlyBody {
    ErrorBody error;
};

void describe(auto &archive, Described<ErrorOnlyBody> auto &body)
{
    archive("error", body.error);
}

template<typename Body>
std::string encodeBody(std::string_view requestId, const Body &body)
{
    std::string text;
    JsonWriter::writeObject(text, WithRequestId<Body>{requestId, body});
    text += '\n';
    return text;
}

/** Returns whole seconds, rounded up, so that nobody comes back too early. */
std::uint32_t toRetryAfter(Duration duration)
{
    return static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::seconds>(duration).count());
}

} // namespace

CallerAnswer encodeAnswer(const JobAnswer &answer, std::string_view requestId)
{
    return {errorRow(answer.error).httpStatus, encodeBody(requestId, AnswerBody{answer}), toRetryAfter(answer.retryAfter)};
}

CallerAnswer encodeStatus(ErrorKind error, const JobStatus &status, std::string_view requestId)
{
    if (error != ErrorKind::None) {
        return encodeError(error, "", requestId);
    }
    const bool ended = status.state == JobState::Complete || status.state == JobState::Failed;
    return {ended ? HttpStatus::Ok : HttpStatus::Accepted, encodeBody(requestId, StatusBody{status}), 0};
}

CallerAnswer encodeError(ErrorKind error, std::string_view detail, std::string_view requestId)
{
    const auto &row = errorRow(error);
    return {row.httpStatus, encodeBody(requestId, ErrorOnlyBody{{error, row.ran, detail}}), 0};
}

} // namespace Sycamoremoor
