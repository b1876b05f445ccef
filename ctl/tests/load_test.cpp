// Loads: plans repeat, the ideal is right on small plans, broken promises are found.
#include "load_type.h"

#include <gtest/gtest.h>

namespace Sycamoremoor
{

namespace
{

using std::chrono::milliseconds;

PlannedJob jobAt(std::int64_t atMs, const std::vector<std::int64_t> &runMs)
{
    PlannedJob job;
    job.at = milliseconds(atMs);
    for (const auto run : runMs) {
        job.tasks.push_back({.runTime = milliseconds(run)});
    }
    return job;
}

struct IdealCase {
    const char *name;
    std::int64_t slots;
    std::vector<PlannedJob> plan;
    std::vector<std::int64_t> responsesMs;
};

class IdealTest : public testing::TestWithParam<IdealCase>
{
};

const SubmissionKey key(0x01932c07209c7000ULL, 0x8000000000000001ULL);

JobOutcome complete()
{
    return {.key = key,
            .answered = true,
            .ran = RunState::Ran,
            .results = {expectedResult(key, 0), expectedResult(key, 1)},
            .taskRan = {"ran", "ran"}};
}

struct PromiseCase {
    const char *name;
    void (*change)(JobOutcome &outcome, std::map<std::string, int> &starts);
    std::size_t broken;
};

class PromiseTest : public testing::TestWithParam<PromiseCase>
{
};

} // namespace

TEST(LoadPlanTest, OneSeedGivesOnePlanWithTheOfferedWork)
{
    const LoadSettings settings{.load = 0.7, .slots = 88, .length = std::chrono::seconds(2'000)};
    const auto plan = planLoad(settings);
    const auto again = planLoad(settings);
    ASSERT_EQ(plan.size(), again.size());
    Duration work{};
    for (std::size_t index = 0; index < plan.size(); ++index) {
        ASSERT_EQ(plan[index].at, again[index].at);
        ASSERT_EQ(plan[index].tasks.size(), again[index].tasks.size());
        for (const auto &task : plan[index].tasks) {
            work += task.runTime;
        }
    }
    constexpr double Tolerance = 0.05; // a plan of this length is within a few percent of its mean
    EXPECT_NEAR(std::chrono::duration<double>(work).count() / 2'000 / 88, 0.7, Tolerance);
}

TEST_P(IdealTest, IsTheBestScheduleOfItsRule)
{
    std::vector<std::int64_t> responses;
    for (const auto response : idealResponses(GetParam().plan, GetParam().slots)) {
        responses.push_back(std::chrono::duration_cast<milliseconds>(response).count());
    }
    EXPECT_EQ(responses, GetParam().responsesMs);
}

INSTANTIATE_TEST_SUITE_P(Plans,
                         IdealTest,
                         testing::Values(IdealCase{"Alone", 2, {jobAt(5, {100, 50})}, {100}},
                                         IdealCase{"LongestFirst", 2, {jobAt(0, {50, 50, 100})}, {100}},
                                         IdealCase{"Waits", 1, {jobAt(0, {100}), jobAt(10, {20})}, {100, 110}},
                                         IdealCase{"LeastWorkFirst", 1, {jobAt(0, {10}), jobAt(1, {100}), jobAt(2, {5})}, {10, 114, 13}},
                                         IdealCase{"Nothing", 1, {}, {}}),
                         [](const auto &instance) { return instance.param.name; });

TEST_P(PromiseTest, BrokenOnesAreFound)
{
    auto outcome = complete();
    std::map<std::string, int> starts{{expectedResult(key, 0), 1}, {expectedResult(key, 1), 1}};
    GetParam().change(outcome, starts);
    EXPECT_EQ(brokenPromises({outcome}, {jobAt(0, {1, 1})}, starts).size(), GetParam().broken);
}

INSTANTIATE_TEST_SUITE_P(
    Outcomes,
    PromiseTest,
    testing::Values(PromiseCase{"Kept", [](JobOutcome &, std::map<std::string, int> &) {}, 0},
                    PromiseCase{"StartedTwice", [](JobOutcome &, std::map<std::string, int> &starts) { starts.begin()->second = 2; }, 1},
                    PromiseCase{"NeverStarted", [](JobOutcome &, std::map<std::string, int> &starts) { starts.erase(starts.begin()); }, 1},
                    PromiseCase{"NoAnswer", [](JobOutcome &outcome, std::map<std::string, int> &) { outcome.answered = false; }, 1},
                    PromiseCase{"Part", [](JobOutcome &outcome, std::map<std::string, int> &) { outcome.results.pop_back(); }, 1},
                    PromiseCase{"Crossed", [](JobOutcome &outcome, std::map<std::string, int> &) { outcome.results[1] = "other"; }, 1},
                    PromiseCase{"FalseNotRun",
                                [](JobOutcome &outcome, std::map<std::string, int> &) {
                                    outcome.error = ErrorKind::Cancelled;
                                    outcome.results.clear();
                                    outcome.taskRan = {"not_run", "ran"};
                                },
                                1}),
    [](const auto &instance) { return instance.param.name; });

TEST(MetricsTest, InternalMessagesAndCountersAreAdded)
{
    MessageCounts counts;
    const std::string text = "# TYPE x counter\nsycamoremoor_tasks_sent_total 7\n"
                             "sycamoremoor_messages_total{direction=\"in\",path=\"/internal/v1/start-tasks\"} 5\n"
                             "sycamoremoor_messages_total{direction=\"out\",path=\"/internal/v1/task-reports\"} 6\n"
                             "sycamoremoor_messages_total{direction=\"in\",path=\"/v1/jobs\"} 9\n# EOF\n";
    addMetrics(text, counts);
    addMetrics(text, counts);
    EXPECT_EQ(counts.byPath, (std::map<std::string, double>{{"/internal/v1/start-tasks", 10}}));
    EXPECT_EQ(counts.reports, (std::map<std::string, double>{{"/internal/v1/task-reports", 12}}));
    EXPECT_EQ(counts.counters.at("sycamoremoor_tasks_sent_total"), 14);
}

} // namespace Sycamoremoor
