// The choice of workers of unequal speed.
#include "../src/scheduler/worker_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace Sycamoremoor
{

using std::chrono::milliseconds;

namespace
{

constexpr MonotonicTime Start{std::chrono::hours(1)};
constexpr Duration Expected = milliseconds(100);
constexpr std::uint64_t Choices = 400;
const ServiceName testService("service");

AgentName nameOf(std::size_t index)
{
    return AgentName("W" + std::to_string(index));
}

/** What a guard measured, in thousandths; zero if too few runs. */
struct Measured {
    std::int64_t ratio = 0;
    std::int64_t error = 30;
};

CapacityReported reportOf(std::size_t index, const Measured &measured, std::int64_t freeCores = 16'000)
{
    CapacityReported input;
    input.agent = nameOf(index);
    input.report.incarnation = Incarnation(1);
    input.report.accepting = true;
    input.report.service = testService;
    input.report.capacity = {MilliCores(16'000), Megabytes(1'000), Accelerators(0)};
    input.report.free = {MilliCores(freeCores), Megabytes(1'000), Accelerators(0)};
    input.report.runTimeRatio = RunTimeRatio(measured.ratio);
    input.report.ratioError = RunTimeRatio(measured.error);
    return input;
}

WorkerTable tableOf(const std::vector<Measured> &measured)
{
    WorkerTable table;
    for (std::size_t index = 0; index < measured.size(); ++index) {
        table.handleReport(Start, reportOf(index, measured[index]));
    }
    return table;
}

/** @param tolerance factor on its expected run time with which a task meets its objective */
TaskNeed needOf(double tolerance)
{
    TaskNeed need;
    need.service = testService;
    need.size = {MilliCores(1'400), Megabytes(1), Accelerators(0)};
    need.slowestAllowed = std::max(1.0, tolerance);
    need.tolerance = tolerance;
    return need;
}

std::vector<AgentName> choicesOf(const WorkerTable &table, const TaskNeed &need)
{
    std::vector<AgentName> chosen;
    for (std::uint64_t entropy = 1; entropy <= Choices; ++entropy) {
        const auto *agent = table.choose(Start, need, {}, {}, entropy);
        chosen.push_back(agent == nullptr ? AgentName("none") : *agent);
    }
    return chosen;
}

double shareOf(const WorkerTable &table, const TaskNeed &need, const AgentName &agent)
{
    const auto chosen = choicesOf(table, need);
    return static_cast<double>(std::ranges::count(chosen, agent)) / static_cast<double>(Choices);
}

struct EqualCase {
    const char *name;
    std::array<Measured, 5> measured;
};

constexpr std::array EqualCases{
    EqualCase{"AllTheSame", {{{1'000}, {1'000}, {1'000}, {1'000}, {1'000}}}},
    EqualCase{"AllExpectedTooShort", {{{2'500}, {2'500}, {2'500}, {2'500}, {2'500}}}},
    EqualCase{"WithinFifteenPercent", {{{900}, {1'140}, {1'000}, {1'000}, {950}}}},
    EqualCase{"SomeReportNone", {{{0, 0}, {1'100}, {0, 0}, {1'000}, {0, 0}}}},
    EqualCase{"OnlyOneReports", {{{0, 0}, {2'000}, {0, 0}, {0, 0}, {0, 0}}}},
    EqualCase{"DifferentByChance", {{{1'400, 120}, {700, 120}, {1'000, 120}, {1'000, 120}, {1'000, 120}}}},
};

struct ChoiceCase {
    const char *name;
    double tolerance;
    bool areOthersFull;
    double minShare; ///< of the choices that the slow worker of four gets, all as free as it
    double maxShare;
};

/** The slow worker takes twice as long. */
constexpr std::array ChoiceCases{
    ChoiceCase{"ItWouldMissItsObjective", 1.9, false, 0, 0},
    ChoiceCase{"ItWouldMissItsObjectiveAndOthersAreFull", 1.9, true, 0, 0},
    ChoiceCase{"LittleSlack", 2.1, false, 0, 0.05},
    ChoiceCase{"LittleSlackAndOthersAreFull", 2.1, true, 1, 1},
    ChoiceCase{"Tolerant", 4, false, 0.3, 0.9},
};

} // namespace

class EqualSpeedTest : public testing::TestWithParam<EqualCase>
{
};

// Guards against noise in measured speeds that changes the placement on equal workers.
TEST_P(EqualSpeedTest, ChoicesAreTheSameAsWithoutMeasuredSpeeds)
{
    const auto without = tableOf(std::vector<Measured>(GetParam().measured.size(), Measured{0, 0}));
    const auto with = tableOf({GetParam().measured.begin(), GetParam().measured.end()});
    for (const double tolerance : {0.5, 1.0, 1.2, 2.0, 8.0}) {
        EXPECT_EQ(choicesOf(with, needOf(tolerance)), choicesOf(without, needOf(tolerance))) << tolerance;
    }
    for (std::size_t index = 0; index < GetParam().measured.size(); ++index) {
        EXPECT_EQ(with.runTimeFactor(nameOf(index)), 1);
    }
    EXPECT_EQ(with.meanRunTimeFactor(testService), 1);
}

INSTANTIATE_TEST_SUITE_P(Workers, EqualSpeedTest, testing::ValuesIn(EqualCases), [](const auto &test) { return test.param.name; });

class SpeedChoiceTest : public testing::TestWithParam<ChoiceCase>
{
};

// Guards against tasks that miss their objective on a slow worker, and against a slow worker that is idle while others are full.
TEST_P(SpeedChoiceTest, SlowWorkersGetTheTasksThatTolerateThem)
{
    auto table = tableOf({{1'000}, {2'000}, {1'000}, {1'000}});
    if (GetParam().areOthersFull) {
        for (const std::size_t index : {0, 2, 3}) {
            table.handleReport(Start, reportOf(index, {1'000}, 0));
        }
    }
    const auto share = shareOf(table, needOf(GetParam().tolerance), nameOf(1));
    EXPECT_GE(share, GetParam().minShare);
    EXPECT_LE(share, GetParam().maxShare);
}

INSTANTIATE_TEST_SUITE_P(Tasks, SpeedChoiceTest, testing::ValuesIn(ChoiceCases), [](const auto &test) { return test.param.name; });

// Guards against the same slowness in the measured factor and in the short-term measure, which would exclude the worker.
TEST(WorkerSpeedTest, ShortTermSlownessLeavesOutTheMeasuredFactor)
{
    constexpr int Runs = 20;
    constexpr double Tolerance = 2.2;
    auto table = tableOf({{1'000}, {0, 0}, {1'000}, {1'000}});
    for (int run = 0; run < Runs; ++run) {
        table.recordSuccess(Start, nameOf(1), Expected, Expected * 2);
    }
    table.handleReport(Start, reportOf(1, {2'000}));
    for (const std::size_t index : {0, 2, 3}) {
        table.handleReport(Start, reportOf(index, {1'000}, 0));
    }
    EXPECT_EQ(shareOf(table, needOf(Tolerance), nameOf(1)), 1) << "when the factor is learned";
    for (int run = 0; run < Runs; ++run) {
        table.recordSuccess(Start, nameOf(1), Expected * 2, Expected * 2);
    }
    EXPECT_EQ(shareOf(table, needOf(Tolerance), nameOf(1)), 1) << "and afterwards";
    for (int run = 0; run < Runs; ++run) {
        table.recordSuccess(Start, nameOf(1), Expected * 2, Expected * 4);
    }
    EXPECT_EQ(shareOf(table, needOf(Tolerance), nameOf(1)), 0) << "it is slower than measured for the moment";
}

// Guards against one straggler that makes a worker look slow where the guards measure its speed.
TEST(WorkerSpeedTest, AStragglerIsNoSlownessOfTheWorker)
{
    constexpr double Tolerance = 1.5;
    auto table = tableOf({{1'000}, {2'000}, {1'000}, {1'000}});
    for (const std::size_t index : {1, 2, 3}) {
        table.handleReport(Start, reportOf(index, {index == 1 ? 2'000 : 1'000}, 0));
    }
    table.recordSuccess(Start, nameOf(0), Expected, Expected * 7);
    EXPECT_EQ(shareOf(table, needOf(Tolerance), nameOf(0)), 1);
}

// Guards against a worker whose factor comes and goes with the noise around 15 %.
TEST(WorkerSpeedTest, AFactorIsKeptUntilTheDifferenceIsSmall)
{
    constexpr std::int64_t Error = 10; ///< of some thousand runs, so that the differences are certain
    auto table = tableOf({{1'000}, {1'140, Error}, {1'000}, {1'000}});
    EXPECT_EQ(table.runTimeFactor(nameOf(1)), 1);
    table.handleReport(Start, reportOf(1, {1'160, Error}));
    EXPECT_DOUBLE_EQ(table.runTimeFactor(nameOf(1)), 1.16);
    table.handleReport(Start, reportOf(1, {1'120, Error}));
    EXPECT_DOUBLE_EQ(table.runTimeFactor(nameOf(1)), 1.12);
    table.handleReport(Start, reportOf(1, {1'090, Error}));
    EXPECT_EQ(table.runTimeFactor(nameOf(1)), 1);
}

// Guards against a difference that has become uncertain, as the worker has few runs since a change.
TEST(WorkerSpeedTest, AFactorIsDroppedWhenItIsNoLongerCertain)
{
    auto table = tableOf({{1'000}, {1'300, 30}, {1'000}, {1'000}});
    EXPECT_DOUBLE_EQ(table.runTimeFactor(nameOf(1)), 1.3);
    table.handleReport(Start, reportOf(1, {1'250, 50}));
    EXPECT_DOUBLE_EQ(table.runTimeFactor(nameOf(1)), 1.25);
    table.handleReport(Start, reportOf(1, {1'240, 70}));
    EXPECT_EQ(table.runTimeFactor(nameOf(1)), 1);
}

// Guards against a known factor that outlives the incarnation or the reports that it was measured in.
TEST(WorkerSpeedTest, AFactorIsForgottenWithTheMeasurement)
{
    auto table = tableOf({{1'000}, {2'000}, {1'000}, {1'000}});
    EXPECT_EQ(table.runTimeFactor(nameOf(1)), 2);
    table.handleReport(Start, reportOf(1, {0, 0}));
    EXPECT_EQ(table.runTimeFactor(nameOf(1)), 1);
}

// Guards against objectives that change by which worker happens to be the usual one.
TEST(WorkerSpeedTest, MeanFactorIsThatOfAllCores)
{
    const auto table = tableOf({{1'000}, {2'000}, {1'000}, {1'000}});
    EXPECT_DOUBLE_EQ(table.meanRunTimeFactor(testService), 4 / 3.5);
    EXPECT_EQ(table.meanRunTimeFactor(ServiceName("other")), 1);
}

// Guards against a flood of log lines about a worker whose speed changes often.
TEST(WorkerSpeedTest, ChangesOfAWorkerAreToldSeldom)
{
    auto table = tableOf({{1'000}, {2'000}, {1'000}, {1'000}});
    EXPECT_EQ(table.takeSpeedChanges(Start), std::vector{nameOf(1)});
    EXPECT_TRUE(table.takeSpeedChanges(Start).empty());
    table.handleReport(Start, reportOf(1, {1'000}));
    EXPECT_TRUE(table.takeSpeedChanges(Start + milliseconds(9'000)).empty());
    EXPECT_EQ(table.takeSpeedChanges(Start + milliseconds(11'000)), std::vector{nameOf(1)});
}

} // namespace Sycamoremoor
