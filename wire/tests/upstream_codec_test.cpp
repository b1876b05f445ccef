// The upstream's own interface.
#include <sycamoremoor/wire/upstream_codec.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <string>

namespace Sycamoremoor
{

namespace
{

const TaskId sampleTask{SubmissionKey::create(WallTime(std::chrono::seconds(1)), 1, 2), TaskIndex(3)};

} // namespace

TEST(UpstreamCodecTest, StartNamesTheTaskAndItsSize)
{
    TaskSpec spec;
    spec.kind = TaskKind("wear");
    spec.payload = "{\"a\":\"ž\"}";
    spec.size = {MilliCores(1'500), Megabytes(512), Accelerators(1)};
    const auto json = nlohmann::json::parse(encodeUpstreamStart(sampleTask, spec));
    EXPECT_EQ(json["id"], "00000000-03e8-7001-8000-000000000002.3");
    EXPECT_EQ(json["payload"], spec.payload);
    EXPECT_EQ(json["cores"], 1.5);
    EXPECT_EQ(json["memory_mb"], 512);
    EXPECT_EQ(json["accelerators"], 1);
}

struct EndCase {
    const char *json;
    bool valid;
    bool succeeded;
    bool stopped;
};

class UpstreamEndTest : public testing::TestWithParam<EndCase>
{
};

TEST_P(UpstreamEndTest, IsReadOrNothing)
{
    const auto &[json, valid, succeeded, stopped] = GetParam();
    const auto end = decodeUpstreamEnd(sampleTask, json);
    ASSERT_EQ(end.has_value(), valid) << json;
    if (end) {
        EXPECT_EQ(end->succeeded, succeeded);
        EXPECT_EQ(end->stopped, stopped);
        EXPECT_EQ(end->result, "r");
    }
}

INSTANTIATE_TEST_SUITE_P(Ends,
                         UpstreamEndTest,
                         testing::Values(EndCase{R"({"state":"succeeded","result":"r"})", true, true, false},
                                         EndCase{R"({"state":"failed","result":"r"})", true, false, false},
                                         EndCase{R"({"state":"stopped","result":"r"})", true, false, true},
                                         EndCase{R"({"state":"running","result":"r"})", false, false, false},
                                         EndCase{R"({"state":7})", false, false, false},
                                         EndCase{"[]", false, false, false},
                                         EndCase{"", false, false, false},
                                         EndCase{"{\"state\":\"succe", false, false, false}));

TEST(UpstreamCodecTest, StateWithoutLifeHasTheLastOneSeen)
{
    const auto running = decodeUpstreamState(sampleTask, R"({"known":true,"state":"running","result":""})", Incarnation(5));
    ASSERT_TRUE(running.has_value());
    EXPECT_TRUE(running->known && running->running);
    EXPECT_EQ(running->upstream, Incarnation(5));
    const auto unknown = decodeUpstreamState(sampleTask, R"({"known":false,"incarnation":6})", Incarnation(5));
    ASSERT_TRUE(unknown.has_value());
    EXPECT_FALSE(unknown->known);
    EXPECT_EQ(unknown->upstream, Incarnation(6));
    EXPECT_FALSE(decodeUpstreamState(sampleTask, "null", Incarnation(5)).has_value());
}

TEST(UpstreamCodecTest, HealthNeedsALife)
{
    const auto health = decodeUpstreamHealth(R"({"incarnation":9,"leaving":true,"cores_used":1.25,"memory_mb_used":300})");
    ASSERT_TRUE(health.has_value());
    EXPECT_EQ(health->upstream, Incarnation(9));
    EXPECT_TRUE(health->leaving);
    EXPECT_EQ(health->usage.cores, MilliCores(1'250));
    EXPECT_EQ(health->usage.memory, Megabytes(300));
    EXPECT_FALSE(decodeUpstreamHealth(R"({"leaving":true})").has_value());
    EXPECT_FALSE(decodeUpstreamHealth("").has_value());
}

} // namespace Sycamoremoor
