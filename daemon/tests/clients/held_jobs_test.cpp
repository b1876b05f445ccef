// Jobs that a scheduler holds until there are workers: within the limits one by one, and beyond the memory together.
#include "client_crowd.h"
#include "crowd_table.h"
#include "limited_process.h"
#include "memory_check.h"
#include "test_limits_type.h"

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <iostream>
#include <string>
#include <string_view>
#include <thread>

namespace Sycamoremoor
{

namespace
{

constexpr std::string_view JobBegin = R"({"spec":"x","bestEffort":true,"steps":[)";
constexpr std::size_t Jobs = 100;                    ///< fewer than callers may have connections
constexpr auto ReadLimit = std::chrono::seconds(30); ///< beyond any delay of a busy machine
constexpr auto CheckInterval = std::chrono::milliseconds(2);

/** Returns as many steps as fit in a body, each of which waits for all before it. */
std::string stepsInRow()
{
    const std::string step = R"(,{"count":1,"cpu":100,"after":[0)";
    const std::string end = "]}";
    std::string steps = R"({"count":1,"cpu":100})";
    std::string earlier; // all steps before the next one but the first
    while (steps.size() + step.size() + earlier.size() + 2 * end.size() + JobBegin.size() <= TestLimits::BodyBytes) {
        steps.append(step).append(earlier).append(end);
        earlier += ",0";
    }
    return steps;
}

/** One form of job, and the steps of its body. */
struct JobForm {
    const char *name;
    std::function<std::string()> steps;

    friend std::ostream &operator<<(std::ostream &out, const JobForm &form)
    {
        return out << form.name;
    }
};

const std::array jobForms{
    // Guards against bodies that are kept beside what is read from them, and lists that take more memory than their text.
    JobForm{"LongBodies", &stepsInRow},
    // Guards against tables of tasks that are a multiple of the body.
    JobForm{"ManyTasks",
            [] {
                return std::string(R"({"count":10000,"cpu":100})");
            }},
};

/** Returns the submission of job @p number. */
std::string submission(std::size_t number, const std::string &body)
{
    auto request = requestWithBody(Door::SchedulerCallers, body);
    const auto digits = std::to_string(number);
    return request.replace(request.find("0123456789abcdef"), digits.size(), digits);
}

} // namespace

class HeldJobsTest : public testing::TestWithParam<JobForm>
{
};

TEST_P(HeldJobsTest, JobsThatWaitStayWithinTheMemory)
{
    LimitedProcess limited(Door::SchedulerCallers);
    ASSERT_TRUE(limited.hasStarted());
    const auto body = std::string(JobBegin) + GetParam().steps() + "]}";
    ClientCrowd callers(limited.endpoint(Door::SchedulerCallers), Jobs);
    for (std::size_t job = 0; job < Jobs; ++job) {
        callers.sendFrom(job, submission(job, body));
        // One after the other, so that the bound on requests that are not whole is not met.
        const auto end = std::chrono::steady_clock::now() + ReadLimit;
        while (limited.unreadBytes() > 0 && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(CheckInterval);
        }
    }

    ASSERT_TRUE(limited.process().isAlive());
    EXPECT_EQ(limited.ask(Door::SchedulerCallers), rowOf(Door::SchedulerCallers).answer);
    const auto peakBytes = limited.process().peakResidentBytes();
    RecordProperty("peakKilobytes", static_cast<int>(peakBytes >> 10U));
    std::cout << "resident: " << (peakBytes >> 10U) << " KB at most\n";
    if (ChecksMemory) {
        EXPECT_LE(peakBytes, TestLimits::MemoryBytes);
    }
}

INSTANTIATE_TEST_SUITE_P(Forms, HeldJobsTest, testing::ValuesIn(jobForms), [](const auto &test) { return test.param.name; });

} // namespace Sycamoremoor
