// Reads what callers send.
#include <sycamoremoor/wire/caller_codec.h>

#include "enum_name.h"
#include "strict_object.h"

#include <sycamoremoor/wire/json_parse_func.h>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <charconv>
#include <functional>
#include <memory>

namespace Sycamoremoor
{

namespace
{

constexpr std::uint32_t MaxAccountLimit = 10'000;

using Error = std::optional<DecodeError>;
using Milliseconds = std::chrono::milliseconds;

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

/** Parses a body; sets @p error if it is no JSON within the limits. */
nlohmann::json parseBody(std::string_view body, const CallerLimits &limits, Error &error)
{
    if (body.size() > limits.bodyBytes) {
        error = DecodeError{ErrorKind::BodyTooLarge, "a body has at most " + std::to_string(limits.bodyBytes) + " bytes"};
        return {};
    }
    if (!nestsWithin(body, MaxJsonDepth)) {
        error = DecodeError{ErrorKind::MalformedBody, "the body nests too deep"};
        return {};
    }
    auto json = parseJson(body);
    if (json.is_discarded()) {
        error = DecodeError{ErrorKind::MalformedBody, "the body is no JSON"};
    }
    return json;
}

void readKey(std::string_view text, JobSpec &job, Error &error)
{
    if (const auto key = SubmissionKey::fromString(text)) {
        job.key = *key;
    } else {
        error = DecodeError{ErrorKind::InvalidKey, "the Idempotency-Key header must be a UUID of version 7"};
    }
}

/** Reads the fields of a submission beside its tasks. */
void readHead(StrictObject &object, const CallerLimits &limits, JobSpec &job)
{
    job.service = ServiceName(object.text("service", limits.nameBytes, true));
    job.team = TeamName(object.text("team", limits.nameBytes, true));
    job.deadline = Milliseconds(object.whole("deadline_ms", 1, toMilliseconds(limits.deadline), 0));
}

TaskSpec readTask(StrictObject &object, const CallerLimits &limits)
{
    const TaskSpec defaults;
    TaskSpec task;
    task.kind = TaskKind(object.text("kind", limits.nameBytes, false));
    task.payload = object.text("payload", limits.payloadBytes, false);
    task.size.cores = MilliCores(object.thousandths("cores", limits.cores.value(), defaults.size.cores.value()));
    task.size.memory = Megabytes(object.whole("memory_mb", 0, limits.memory.value(), defaults.size.memory.value()));
    task.size.accelerators = Accelerators(object.whole("accelerators", 0, limits.accelerators.value(), 0));
    task.declaredRunTime = Milliseconds(object.whole("run_time_ms", 0, toMilliseconds(limits.runTime), 0));
    task.idempotent = object.flag("idempotent", defaults.idempotent);
    return task;
}

void readTasks(nlohmann::json &array, const CallerLimits &limits, JobSpec &job, Error &error)
{
    if (array.empty() || array.size() > limits.tasks) {
        error = DecodeError{ErrorKind::TooManyTasks, "tasks must have 1 to " + std::to_string(limits.tasks) + " elements"};
        return;
    }
    job.tasks.reserve(array.size());
    for (std::size_t index = 0; index < array.size() && !error; ++index) {
        StrictObject object(array[index], "tasks[" + std::to_string(index) + "]", error);
        job.tasks.push_back(readTask(object, limits));
        object.refuseOthers();
    }
}

struct DigestDeleter {
    void operator()(XXH3_state_t *state) const
    {
        XXH3_freeState(state);
    }
};

/** Hash of a series of values in which no two series run into each other. */
class Digest
{
public:
    Digest()
        : m_state(XXH3_createState())
    {
        XXH3_64bits_reset(m_state.get());
    }

    void add(std::int64_t number)
    {
        XXH3_64bits_update(m_state.get(), &number, sizeof(number));
    }

    void add(const std::string &text)
    {
        add(static_cast<std::int64_t>(text.size()));
        XXH3_64bits_update(m_state.get(), text.data(), text.size());
    }

