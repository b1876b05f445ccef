// Nesting of JSON text, and what is taken out of it.
#include <sycamoremoor/wire/json_parse_func.h>

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <string_view>

namespace Sycamoremoor
{

namespace
{

/** A text and what is left of it at a depth of two. */
struct NestingCase {
    const char *name;
    const char *text;
    const char *shallow;
};

constexpr std::array NestingCases{
    NestingCase{"Flat", R"({"a":[1,2]})", R"({"a":[1,2]})"},
    NestingCase{"OneTooDeep", R"({"a":[{"b":1},2]})", R"({"a":[null,2]})"},
    NestingCase{"MuchTooDeep", R"({"a":[[[{"b":1}]],{"c":[]}],"d":{}})", R"({"a":[null,null],"d":{}})"},
    NestingCase{"BracketsInStrings", R"({"[[[":["}]\"[{"]})", R"({"[[[":["}]\"[{"]})"},
    NestingCase{"BracketsInDeepStrings", R"([[["]]\\\"]"],1]])", R"([[null,1]])"},
    NestingCase{"Unclosed", R"([[[1)", R"([[null)"},
    NestingCase{"ClosedTwice", R"([[[1]]]]])", R"([[null]]]])"},
    NestingCase{"Empty", "", ""},
};

} // namespace

class NestingTest : public testing::TestWithParam<NestingCase>
{
};

TEST_P(NestingTest, WhatIsTooDeepIsTakenOut)
{
    EXPECT_EQ(withoutDeepNesting(GetParam().text, 2), GetParam().shallow);
    EXPECT_TRUE(nestsWithin(withoutDeepNesting(GetParam().text, 2), 2));
}

INSTANTIATE_TEST_SUITE_P(Texts, NestingTest, testing::ValuesIn(NestingCases), [](const auto &test) { return test.param.name; });

namespace
{

/** Repeats @p element between @p begin and @p end until the text has @p bytes. */
std::string wideText(const std::string &begin, const std::string &element, const std::string &end, std::size_t bytes)
{
    std::string text = begin;
    while (text.size() + element.size() + end.size() <= bytes) {
        text += element;
    }
    return text + end;
}

/** A text whose values take a multiple of its length in memory. */
struct WideCase {
    const char *name;
    const char *begin;
    const char *element;
    const char *end;
};

constexpr std::array WideCases{
    WideCase{"Objects", "[", "{},", "0]"},
    WideCase{"Arrays", "[", "[],", "0]"},
    WideCase{"Numbers", "[", "0,", "0]"},
    WideCase{"Texts", "[", R"("",)", "0]"},
    WideCase{"Members", "[", R"({"":0},)", "0]"},
    WideCase{"NestedMembers", "[", R"({"":{"":""}},)", "0]"},
};

constexpr std::size_t CallerBodyBytes = 262'144; ///< the longest body that the platform lets a caller send

/** A text, and what is left of it when only the members "a" and "b" are kept. */
struct MembersCase {
    const char *name;
    const char *text;
    const char *kept;
};

constexpr std::array MembersCases{
    MembersCase{"Scalars", R"({"x":1,"a":2,"y":"text","b":null,"z":true})", R"({"a":2,"b":null})"},
    MembersCase{"Containers", R"({"x":{"a":[1,{"b":2}]},"a":[{"x":1}],"y":[[],{}],"b":{"y":[]}})", R"({"a":[{"x":1}],"b":{"y":[]}})"},
    MembersCase{"OnlyOthers", R"({"x":{},"y":[1]})", R"({})"},
    MembersCase{"Twice", R"({"a":1,"a":2,"x":3})", R"({"a":2})"},
    MembersCase{"NoObject", R"([{"x":1}])", R"([{"x":1}])"},
};

constexpr std::array<std::string_view, 2> KeptMembers{"a", "b"};

} // namespace

class WideJsonTest : public testing::TestWithParam<WideCase>
{
};

TEST_P(WideJsonTest, IsParsedAtTheLengthOfACallersBodyAndNotWithoutEnd)
{
    const auto &[name, begin, element, end] = GetParam();
    const auto text = wideText(begin, element, end, CallerBodyBytes);
    EXPECT_EQ(parseJson(text), nlohmann::json::parse(text));
    EXPECT_TRUE(parseJson(wideText(begin, element, end, MaxJsonBytes)).is_discarded());
}

INSTANTIATE_TEST_SUITE_P(Texts, WideJsonTest, testing::ValuesIn(WideCases), [](const auto &test) { return test.param.name; });

class MembersTest : public testing::TestWithParam<MembersCase>
{
};

TEST_P(MembersTest, OthersAreLeftOut)
{
    EXPECT_EQ(parseJson(GetParam().text, KeptMembers).dump(), GetParam().kept);
}

INSTANTIATE_TEST_SUITE_P(Texts, MembersTest, testing::ValuesIn(MembersCases), [](const auto &test) { return test.param.name; });

TEST(ParseJsonTest, OtherMembersMustBeJsonToo)
{
    EXPECT_TRUE(parseJson(R"({"a":1,"x":[1,})", KeptMembers).is_discarded());
    EXPECT_TRUE(parseJson(R"({"a":1,"x":[1)", KeptMembers).is_discarded());
    EXPECT_TRUE(parseJson("", KeptMembers).is_discarded());
}

} // namespace Sycamoremoor
