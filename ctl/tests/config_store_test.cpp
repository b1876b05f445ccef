// Changes of the configuration: one of two racing operators wins, a lost answer is settled by the change id.
#include "config_store.h"
#include "http_caller.h"
#include "options.h"
#include "platform_standin.h"
#include "signal_loop.h"

#include <gtest/gtest.h>

#include <event2/event.h>

#include <atomic>
#include <thread>

namespace Sycamoremoor
{

namespace
{

constexpr const char *Host = "127.0.0.1";

ConfigSet setWith(const std::string &changeId, std::int64_t slots)
{
    ConfigSet set;
    set.changeId = ChangeId(changeId);
    set.author = "author of " + changeId;
    auto &service = set.services[ServiceName("reclaim-desk")];
    service.name = ServiceName("reclaim-desk");
    service.slotsPerUpstream = Slots(slots);
    return set;
}

/** A platform stand-in on a thread of its own, told to fail over HTTP. */
class ConfigStoreTest : public testing::Test
{
protected:
    ~ConfigStoreTest() override
    {
        m_done = true; // the stand-in's own ticks wake the loop
        m_thread.join();
    }

    ConfigStore store()
    {
        return ConfigStore({.endpoints = {{Host, m_port}}, .callTimeout = std::chrono::seconds(5)});
    }

    void tell(const std::string &faults)
    {
        callOne({Host, m_port}, {.path = "/control", .body = faults}, std::chrono::seconds(5));
    }

    SignalLoop m_loop;
    PlatformStandin m_standin{m_loop.base(), {Host, 0}};
    std::uint16_t m_port = m_standin.port();
    std::atomic<bool> m_done = false;
    std::thread m_thread{[this] {
        while (!m_done) {
            event_base_loop(m_loop.base(), EVLOOP_ONCE);
        }
    }};
};

struct OptionCase {
    const char *name;
    std::vector<std::string> arguments;
    const char *fault; ///< empty: accepted
};

class OptionsTest : public testing::TestWithParam<OptionCase>
{
};

} // namespace

TEST_F(ConfigStoreTest, OneOfTwoRacingChangesWins)
{
    auto first = store();
    auto second = store();
    std::string error;
    const auto base = first.readHead(error);
    ASSERT_TRUE(base.has_value()) << error;
    EXPECT_EQ(first.commit(setWith("one", 8), *base).outcome, CallOutcome::Done);
    const auto lost = second.commit(setWith("two", 9), *base);
    EXPECT_EQ(lost.outcome, CallOutcome::Conflict);
    EXPECT_EQ(lost.head.author, "author of one");
    const auto history = second.readHistory(error);
    ASSERT_TRUE(history.has_value()) << error;
    ASSERT_EQ(history->size(), 1U);
    EXPECT_EQ(history->front().services.at(ServiceName("reclaim-desk")).slotsPerUpstream, Slots(8));
}

TEST_F(ConfigStoreTest, LostAnswerIsSettledByTheChangeId)
{
    auto operatorStore = store();
    std::string error;
    tell(R"({"lose_answers":1})");
    EXPECT_EQ(operatorStore.commit(setWith("one", 8), *operatorStore.readHead(error)).outcome, CallOutcome::Done);
    EXPECT_EQ(operatorStore.readHistory(error)->size(), 1U);
}

TEST_F(ConfigStoreTest, ChangeDuringAnOutageIsNotCalledDone)
{
    auto operatorStore = store();
    std::string error;
    const auto base = *operatorStore.readHead(error);
    tell(R"({"down":true})");
    EXPECT_EQ(operatorStore.commit(setWith("one", 8), base).outcome, CallOutcome::Unknown);
    tell(R"({"down":false})");
    EXPECT_TRUE(operatorStore.readHistory(error)->empty());
}

TEST_P(OptionsTest, FaultNamesFlagValueAndWhatIsAllowed)
{
    const CommandRow command{
        "test", "FILE", 0, 1, "", {{"count", OptionKind::Whole, "3", "", 1, 10}, {"fast", OptionKind::Switch, "", ""}}, {}};
    std::string fault;
    const auto options = Options::read(command, GetParam().arguments, fault);
    EXPECT_EQ(fault, GetParam().fault);
}

INSTANTIATE_TEST_SUITE_P(Arguments,
                         OptionsTest,
                         testing::Values(OptionCase{"None", {}, ""},
                                         OptionCase{"All", {"--count=10", "--fast", "file"}, ""},
                                         OptionCase{"AboveRange", {"--count", "11"}, "--count: '11' is not a whole number from 1 to 10"},
                                         OptionCase{"NoNumber", {"--count=x"}, "--count: 'x' is not a whole number from 1 to 10"},
                                         OptionCase{
                                             "NoAddress", {"--entries=localhost"}, "--entries: 'localhost' is not a list of IP:PORT"},
                                         OptionCase{"NoSuchFlag", {"--slow"}, "--slow is not a flag of this command"},
                                         OptionCase{"NoValue", {"--count"}, "--count needs a value"},
                                         OptionCase{"TwoOperands", {"a", "b"}, "operands expected: FILE"}),
                         [](const auto &instance) { return instance.param.name; });

} // namespace Sycamoremoor
