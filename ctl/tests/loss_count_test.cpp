// Counting of jobs by how they ended, from log lines.
#include "loss_count.h"

#include <gtest/gtest.h>

#include <array>

namespace Sycamoremoor
{

namespace
{

struct LineCase {
    const char *name;
    const char *line;
    JobFate fate;
};

constexpr std::array LineCases{
    LineCase{"InTime", R"({"text":"A job ended in time.","queue":"q","outcome":"complete","tasks":"2","runs":"3"})", JobFate::InTime},
    LineCase{"Waited",
             R"({"text":"A job ended late.","queue":"q","outcome":"complete","began_after_ms":"40","tasks":"2","runs":"2"})",
             JobFate::LateBegan},
    LineCase{"SentAgain",
             R"({"text":"A job ended late.","queue":"q","outcome":"complete","began_after_ms":"40","tasks":"2","runs":"3"})",
             JobFate::LateAgain},
    LineCase{"RanLonger",
             R"({"text":"A job ended late.","queue":"q","outcome":"complete","began_after_ms":"0","tasks":"2","runs":"2"})",
             JobFate::LateRan},
    LineCase{"Lost", R"({"text":"A job ended late.","queue":"q","outcome":"lost","error":"deadline_unreachable"})", JobFate::Lost},
    LineCase{"Failed", R"({"text":"A job ended in time.","queue":"q","outcome":"failed","error":"task_failed"})", JobFate::Failed},
    LineCase{"GivenUp", R"({"text":"A job ended late.","queue":"q","outcome":"failed","error":"crashes_upstreams"})", JobFate::GivenUp},
    LineCase{
        "Arrival",
        R"({"text":"A job is refused.","queue":"q","outcome":"queue_full","held_ms":"0","slack_ms":"147","lag_ms":"2","worker_millicores":"8"})",
        JobFate::RefusedArrival},
    LineCase{
        "Held",
        R"({"text":"A job is refused.","queue":"q","outcome":"queue_full","held_ms":"147","slack_ms":"147","lag_ms":"0","worker_millicores":"8"})",
        JobFate::RefusedHeld},
    LineCase{
        "Behind",
        R"({"text":"A job is refused.","queue":"q","outcome":"queue_full","held_ms":"0","slack_ms":"147","lag_ms":"90","worker_millicores":"8"})",
        JobFate::RefusedBehind},
    LineCase{"Stop", R"({"text":"A job is refused.","queue":"q","outcome":"draining","worker_millicores":"8"})", JobFate::RefusedStop},
    LineCase{"Size", R"({"text":"A job is refused.","queue":"q","outcome":"never_fits","worker_millicores":"8"})", JobFate::RefusedSize},
    LineCase{
        "NoWorker", R"({"text":"A job is refused.","queue":"q","outcome":"queue_full","worker_millicores":"0"})", JobFate::RefusedWorkers},
    LineCase{"NoWorkerThatFits",
             R"({"text":"A job is refused.","queue":"q","outcome":"queue_full","worker_millicores":"8","fitting_workers":"0"})",
             JobFate::RefusedWorkers},
    LineCase{"Confined",
             R"({"text":"A job is refused.","queue":"q","outcome":"queue_full","confined":"yes","worker_millicores":"8"})",
             JobFate::RefusedCrashes},
    LineCase{"Prefixed", R"( 6.17 front-1 {"text":"A job ended in time.","queue":"q","outcome":"complete"})", JobFate::InTime},
};

} // namespace

class LossLineTest : public testing::TestWithParam<LineCase>
{
};

TEST_P(LossLineTest, IsCountedByCause)
{
    LossCount count;
    count.add(GetParam().line);
    LossCount::Fates expected{};
    ++expected.at(static_cast<std::size_t>(GetParam().fate));
    ASSERT_EQ(count.byQueue().size(), 1U);
    EXPECT_EQ(count.byQueue().at("q"), expected);
}

INSTANTIATE_TEST_SUITE_P(Lines, LossLineTest, testing::ValuesIn(LineCases), [](const auto &test) { return test.param.name; });

TEST(LossCountTest, OtherLinesAreCountedNowhere)
{
    LossCount count;
    for (const auto *line : {"", "no JSON", "{", "[]", "{}", R"({"text":7})", R"({"text":"A batch is refused."})"}) {
        count.add(line);
    }
    EXPECT_TRUE(count.byQueue().empty());
    EXPECT_EQ(count.leftOut(), 0U);
}

TEST(LossCountTest, LinesThatTheLogsLeftOutAreSummed)
{
    LossCount count;
    count.add(R"({"text":"12 lines were left out to bound the volume."})");
    count.add(R"({"text":"30 lines were left out to bound the volume."})");
    EXPECT_EQ(count.leftOut(), 42U);
}

} // namespace Sycamoremoor