    [[nodiscard]] std::uint64_t value() const
    {
        return XXH3_64bits_digest(m_state.get());
    }

private:
    std::unique_ptr<XXH3_state_t, DigestDeleter> m_state;
};

Error readWholeParameter(const std::string &name, const std::string &text, std::int64_t most, std::int64_t &value)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < 0 || value > most) {
        return DecodeError{ErrorKind::InvalidValue, name + " must be a whole number from 0 to " + std::to_string(most)};
    }
    return std::nullopt;
}

Error readTimeParameter(const std::string &name, const std::string &text, std::optional<WallTime> &time)
{
    constexpr std::int64_t MaxMilliseconds = std::int64_t{1} << 48U;
    std::int64_t milliseconds = 0;
    if (auto error = readWholeParameter(name, text, MaxMilliseconds, milliseconds)) {
        return error;
    }
    time = WallTime(Milliseconds(milliseconds));
    return std::nullopt;
}

Error readAccountParameter(const std::string &name, const std::string &text, AccountQuery &query)
{
    if (name == "key") {
        query.key = SubmissionKey::fromString(text);
        return query.key ? Error() : DecodeError{ErrorKind::InvalidKey, "key must be a UUID of version 7"};
    }
    if (name == "team") {
        query.team = TeamName(text);
        return std::nullopt;
    }
    if (name == "ran") {
        query.ran = enumFromName<RunState>(text);
        return query.ran ? Error() : DecodeError{ErrorKind::InvalidValue, "ran must be not_run, ran or unknown"};
    }
    if (name == "since_ms") {
        return readTimeParameter(name, text, query.since);
    }
    if (name == "until_ms") {
        return readTimeParameter(name, text, query.until);
    }
    if (name == "limit") {
        std::int64_t limit = 0;
        auto error = readWholeParameter(name, text, MaxAccountLimit, limit);
        query.limit = static_cast<std::uint32_t>(limit);
        return error;
    }
    return DecodeError{ErrorKind::UnknownField, name + " is not known"};
}

/**
 * Reads a submission whose key, service, team and deadline stand alike in jobs and single requests.
 * @param readTasks takes the tasks from the body and refuses what is left of it
 */
Error decodeSubmission(std::string_view key,
                       std::string_view body,
                       const CallerLimits &limits,
                       JobSpec &job,
                       const std::function<void(StrictObject &object, Error &error)> &readTasks)
{
    Error error;
    readKey(key, job, error);
    if (error) {
        return error;
    }
    auto json = parseBody(body, limits, error);
    if (error) {
        return error;
    }
    StrictObject object(json, "", error);
    readHead(object, limits, job);
    readTasks(object, error);
    job.digest = digestOf(job);
    return error;
}

} // namespace

std::optional<DecodeError> decodeJob(std::string_view key, std::string_view body, const CallerLimits &limits, JobSpec &job)
{
    job = {};
    return decodeSubmission(key, body, limits, job, [&](StrictObject &object, Error &error) {
        auto *tasks = object.array("tasks");
        object.refuseOthers();
        if (tasks != nullptr && !error) {
            readTasks(*tasks, limits, job, error);
        }
    });
}

std::optional<DecodeError> decodeRequest(std::string_view key, std::string_view body, const CallerLimits &limits, JobSpec &job)
{
    job = {};
    job.singleRequest = true;
    return decodeSubmission(key, body, limits, job, [&](StrictObject &object, Error & /*error*/) {
        job.tasks.push_back(readTask(object, limits));
        object.refuseOthers();
    });
}

std::optional<DecodeError> decodeAccountQuery(const std::map<std::string, std::string> &parameters, AccountQuery &query)
{
    query = {};
    for (const auto &[name, text] : parameters) {
        if (auto error = readAccountParameter(name, text, query)) {
            return error;
        }
    }
    return std::nullopt;
}

std::uint64_t digestOf(const JobSpec &job)
{
    Digest digest;
    digest.add(job.service.value());
    digest.add(job.team.value());
    digest.add(job.singleRequest ? 1 : 0);
    for (const auto &task : job.tasks) {
        digest.add(task.kind.value());
        digest.add(task.payload);
        digest.add(task.size.cores.value());
        digest.add(task.size.memory.value());
        digest.add(task.size.accelerators.value());
        digest.add(task.declaredRunTime.count());
        digest.add(task.idempotent ? 1 : 0);
    }
    return digest.value();
}

} // namespace Sycamoremoor
