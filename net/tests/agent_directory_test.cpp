// Which records of the directory name a guard: an odd one neither hides the others nor stands in for one of them.
#include <sycamoremoor/net/agent_directory.h>
#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/wire/message_codec.h>

#include "loop_func.h"

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <vector>

namespace Sycamoremoor
{

namespace
{

AgentRecord recordOf(const std::string &agent, std::uint16_t port = 7100)
{
    return {AgentName(agent), {"10.0.0.1", port}, ZoneName("z")};
}

/** A store that holds some items. */
struct FakeStore {
    std::vector<StoreItem> items;
    std::function<void(StoreChanges)> watching;
    int refusedWrites = 0; ///< of the writes to come
    int writes = 0;

    StoreHooks hooks()
    {
        StoreHooks hooks;
        hooks.read = [this](const std::string & /*prefix*/, const std::function<void(StoreSnapshot)> &done) {
            done({true, 1, items});
        };
        hooks.watch
            = [this](const std::string & /*prefix*/, StoreVersion /*after*/, Duration /*wait*/, std::function<void(StoreChanges)> done) {
                  watching = std::move(done);
              };
        hooks.write = [this](const StoreItem &item, const std::function<void(bool)> &done) {
            ++writes;
            if (--refusedWrites < 0) {
                items.push_back(item);
            }
            done(refusedWrites < 0);
        };
        return hooks;
    }

    void tell(const StoreItem &item, bool isRemoved = false)
    {
        StoreChanges changes;
        changes.outcome = StoreChanges::Outcome::Told;
        changes.version = item.version;
        changes.changes.push_back({isRemoved, item});
        watching(changes);
    }
};

/** A record that another writer left. */
struct OddItem {
    const char *name;
    const char *key;
    std::string value;
};

std::vector<OddItem> oddItems()
{
    const std::string longName(1'000'000, 'x');
    return {
        {"NoJson", "agents/a", "nonsense"},
        {"BadUtf8", "agents/a", "{\"agent\":\"\xff\"}"},
        {"DeeplyNested", "agents/a", std::string(100'000, '[')},
        {"DeepFieldOfAnObject", "agents/a", R"({"agent":"a","endpoint":"10.0.0.1:7100","zone":"z","x":)" + std::string(100'000, '[')},
        {"PortOutOfRange", "agents/a", R"({"agent":"a","endpoint":"10.0.0.1:65536","zone":"z"})"},
        {"PortZero", "agents/a", R"({"agent":"a","endpoint":"10.0.0.1:0","zone":"z"})"},
        {"NegativePort", "agents/a", R"({"agent":"a","endpoint":"10.0.0.1:-1","zone":"z"})"},
        {"PortOfManyBits", "agents/a", R"({"agent":"a","endpoint":"10.0.0.1:4294974396","zone":"z"})"},
        {"NoEndpoint", "agents/a", R"({"agent":"a","endpoint":"","zone":"z"})"},
        {"HostName", "agents/a", R"({"agent":"a","endpoint":"nowhere:80","zone":"z"})"},
        {"NumberAsName", "agents/a", R"({"agent":18446744073709551616,"endpoint":"10.0.0.1:7100","zone":"z"})"},
        {"LongName", "agents/a", encode(recordOf(longName))},
        {"NameOfAnotherGuard", "agents/a", encode(recordOf("good", 9))},
        {"NoName", "agents/", encode(recordOf(""))},
    };
}

} // namespace

class OddItemTest : public testing::TestWithParam<OddItem>
{
};

TEST_P(OddItemTest, LeavesTheOthersInForceAndIsReplacedByAGoodOne)
{
    EventLoop loop;
    FakeStore store;
    store.items = {{GetParam().key, GetParam().value, 1}, {"agents/good", encode(recordOf("good")), 1}};
    AgentDirectory directory(loop, store.hooks());
    AgentDirectory::Agents agents;
    directory.signalChanged().connect([&agents](const AgentDirectory::Agents &changed) { agents = changed; });
    directory.start();
    ASSERT_TRUE(runUntil(loop, [&store] { return store.watching != nullptr; }));
    const AgentDirectory::Agents good{{AgentName("good"), recordOf("good")}};
    EXPECT_EQ(agents, good);
    store.tell({"agents/a", encode(recordOf("a")), 2});
    EXPECT_EQ(agents.size(), 2U);
    ASSERT_TRUE(runUntil(loop, [&store] { return store.watching != nullptr; }));
    store.tell({GetParam().key, GetParam().value, 3});
    EXPECT_TRUE(agents.contains(AgentName("good")));
    EXPECT_EQ(agents.at(AgentName("good")), recordOf("good"));
    EXPECT_TRUE(agents.contains(AgentName("a"))) << "the odd record has taken the place of one that names a guard";
    ASSERT_TRUE(runUntil(loop, [&store] { return store.watching != nullptr; }));
    store.tell({"agents/a", "", 4}, true);
    EXPECT_EQ(agents, good);
}

INSTANTIATE_TEST_SUITE_P(Items, OddItemTest, testing::ValuesIn(oddItems()), [](const auto &test) { return std::string(test.param.name); });

// Guards against a record that is never written since the store refused its first write: no scheduler finds such a guard.
TEST(AgentPublisherTest, WritesAgainUntilTheStoreHasTheRecord)
{
    constexpr int Refused = 2;
    EventLoop loop;
    FakeStore store;
    store.refusedWrites = Refused;
    AgentPublisher publisher(loop, store.hooks(), recordOf("a"));
    publisher.start();
    ASSERT_TRUE(runUntil(loop, [&store] { return !store.items.empty(); }));
    EXPECT_EQ(store.items[0].value, encode(recordOf("a")));
    EXPECT_EQ(store.writes, Refused + 1);
    runFor(loop, std::chrono::seconds(1));
    EXPECT_EQ(store.writes, Refused + 1) << "a written record is left alone";
}

} // namespace Sycamoremoor
