// JSON bodies of the gateway: round trips and refusals.
#include "../src/gateway_codec.h"
#include <sycamoremoor/wire/base64_func.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Sycamoremoor
{

RC_GTEST_PROP(Base64Property, EncodedBytesReadBack, (const std::string &bytes))
{
    RC_ASSERT(fromBase64(toBase64(bytes)) == bytes);
}

RC_GTEST_PROP(GatewayCodecProperty, AnyTextIsReadOrRefused, (const std::string &text))
{
    RangeResult range;
    WriteResult write;
    WatchEvents events;
    bool canceled = false;
    decodeRange(text, range);
    decodeTransaction(text, write);
    decodeWatch(text, events, canceled);
    RC_SUCCEED("no fault");
}

struct RefusedBody {
    const char *body;
};

class RefusedBodyTest : public testing::TestWithParam<RefusedBody>
{
};

TEST_P(RefusedBodyTest, IsNoRangeResult)
{
    RangeResult result;
    EXPECT_FALSE(decodeRange(GetParam().body, result));
}

INSTANTIATE_TEST_SUITE_P(Bodies,
                         RefusedBodyTest,
                         testing::Values(RefusedBody{""},
                                         RefusedBody{"[]"},
                                         RefusedBody{"{}"},
                                         RefusedBody{R"({"header":{"revision":"x"}})"},
                                         RefusedBody{R"({"header":{"revision":"1"},"kvs":[{"key":"?"}]})"},
                                         RefusedBody{R"({"header":{"revision":"1"},"kvs":[{"key":7}]})"}));

struct PrefixCase {
    const char *prefix;
    std::string end;
};

class PrefixRangeEndTest : public testing::TestWithParam<PrefixCase>
{
};

TEST_P(PrefixRangeEndTest, IsTheNextPrefix)
{
    EXPECT_EQ(prefixRangeEnd(GetParam().prefix), GetParam().end);
}

INSTANTIATE_TEST_SUITE_P(Prefixes,
                         PrefixRangeEndTest,
                         testing::Values(PrefixCase{"a/", "a0"}, PrefixCase{"a\xff", "b"}, PrefixCase{"\xff", std::string(1, '\0')}));

} // namespace Sycamoremoor
