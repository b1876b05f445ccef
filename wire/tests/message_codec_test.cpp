// Messages: round trips, completeness of the codecs, and texts that are no messages.
#include <sycamoremoor/wire/message_codec.h>

#include "aggregate_arity.h"
#include "json_text.h"
#include "random_message.h"

#include <sycamoremoor/wire/json_parse_func.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <array>
#include <limits>
#include <string>

namespace Sycamoremoor
{

namespace
{

template<typename Tuple>
struct TestTypes;

template<typename... Message>
struct TestTypes<std::tuple<Message...>> {
    using Types = testing::Types<Message...>;
};

/** Returns a message with some value in every field, the same in each run. */
template<typename Message>
std::string sample()
{
    Message message;
    return encode(message);
}

} // namespace

template<typename Message>
class MessageCodecTest : public testing::Test
{
};

TYPED_TEST_SUITE(MessageCodecTest, TestTypes<WireMessages>::Types);

TYPED_TEST(MessageCodecTest, ReadsBackWhatItWrote)
{
    EXPECT_TRUE(rc::check([] {
        const auto message = RandomFiller::make<TypeParam>();
        const auto text = encode(message);
        TypeParam back;
        const auto error = decode(text, back);
        RC_ASSERT(!error.has_value());
        RC_ASSERT(encode(back) == text);
        if constexpr (std::equality_comparable<TypeParam>) {
            RC_ASSERT(back == message);
        }
    }));
}

TYPED_TEST(MessageCodecTest, HasEveryField)
{
    EXPECT_TRUE(rc::check([] {
        RandomFiller filler;
        TypeParam message;
        describe(filler, message);
        RC_ASSERT(filler.fields() == aggregateArity<TypeParam>());
    }));
}

TYPED_TEST(MessageCodecTest, RefusesEachMissingField)
{
    const auto whole = nlohmann::json::parse(sample<TypeParam>());
    for (const auto &[name, value] : whole.items()) {
        auto part = whole;
        part.erase(name);
        TypeParam message;
        const auto error = decode(part.dump(), message);
        ASSERT_TRUE(error.has_value()) << name;
        EXPECT_EQ(error->kind, ErrorKind::MalformedBody);
        EXPECT_NE(error->detail.find(name), std::string::npos) << error->detail;
    }
}

TYPED_TEST(MessageCodecTest, RefusesEachFieldOfAnotherType)
{
    const auto whole = nlohmann::json::parse(sample<TypeParam>());
    for (const auto &[name, value] : whole.items()) {
        auto wrong = whole;
        wrong[name] = 1.5;
        TypeParam message;
        EXPECT_TRUE(decode(wrong.dump(), message).has_value()) << name;
    }
}

TYPED_TEST(MessageCodecTest, PassesOverUnknownFields)
{
    auto extended = nlohmann::json::parse(sample<TypeParam>());
    extended["field_of_a_newer_version"] = {{"deep", true}};
    TypeParam message;
    EXPECT_FALSE(decode(extended.dump(), message).has_value());
}

TYPED_TEST(MessageCodecTest, SurvivesMutatedText)
{
    EXPECT_TRUE(rc::check([] {
        auto text = encode(RandomFiller::make<TypeParam>());
        const auto edits = *rc::gen::inRange(1, 4);
        for (int edit = 0; edit < edits; ++edit) {
            const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
            text[position] = *rc::gen::arbitrary<char>();
        }
        text.resize(*rc::gen::inRange<std::size_t>(text.size() / 2, text.size() + 1));
        TypeParam message;
        const auto error = decode(text, message);
        RC_ASSERT(!error || !error->detail.empty());
    }));
}

namespace
{

struct BadText {
    const char *name;
    const char *json;
    ErrorKind kind;
};

constexpr std::array BadTexts{
    BadText{"Empty", "", ErrorKind::MalformedBody},
    BadText{"NotJson", "{\"slot\":", ErrorKind::MalformedBody},
    BadText{"Array", "[]", ErrorKind::MalformedBody},
    BadText{"Trailing", R"({"slot":0,"token":1,"part":0} x)", ErrorKind::MalformedBody},
    BadText{"Negative", R"({"slot":-1,"token":1,"part":0})", ErrorKind::InvalidValue},
    BadText{"TooLarge", R"({"slot":4294967296,"token":1,"part":0})", ErrorKind::InvalidValue},
    BadText{"Fraction", R"({"slot":0.5,"token":1,"part":0})", ErrorKind::MalformedBody},
    BadText{"Infinite", R"({"slot":1e999,"token":1,"part":0})", ErrorKind::MalformedBody},
    BadText{"Null", R"({"slot":null,"token":1,"part":0})", ErrorKind::MalformedBody},
    BadText{"BadUtf8", "{\"slot\":0,\"token\":1,\"part\":0,\"x\":\"\xff\"}", ErrorKind::MalformedBody},
};

} // namespace

class BadTextTest : public testing::TestWithParam<BadText>
{
};

TEST_P(BadTextTest, IsRefused)
{
    LedgerReportReply reply;
    const auto error = decode(GetParam().json, reply);
    ASSERT_TRUE(error.has_value());
    EXPECT_EQ(error->kind, GetParam().kind) << error->detail;
}

INSTANTIATE_TEST_SUITE_P(Texts, BadTextTest, testing::ValuesIn(BadTexts), [](const auto &test) { return test.param.name; });

TEST(MessageCodecTest, RefusesUnknownEnumValues)
{
    auto json = nlohmann::json::parse(sample<StopTasks>());
    json["reason"] = "no_such_code";
    StopTasks message;
    const auto error = decode(json.dump(), message);
    ASSERT_TRUE(error.has_value());
    EXPECT_EQ(error->kind, ErrorKind::InvalidValue);
    EXPECT_EQ(error->detail, "message.reason has an unknown value");
}

TEST(MessageCodecTest, RefusesDurationsWhoseSumsWouldOverflow)
{
    JobAnswer answer;
    answer.retryAfter = Duration(Duration::rep{1} << 53U);
    JobAnswer back;
    EXPECT_FALSE(decode(encode(answer), back).has_value());
    for (const auto microseconds : {std::numeric_limits<Duration::rep>::max(), std::numeric_limits<Duration::rep>::min()}) {
        answer.retryAfter = Duration(microseconds);
        const auto error = decode(encode(answer), back);
        ASSERT_TRUE(error.has_value());
        EXPECT_EQ(error->kind, ErrorKind::InvalidValue);
        EXPECT_EQ(error->detail, "message.retry_after is out of range");
    }
}

TEST(MessageCodecTest, RefusesAmountsWhoseSumsWouldOverflow)
{
    for (const auto cores : {std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::int64_t>::min()}) {
        CapacityReport report;
        report.free.cores = MilliCores(cores);
        CapacityReport back;
        const auto error = decode(encode(report), back);
        ASSERT_TRUE(error.has_value());
        EXPECT_EQ(error->kind, ErrorKind::InvalidValue);
        EXPECT_EQ(error->detail, "message.free.cores is out of range");
    }
}

TEST(MessageCodecTest, RefusesDeepNestingWithoutRecursion)
{
    const std::string deep(1'000'000, '[');
    RosterRecord roster;
    EXPECT_TRUE(decode(deep, roster).has_value());
}

// Guards against a bound on the memory of parsed JSON that refuses what schedulers send.
TEST(MessageCodecTest, ReadsTheLargestBatch)
{
    constexpr std::uint32_t Tasks = 10'000; // of the largest job, all sent to one guard
    const QueueJobId job(std::string(128, 'j'));
    constexpr Duration Time = std::chrono::hours(24);
    StartBatch batch;
    batch.payload = std::string(4'000, '"');
    for (std::uint32_t task = 0; task < Tasks; ++task) {
        auto &order = batch.orders.emplace_back();
        order.run = {{job, 999, task}, 1};
        order.startWithin = order.expected = order.runLimit = order.reference = order.urgency.slack = Time;
    }
    StartBatch read;
    const auto error = decode(encode(batch), read);
    EXPECT_FALSE(error) << error->detail;
    EXPECT_EQ(read, batch);
}

TEST(JsonTextTest, ReplacesBytesThatAreNoUtf8)
{
    std::string text;
    appendJsonString(text, "a\xff\"");
    EXPECT_EQ(text, "\"a\xEF\xBF\xBD\\\"\"");
}

TEST(JsonTextTest, CountsNestingOutsideStrings)
{
    EXPECT_TRUE(nestsWithin(R"({"a":"[[[\"[["})", 1));
    EXPECT_FALSE(nestsWithin("[[]]", 1));
    EXPECT_TRUE(nestsWithin("[][][]", 1));
}

} // namespace Sycamoremoor
