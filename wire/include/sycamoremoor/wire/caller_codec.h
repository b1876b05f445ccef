// JSON of the callers' interface, as documented in docs/API.md.
#pragma once

#include <sycamoremoor/core/account_type.h>
#include <sycamoremoor/core/job_type.h>
#include <sycamoremoor/wire/caller_limits_type.h>
#include <sycamoremoor/wire/decode_error_type.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Sycamoremoor
{

/** An answer by HTTP. */
struct CallerAnswer {
    int httpStatus = 0;
    std::string body;                    ///< JSON
    std::uint32_t retryAfterSeconds = 0; ///< value of the Retry-After header, zero for none
};

/**
 * Reads the body of POST /v1/jobs.
 * @param key value of the Idempotency-Key header
 * @param job filled when nothing is returned, digest included
 * @return what is wrong; no text makes it throw
 */
std::optional<DecodeError> decodeJob(std::string_view key, std::string_view body, const CallerLimits &limits, JobSpec &job);

/** Reads the body of POST /v1/requests: one task, its fields beside those of the job. Otherwise as decodeJob(). */
std::optional<DecodeError> decodeRequest(std::string_view key, std::string_view body, const CallerLimits &limits, JobSpec &job);

/**
 * Reads an account query from the parameters of a URL: key, team, since_ms, until_ms, ran, limit.
 * @return what is wrong, or nothing
 */
std::optional<DecodeError> decodeAccountQuery(const std::map<std::string, std::string> &parameters, AccountQuery &query);

/** Returns the answer to a submission: whole, or failed without any result. */
CallerAnswer encodeAnswer(const JobAnswer &answer, std::string_view requestId);

/** Returns the answer to GET and DELETE of a job. */
CallerAnswer encodeStatus(ErrorKind error, const JobStatus &status, std::string_view requestId);

/** Returns an answer that is only an error. @param detail for people, may be empty */
CallerAnswer encodeError(ErrorKind error, std::string_view detail, std::string_view requestId);

/** Returns the digest by which the same submission is recognised: of everything but its key and deadline. */
std::uint64_t digestOf(const JobSpec &job);

} // namespace Sycamoremoor
