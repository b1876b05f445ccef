// The callers' interface: what is read, what is refused and with which row, what is answered.
#include <sycamoremoor/wire/caller_codec.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <array>
#include <string>

namespace Sycamoremoor
{

namespace
{

using Json = nlohmann::json;

constexpr const char *Key = "01932c07-209c-7d5a-8b1e-0123456789ab";

Json wholeTask()
{
    return {{"kind", "wear"},
            {"payload", "{\"head\":7}"},
            {"cores", 1.5},
            {"memory_mb", 512},
            {"accelerators", 1},
            {"run_time_ms", 200},
            {"idempotent", false}};
}

Json wholeJob()
{
    return {{"service", "reclaim-desk"}, {"team", "intake"}, {"deadline_ms", 5000}, {"tasks", Json::array({wholeTask(), Json::object()})}};
}

std::string edited(const std::string &pointer, const Json &value)
{
    auto job = wholeJob();
    job[Json::json_pointer(pointer)] = value;
    return job.dump();
}

struct BadBody {
    std::string name;
    std::string key;
    std::string body;
    ErrorKind kind;
    std::string detail; ///< part of what is told
};

std::vector<BadBody> badBodies()
{
    using Kind = ErrorKind;
    const auto whole = wholeJob().dump();
    return {
        {"NoKey", "", whole, Kind::InvalidKey, "Idempotency-Key"},
        {"KeyOfVersion4", "01932c07-209c-4d5a-8b1e-0123456789ab", whole, Kind::InvalidKey, "version 7"},
        {"Empty", Key, "", Kind::MalformedBody, "no JSON"},
        {"Cut", Key, whole.substr(0, whole.size() / 2), Kind::MalformedBody, "no JSON"},
        {"Array", Key, "[]", Kind::MalformedBody, "must be an object"},
        {"Deep", Key, std::string(100'000, '['), Kind::MalformedBody, "nests too deep"},
        {"Oversize", Key, std::string(CallerLimits().bodyBytes + 1, ' '), Kind::BodyTooLarge, "at most"},
        {"UnknownField", Key, edited("/priority", 1), Kind::UnknownField, "priority is not known"},
        {"UnknownTaskField", Key, edited("/tasks/1/colour", 1), Kind::UnknownField, "tasks[1].colour is not known"},
        {"NoService", Key, R"({"team":"a","tasks":[{}]})", Kind::MalformedBody, "service is missing"},
        {"NoTasks", Key, R"({"service":"s","team":"a"})", Kind::MalformedBody, "tasks is missing"},
        {"EmptyTeam", Key, edited("/team", ""), Kind::InvalidValue, "team must have 1 to"},
        {"LongService", Key, edited("/service", std::string(129, 's')), Kind::InvalidValue, "service must have 1 to"},
        {"ServiceNumber", Key, edited("/service", 5), Kind::MalformedBody, "service must be a string"},
        {"NoTask", Key, edited("/tasks", Json::array()), Kind::TooManyTasks, "1 to 1000"},
        {"TooManyTasks", Key, edited("/tasks", Json::array_t(1'001, Json::object())), Kind::TooManyTasks, "1 to 1000"},
        {"TaskNumber", Key, edited("/tasks/0", 5), Kind::MalformedBody, "tasks[0] must be an object"},
        {"DeadlineZero", Key, edited("/deadline_ms", 0), Kind::InvalidValue, "deadline_ms must be"},
        {"DeadlineAbsurd", Key, edited("/deadline_ms", 1e18), Kind::InvalidValue, "deadline_ms must be"},
        {"DeadlineText", Key, edited("/deadline_ms", "5s"), Kind::MalformedBody, "deadline_ms must be"},
        {"CoresNegative", Key, edited("/tasks/0/cores", -1), Kind::InvalidValue, "tasks[0].cores must be"},
        {"CoresAbsurd", Key, edited("/tasks/0/cores", 1e300), Kind::InvalidValue, "tasks[0].cores must be"},
        {"MemoryNegative", Key, edited("/tasks/0/memory_mb", -1), Kind::InvalidValue, "tasks[0].memory_mb must be"},
        {"MemoryAbsurd", Key, edited("/tasks/0/memory_mb", 18446744073709551615ULL), Kind::InvalidValue, "tasks[0].memory_mb must be"},
        {"MemoryFraction", Key, edited("/tasks/0/memory_mb", 1.5), Kind::InvalidValue, "tasks[0].memory_mb must be"},
        {"AcceleratorsAbsurd", Key, edited("/tasks/0/accelerators", 65), Kind::InvalidValue, "tasks[0].accelerators must be"},
        {"RunTimeAbsurd", Key, edited("/tasks/0/run_time_ms", 3'600'001), Kind::InvalidValue, "tasks[0].run_time_ms must be"},
        {"IdempotentText", Key, edited("/tasks/0/idempotent", "yes"), Kind::MalformedBody, "tasks[0].idempotent must be"},
        {"PayloadObject", Key, edited("/tasks/0/payload", Json::object()), Kind::MalformedBody, "tasks[0].payload must be a string"},
        {"PayloadLong",
         Key,
         edited("/tasks/0/payload", std::string((1U << 20U) + 1, 'p')),
         Kind::InvalidValue,
         "tasks[0].payload must have 0 to"},
    };
}

} // namespace

class BadBodyTest : public testing::TestWithParam<BadBody>
{
};

TEST_P(BadBodyTest, IsRefusedByName)
{
    const auto &bad = GetParam();
    JobSpec job;
    const auto error = decodeJob(bad.key, bad.body, CallerLimits(), job);
    ASSERT_TRUE(error.has_value());
    EXPECT_EQ(error->kind, bad.kind) << error->detail;
    EXPECT_NE(error->detail.find(bad.detail), std::string::npos) << error->detail;
    EXPECT_EQ(errorRow(error->kind).ran, RunState::NotRun);
}

INSTANTIATE_TEST_SUITE_P(Bodies, BadBodyTest, testing::ValuesIn(badBodies()), [](const auto &test) { return test.param.name; });

TEST(DecodeJobTest, ReadsEveryField)
{
    JobSpec job;
    ASSERT_FALSE(decodeJob(Key, wholeJob().dump(), CallerLimits(), job).has_value());
    EXPECT_EQ(job.key.toString(), Key);
    EXPECT_EQ(job.service, ServiceName("reclaim-desk"));
    EXPECT_EQ(job.team, TeamName("intake"));
    EXPECT_EQ(job.deadline, std::chrono::seconds(5));
    ASSERT_EQ(job.tasks.size(), 2U);
    const TaskSpec expected{
        TaskKind("wear"), "{\"head\":7}", {MilliCores(1500), Megabytes(512), Accelerators(1)}, std::chrono::milliseconds(200), false};
    EXPECT_EQ(job.tasks.front(), expected);
    EXPECT_EQ(job.tasks.back(), TaskSpec());
    EXPECT_FALSE(job.singleRequest);
}

TEST(DecodeRequestTest, TakesTheTaskAtTheTop)
{
    auto body = wholeTask();
    body["service"] = "reclaim-desk";
    body["team"] = "intake";
    JobSpec job;
    ASSERT_FALSE(decodeRequest(Key, body.dump(), CallerLimits(), job).has_value());
    ASSERT_EQ(job.tasks.size(), 1U);
    EXPECT_EQ(job.tasks.front().kind, TaskKind("wear"));
    EXPECT_TRUE(job.singleRequest);
    EXPECT_EQ(job.deadline, Duration());
    body["tasks"] = Json::array();
    EXPECT_EQ(decodeRequest(Key, body.dump(), CallerLimits(), job)->kind, ErrorKind::UnknownField);
}

RC_GTEST_PROP(DecodeJobProperty, SurvivesMutatedText, ())
{
    auto text = wholeJob().dump();
    const auto edits = *rc::gen::inRange(1, 5);
    for (int edit = 0; edit < edits; ++edit) {
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    }
    JobSpec job;
    const auto error = decodeJob(Key, text, CallerLimits(), job);
    RC_ASSERT(!error || errorRow(error->kind).ran == RunState::NotRun);
}

TEST(DigestTest, ChangesWithEveryFieldButKeyAndDeadline)
{
    JobSpec job;
    ASSERT_FALSE(decodeJob(Key, wholeJob().dump(), CallerLimits(), job).has_value());
    const auto digest = job.digest;
    auto same = job;
    same.key = SubmissionKey(1, 2);
    same.deadline = std::chrono::seconds(1);
    EXPECT_EQ(digestOf(same), digest);
    const std::array<std::pair<std::string, Json>, 10> edits{{
        {"/service", "other"},
        {"/team", "other"},
        {"/tasks/0/kind", "other"},
        {"/tasks/0/payload", "other"},
        {"/tasks/0/cores", 2},
        {"/tasks/0/memory_mb", 513},
        {"/tasks/0/accelerators", 2},
        {"/tasks/0/run_time_ms", 201},
        {"/tasks/0/idempotent", true},
        {"/tasks/2", Json::object()},
    }};
    for (const auto &[pointer, value] : edits) {
        auto body = wholeJob();
        if (pointer == "/tasks/2") {
            body["tasks"].push_back(value);
        } else {
            body[Json::json_pointer(pointer)] = value;
        }
        JobSpec other;
        ASSERT_FALSE(decodeJob(Key, body.dump(), CallerLimits(), other).has_value());
        EXPECT_NE(other.digest, digest) << pointer;
    }
}

TEST(EncodeAnswerTest, CompleteAnswerHasEveryResult)
{
    JobAnswer answer;
    answer.key = *SubmissionKey::fromString(Key);
    answer.ran = RunState::Ran;
    answer.results = {"first", "second"};
    answer.account.resize(2);
    const auto [status, body, retryAfter] = encodeAnswer(answer, "request-1");
    const auto json = Json::parse(body);
    EXPECT_EQ(status, 200);
    EXPECT_EQ(retryAfter, 0U);
    EXPECT_EQ(json["request_id"], "request-1");
    EXPECT_EQ(json["state"], "complete");
    EXPECT_EQ(json["results"], Json({"first", "second"}));
    EXPECT_EQ(json["account"].size(), 2U);
    EXPECT_FALSE(json.contains("error"));
}

TEST(EncodeAnswerTest, SingleRequestHasOneResult)
{
    JobAnswer answer;
    answer.singleRequest = true;
    answer.results = {"only"};
    const auto json = Json::parse(encodeAnswer(answer, "").body);
    EXPECT_EQ(json["result"], "only");
    EXPECT_FALSE(json.contains("results"));
}

TEST(EncodeAnswerTest, FailedAnswerHasNoResult)
{
    JobAnswer answer;
    answer.error = ErrorKind::QueueFull;
    answer.ran = RunState::NotRun;
    answer.detail = "try later";
    answer.retryAfter = std::chrono::milliseconds(1'001);
    const auto [status, body, retryAfter] = encodeAnswer(answer, "request-1");
    const auto json = Json::parse(body);
    EXPECT_EQ(status, 503);
    EXPECT_EQ(retryAfter, 2U);
    EXPECT_EQ(json["state"], "failed");
    EXPECT_EQ(json["error"]["code"], "queue_full");
    EXPECT_EQ(json["error"]["ran"], "not_run");
    EXPECT_EQ(json["error"]["retry_is_safe"], true);
    EXPECT_FALSE(json.contains("results"));
    EXPECT_FALSE(json.contains("result"));
}

TEST(AnswerTest, OfAJobThatEndedPromisesNothingOfARetry)
{
    JobAnswer answer;
    answer.error = ErrorKind::NoCapacity;
    ASSERT_TRUE(errorRow(answer.error).retryIsSafe);
    EXPECT_EQ(Json::parse(encodeAnswer(answer, "id").body)["error"]["retry_is_safe"], true);
    answer.account.resize(1); // it was taken, and the same key gets the same answer
    EXPECT_EQ(Json::parse(encodeAnswer(answer, "id").body)["error"]["retry_is_safe"], false);
}

class ErrorRowTest : public testing::TestWithParam<int>
{
};

TEST_P(ErrorRowTest, IsToldAsInTheTable)
{
    const auto kind = static_cast<ErrorKind>(GetParam());
    const auto &row = errorRow(kind);
    const auto [status, body, retryAfter] = encodeError(kind, "detail", "id");
    const auto json = Json::parse(body);
    EXPECT_EQ(status, row.httpStatus);
    EXPECT_EQ(json["error"]["code"], row.code);
    EXPECT_EQ(json["error"]["ran"], runStateName(row.ran));
    EXPECT_EQ(json["error"]["retry_is_safe"], row.retryIsSafe);
    EXPECT_EQ(json["error"]["detail"], "detail");
}

INSTANTIATE_TEST_SUITE_P(Rows, ErrorRowTest, testing::Range(1, static_cast<int>(ErrorKind::End)));

struct ParameterCase {
    std::string name;
    std::string value;
    ErrorKind kind;
};

class AccountParameterTest : public testing::TestWithParam<ParameterCase>
{
};

TEST_P(AccountParameterTest, IsCheckedByName)
{
    const auto &[name, value, kind] = GetParam();
    AccountQuery query;
    const auto error = decodeAccountQuery({{name, value}}, query);
    EXPECT_EQ(error ? error->kind : ErrorKind::None, kind) << name << "=" << value;
}

INSTANTIATE_TEST_SUITE_P(Parameters,
                         AccountParameterTest,
                         testing::Values(ParameterCase{"key", Key, ErrorKind::None},
                                         ParameterCase{"key", "x", ErrorKind::InvalidKey},
                                         ParameterCase{"team", "intake", ErrorKind::None},
                                         ParameterCase{"ran", "unknown", ErrorKind::None},
                                         ParameterCase{"ran", "maybe", ErrorKind::InvalidValue},
                                         ParameterCase{"since_ms", "1700000000000", ErrorKind::None},
                                         ParameterCase{"since_ms", "-1", ErrorKind::InvalidValue},
                                         ParameterCase{"until_ms", "9223372036854775807", ErrorKind::InvalidValue},
                                         ParameterCase{"limit", "10", ErrorKind::None},
                                         ParameterCase{"limit", "10001", ErrorKind::InvalidValue},
                                         ParameterCase{"limit", "ten", ErrorKind::InvalidValue},
                                         ParameterCase{"colour", "red", ErrorKind::UnknownField}));

} // namespace Sycamoremoor
