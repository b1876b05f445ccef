// When the event loop calls messages to the end of a round.
#include "loop_func.h"

#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/net/timer.h>

#include <event2/event.h>
#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <list>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace Sycamoremoor
{

namespace
{

constexpr std::size_t ManySockets = 200; ///< more than one poll of libevent returns at first, and than its second
constexpr Duration Standstill = std::chrono::milliseconds(400);
constexpr int MostTurns = 12; ///< of a socket that is always ready, in one round

/** A socket that can be made ready, and what is called when the loop finds it so. */
class TestSocket
{
public:
    TestSocket(EventLoop &loop, bool isDrained, std::function<void()> hook)
        : m_isDrained(isDrained)
        , m_hook(std::move(hook))
    {
        EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, m_ends.data()), 0);
        m_event = event_new(loop.base(), m_ends[0], EV_READ | EV_PERSIST, &TestSocket::isReady, this);
        event_add(m_event, nullptr);
    }

    ~TestSocket()
    {
        event_free(m_event);
        close(m_ends[0]);
        close(m_ends[1]);
    }

    TestSocket(const TestSocket &) = delete;
    TestSocket &operator=(const TestSocket &) = delete;

    void makeReady() const
    {
        EXPECT_EQ(write(m_ends[1], "x", 1), 1);
    }

private:
    static void isReady(int socket, short /*what*/, void *self)
    {
        auto *ready = static_cast<TestSocket *>(self);
        if (std::array<char, 1> byte{}; ready->m_isDrained) {
            EXPECT_EQ(read(socket, byte.data(), byte.size()), 1);
        }
        ready->m_hook();
    }

    bool m_isDrained;
    std::function<void()> m_hook;
    std::array<int, 2> m_ends{-1, -1};
    event *m_event = nullptr;
};

} // namespace

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

/** A loop with many sockets. The first that is read in a round asks for its end, which notes how many have been read by then. */
class RoundTest : public testing::Test
{
protected:
    RoundTest()
    {
        for (std::size_t socket = 0; socket < ManySockets; ++socket) {
            m_sockets.emplace_back(m_loop, true, [this] {
                ++m_read;
                askForEnd();
            });
        }
    }

    void askForEnd()
    {
        if (!std::exchange(m_isAsked, true)) {
            m_loop.atEndOfRound(RoundPhase::Decide, [this] {
                m_isAsked = false;
                m_readByEnd.push_back(m_read);
            });
        }
    }

    void makeAllReady()
    {
        for (const auto &socket : m_sockets) {
            socket.makeReady();
        }
    }

    EventLoop m_loop;
    std::list<TestSocket> m_sockets;
    std::size_t m_read = 0;
    bool m_isAsked = false;
    std::vector<std::size_t> m_readByEnd; ///< by ended round
};

TEST_F(RoundTest, HoldsAllThatBecameReadyWhileTheLoopStoodStill)
{
    Timer standing(m_loop, [this] {
        makeAllReady();
        std::this_thread::sleep_for(Standstill);
    });
    standing.start(Duration::zero());
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_read == ManySockets && !m_isAsked; }));
    EXPECT_EQ(m_readByEnd, std::vector<std::size_t>{ManySockets});
}

TEST_F(RoundTest, HoldsAllThatBecameReadyBeforeTheLoopRan)
{
    makeAllReady();
    std::this_thread::sleep_for(Standstill);
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_read == ManySockets && !m_isAsked; }));
    EXPECT_EQ(m_readByEnd, std::vector<std::size_t>{ManySockets});
}

/** The loop stands still at a turn, counted from the start of the test, of a socket that is always ready. */
class LateRoundTest : public RoundTest, public testing::WithParamInterface<int>
{
};

TEST_P(LateRoundTest, HoldsAllThatBecameReadyWhileTheLoopStoodStill)
{
    int turns = 0;
    bool hasStood = false;
    const TestSocket busy(m_loop, false, [&] {
        askForEnd();
        if (++turns == GetParam()) {
            makeAllReady();
            std::this_thread::sleep_for(Standstill);
            hasStood = true;
        }
    });
    busy.makeReady();
    std::this_thread::sleep_for(Standstill);
    ASSERT_TRUE(runUntil(m_loop, [&] { return hasStood && !m_readByEnd.empty() && m_readByEnd.back() == ManySockets; }));
    for (const auto read : m_readByEnd) {
        EXPECT_TRUE(read == 0 || read == ManySockets) << read;
    }
}

INSTANTIATE_TEST_SUITE_P(Turns, LateRoundTest, testing::Range(1, 8));

TEST_F(RoundTest, EndsAlthoughASocketIsAlwaysReadyAndTheLoopStandsStillAtEachOfItsTurns)
{
    int turns = 0;
    const TestSocket busy(m_loop, false, [&] {
        ++turns;
        askForEnd();
        std::this_thread::sleep_for(Standstill);
    });
    busy.makeReady();
    ASSERT_TRUE(runUntil(m_loop, [this] { return !m_readByEnd.empty(); }));
    EXPECT_LE(turns, MostTurns);
}

TEST_F(RoundTest, EndsBeforeAnotherPollIfTheLoopIsOnTime)
{
    bool isRead = false;
    bool hasEndedFirst = false;
    const TestSocket next(m_loop, true, [&] { isRead = true; });
    const TestSocket first(m_loop, true, [&] {
        isRead = false;
        next.makeReady();
        m_loop.atEndOfRound(RoundPhase::Decide, [&] { hasEndedFirst = hasEndedFirst || !isRead; });
    });
    // On a slow machine a round may be late, so that it takes some.
    ASSERT_TRUE(runUntil(m_loop, [&] {
        first.makeReady();
        return hasEndedFirst;
    }));
}

} // namespace Sycamoremoor
