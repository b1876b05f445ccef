// Tests for submission keys: parsing, formatting and creation time.
#include <sycamoremoor/core/submission_key.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>

namespace Sycamoremoor
{

namespace
{

struct TextCase {
    const char *text;
    bool valid;
};

constexpr std::array TextCases{
    TextCase{"01932c07-209c-7d5a-8b1e-0123456789ab", true},
    TextCase{"01932C07-209C-7D5A-8B1E-0123456789AB", true},
    TextCase{"", false},
    TextCase{"01932c07-209c-4d5a-8b1e-0123456789ab", false},
    TextCase{"01932c07-209c-7d5a-0b1e-0123456789ab", false},
    TextCase{"01932c07+209c-7d5a-8b1e-0123456789ab", false},
    TextCase{"01932c07-209c-7d5a-8b1e-0123456789ag", false},
    TextCase{"01932c07-209c-7d5a-8b1e-0123456789abc", false},
};

} // namespace

class SubmissionKeyTextTest : public testing::TestWithParam<TextCase>
{
};

TEST_P(SubmissionKeyTextTest, AcceptsOnlyVersion7)
{
    const auto &[text, valid] = GetParam();
    EXPECT_EQ(SubmissionKey::fromString(text).has_value(), valid) << text;
}

INSTANTIATE_TEST_SUITE_P(Texts, SubmissionKeyTextTest, testing::ValuesIn(TextCases));

RC_GTEST_PROP(SubmissionKeyProperty, PrintedKeysReadBack, (std::uint64_t high, std::uint64_t low))
{
    const auto milliseconds = *rc::gen::inRange<std::int64_t>(0, std::int64_t{1} << 47U);
    const WallTime created{std::chrono::milliseconds(milliseconds)};
    const auto key = SubmissionKey::create(created, high, low);
    RC_ASSERT(key.created() == created);
    RC_ASSERT(SubmissionKey::fromString(key.toString()) == key);
}

} // namespace Sycamoremoor
