// When the event loop calls messages to the end of a round.
#include "loop_func.h"

#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/net/timer.h>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace Sycamoremoor
{

TEST(EventLoopTest, MessagesToTheEndOfARoundComeAfterAllThatWasReadyAndInTheOrderOfTheirPhases)
{
    EventLoop loop;
    std::vector<std::string> order;
    Timer first(loop, [&] {
        order.emplace_back("first");
        loop.atEndOfRound(RoundPhase::Decide, [&order] { order.emplace_back("decide"); });
    });
    Timer second(loop, [&] {
        order.emplace_back("second");
        loop.atEndOfRound(RoundPhase::Decode, [&order] { order.emplace_back("decode"); });
    });
    first.start(Duration::zero());
    second.start(Duration::zero());
    ASSERT_TRUE(runUntil(loop, [&order] { return order.size() >= 4; }));
    EXPECT_EQ(order, (std::vector<std::string>{"first", "second", "decode", "decide"}));
}

TEST(EventLoopTest, AMessageThatAsksForAnotherIsFollowedByIt)
{
    EventLoop loop;
    std::vector<std::string> order;
    loop.atEndOfRound(RoundPhase::Decide, [&] {
        order.emplace_back("decide");
        loop.atEndOfRound(RoundPhase::Decode, [&order] { order.emplace_back("decode"); });
    });
    ASSERT_TRUE(runUntil(loop, [&order] { return order.size() >= 2; }));
    EXPECT_EQ(order, (std::vector<std::string>{"decide", "decode"}));
}

} // namespace Sycamoremoor
