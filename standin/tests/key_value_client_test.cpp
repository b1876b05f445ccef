// The client of the platform's service against the stand-in, faults included.
#include "platform_standin.h"
#include "signal_loop.h"

#include <sycamoremoor/gateway/key_value_client.h>

#include <gtest/gtest.h>

#include <event2/event.h>

#include <optional>

namespace Sycamoremoor
{

namespace
{

constexpr const char *Host = "127.0.0.1";
constexpr Duration CallTimeout = std::chrono::milliseconds(400);

/** A stand-in and a client on one event loop. */
class KeyValueClientTest : public testing::Test
{
protected:
    KeyValueSettings settings()
    {
        return {.endpoints = {{Host, m_standin.port()}}, .callTimeout = CallTimeout};
    }

    /** Runs the loop until the call that @p start starts has ended. */
    template<typename Result, typename Start>
    Result await(Start start)
    {
        std::optional<Result> result;
        start([&result](Result ended) { result = std::move(ended); });
        while (!result) {
            event_base_loop(m_loop.base(), EVLOOP_ONCE);
        }
        return *result;
    }

    WriteResult put(KeyValueClient &client, const std::string &key, const std::string &value)
    {
        return await<WriteResult>([&](auto done) { client.put({key, value}, done); });
    }

    RangeResult range(KeyValueClient &client, const std::string &key)
    {
        return await<RangeResult>([&](auto done) { client.range({.key = key}, done); });
    }

    SignalLoop m_loop;
    PlatformStandin m_standin{m_loop.base(), {Host, 0}};
};

struct FaultCase {
    const char *name;
    PlatformFaults faults;
    CallOutcome read;
    CallOutcome write;
    bool writeTakesEffect;
};

class KeyValueFaultTest : public KeyValueClientTest, public testing::WithParamInterface<FaultCase>
{
};

} // namespace

TEST_P(KeyValueFaultTest, OutcomeTellsWhetherThereMayBeAnEffect)
{
    const auto &[name, faults, read, write, writeTakesEffect] = GetParam();
    KeyValueClient client(m_loop.base(), settings());
    m_standin.faults() = faults;
    EXPECT_EQ(range(client, "key").outcome, read);
    EXPECT_EQ(put(client, "key", "value").outcome, write);
    m_standin.faults() = {};
    EXPECT_EQ(range(client, "key").values.size(), writeTakesEffect ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(Faults,
                         KeyValueFaultTest,
                         testing::Values(FaultCase{"None", {}, CallOutcome::Done, CallOutcome::Done, true},
                                         FaultCase{"Down", {.down = true}, CallOutcome::NoEffect, CallOutcome::Unknown, false},
                                         FaultCase{"Silent", {.silent = true}, CallOutcome::NoEffect, CallOutcome::Unknown, false},
                                         FaultCase{
                                             "Slow", {.delay = std::chrono::milliseconds(20)}, CallOutcome::Done, CallOutcome::Done, true},
                                         FaultCase{"OneCallASecond", {.ratePerSecond = 1}, CallOutcome::Done, CallOutcome::NoEffect, false},
                                         FaultCase{"AnswerLost", {.loseAnswers = 1}, CallOutcome::Done, CallOutcome::Unknown, true}),
                         [](const auto &instance) { return instance.param.name; });

TEST_F(KeyValueClientTest, TransactionHappensOnlyIfTheComparisonHolds)
{
    KeyValueClient client(m_loop.base(), settings());
    const auto write = [&](StoreRevision expected, const std::string &value) {
        return await<WriteResult>([&](auto done) {
            client.transact({{{"head", expected}}, {{"head", value}, {"copy", value}}, {}}, done);
        });
    };
    const auto first = write(0, "one");
    EXPECT_EQ(first.outcome, CallOutcome::Done);
    const auto second = write(0, "two");
    EXPECT_EQ(second.outcome, CallOutcome::Conflict);
    ASSERT_EQ(second.current.size(), 1U);
    EXPECT_EQ(second.current.front().value, "one");
    EXPECT_EQ(second.current.front().modRevision, first.revision);
    EXPECT_EQ(write(first.revision, "three").outcome, CallOutcome::Done);
    const auto all = await<RangeResult>([&](auto done) { client.range({.key = "c", .rangeEnd = prefixRangeEnd("h")}, done); });
    ASSERT_EQ(all.values.size(), 2U);
    EXPECT_EQ(all.values.front().value, "three");
}

TEST_F(KeyValueClientTest, UnreachableEndpointIsPassedOver)
{
    constexpr std::uint16_t NobodyListens = 1;
    auto both = settings();
    both.endpoints.insert(both.endpoints.begin(), {Host, NobodyListens});
    KeyValueClient client(m_loop.base(), both);
    EXPECT_EQ(put(client, "key", "value").outcome, CallOutcome::Done);
    KeyValueClient lost(m_loop.base(), {.endpoints = {{Host, NobodyListens}}, .callTimeout = CallTimeout});
    EXPECT_EQ(put(lost, "key", "value").outcome, CallOutcome::NoEffect);
}

TEST_F(KeyValueClientTest, LapsedLeaseTakesItsKeysAndIsToldSo)
{
    KeyValueClient client(m_loop.base(), settings());
    const auto lease = await<LeaseResult>([&](auto done) { client.grantLease(std::chrono::seconds(0), done); });
    EXPECT_EQ(lease.outcome, CallOutcome::Done);
    await<WriteResult>([&](auto done) { client.put({"key", "value", lease.lease}, done); });
    const auto kept = await<LeaseResult>([&](auto done) { client.keepLeaseAlive(lease.lease, done); });
    EXPECT_EQ(kept.outcome, CallOutcome::Done);
    EXPECT_EQ(kept.timeToLive, std::chrono::seconds(0));
    EXPECT_TRUE(range(client, "key").values.empty());
}

TEST_F(KeyValueClientTest, WatchDeliversChangesAndTellsItsEnd)
{
    KeyValueClient client(m_loop.base(), settings());
    std::vector<std::string> values;
    bool ended = false;
    client.watch({.key = "key"},
                 {.delivered =
                      [&](const WatchEvents &delivered) {
                          for (const auto &event : delivered.events) {
                              values.push_back(event.deleted ? "deleted" : event.value.value);
                          }
                      },
                  .ended =
                      [&](const std::string &) {
                          ended = true;
                      }});
    while (m_standin.watching() == 0) {
        event_base_loop(m_loop.base(), EVLOOP_ONCE);
    }
    put(client, "key", "one");
    put(client, "other", "two");
    await<WriteResult>([&](auto done) { client.transact({{}, {}, {{"key"}}}, done); });
    while (values.size() < 2) {
        event_base_loop(m_loop.base(), EVLOOP_ONCE);
    }
    EXPECT_EQ(values, (std::vector<std::string>{"one", "deleted"}));
    EXPECT_EQ(m_standin.calls().at("watch"), 1);
    m_standin.disconnectWatches();
    while (!ended) {
        event_base_loop(m_loop.base(), EVLOOP_ONCE);
    }
}

} // namespace Sycamoremoor
