// Text forms of addresses and task ids.
#include <sycamoremoor/wire/text_codec.h>

#include <gtest/gtest.h>

#include <array>
#include <string>

namespace Sycamoremoor
{

namespace
{

struct EndpointCase {
    const char *text;
    bool valid;
};

constexpr std::array EndpointCases{
    EndpointCase{"127.0.0.1:8080", true},
    EndpointCase{"[::1]:65535", true},
    EndpointCase{"127.0.0.1", false},
    EndpointCase{"127.0.0.1:", false},
    EndpointCase{"127.0.0.1:65536", false},
    EndpointCase{"127.0.0.1:-1", false},
    EndpointCase{"127.0.0.1:80x", false},
    EndpointCase{"::1:80", false},
    EndpointCase{"localhost:80", false},
    EndpointCase{"[127.0.0.1]:80", false},
    EndpointCase{":80", false},
    EndpointCase{"", false},
};

struct TaskIdCase {
    const char *text;
    bool valid;
};

constexpr std::array TaskIdCases{
    TaskIdCase{"01932c07-209c-7d5a-8b1e-0123456789ab.0", true},
    TaskIdCase{"01932c07-209c-7d5a-8b1e-0123456789ab.4294967295", true},
    TaskIdCase{"01932c07-209c-7d5a-8b1e-0123456789ab.4294967296", false},
    TaskIdCase{"01932c07-209c-7d5a-8b1e-0123456789ab.", false},
    TaskIdCase{"01932c07-209c-7d5a-8b1e-0123456789ab", false},
    TaskIdCase{".1", false},
    TaskIdCase{"", false},
};

} // namespace

class EndpointTextTest : public testing::TestWithParam<EndpointCase>
{
};

TEST_P(EndpointTextTest, ReadsOnlyNumbers)
{
    const auto &[text, valid] = GetParam();
    const auto endpoint = endpointFromString(text);
    ASSERT_EQ(endpoint.has_value(), valid) << text;
    if (endpoint) {
        EXPECT_EQ(endpointToString(*endpoint), text);
    }
}

INSTANTIATE_TEST_SUITE_P(Texts, EndpointTextTest, testing::ValuesIn(EndpointCases));

class TaskIdTextTest : public testing::TestWithParam<TaskIdCase>
{
};

TEST_P(TaskIdTextTest, ReadsBack)
{
    const auto &[text, valid] = GetParam();
    const auto task = taskIdFromString(text);
    ASSERT_EQ(task.has_value(), valid) << text;
    if (task) {
        EXPECT_EQ(taskIdToString(*task), text);
    }
}

INSTANTIATE_TEST_SUITE_P(Texts, TaskIdTextTest, testing::ValuesIn(TaskIdCases));

} // namespace Sycamoremoor
