// What a copy of a prefix shows when the answers of the store arrive in another order than they were made.
#include "loop_func.h"

#include <sycamoremoor/net/prefix_watcher.h>

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace Sycamoremoor
{

namespace
{

constexpr PrefixWatchTimes Times{std::chrono::hours(1), std::chrono::seconds(10)};

/** A store whose answers are given by the test. */
struct HeldStore {
    std::vector<std::function<void(StoreSnapshot)>> reads;
    std::vector<std::function<void(StoreChanges)>> watches;

    StoreHooks hooks()
    {
        StoreHooks hooks;
        hooks.read = [this](const std::string & /*prefix*/, std::function<void(StoreSnapshot)> done) {
            reads.push_back(std::move(done));
        };
        hooks.watch
            = [this](const std::string & /*prefix*/, StoreVersion /*after*/, Duration /*wait*/, std::function<void(StoreChanges)> done) {
                  watches.push_back(std::move(done));
              };
        hooks.write = [](const StoreItem & /*item*/, const std::function<void(bool)> & /*done*/) {
        };
        return hooks;
    }
};

} // namespace

/** Guards against a removed key that a delayed answer of a watch brings back: a zone would count as evacuated again. */
TEST(PrefixWatcherTest, ADelayedAnswerOfAWatchBringsNoRemovedKeyBack)
{
    EventLoop loop;
    HeldStore store;
    PrefixWatcher watcher(loop, store.hooks(), "p/", Times);
    std::vector<std::size_t> sizes;
    watcher.signalChanged().connect([&sizes](const PrefixWatcher::Items &items) { sizes.push_back(items.size()); });
    watcher.start();
    ASSERT_TRUE(runUntil(loop, [&store] { return store.reads.size() == 1; }));
    store.reads.back()({true, 1, {}});
    ASSERT_EQ(store.watches.size(), 1U);
    watcher.confirm();
    ASSERT_EQ(store.reads.size(), 2U);
    store.reads.back()({true, 3, {}}); // written at 2 and removed at 3
    EXPECT_EQ(watcher.version(), 3);
    store.watches.front()({StoreChanges::Outcome::Told, 2, {{false, {"p/a", "", 2}}}});
    EXPECT_EQ(sizes, std::vector<std::size_t>{0});
    ASSERT_TRUE(runUntil(loop, [&store] { return store.watches.size() == 2; }));
    store.watches.back()({StoreChanges::Outcome::Told, 4, {{false, {"p/a", "", 4}}}});
    EXPECT_EQ(sizes, (std::vector<std::size_t>{0, 1}));
}

} // namespace Sycamoremoor
