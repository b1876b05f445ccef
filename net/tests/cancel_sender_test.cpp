// How a cancellation reaches guards, and from them the scheduler that has the job.
#include "loop_func.h"

#include <sycamoremoor/net/cancel_sender.h>
#include <sycamoremoor/net/clock_func.h>
#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/net/guard_server.h>
#include <sycamoremoor/net/http_client.h>
#include <sycamoremoor/net/http_exchange.h>
#include <sycamoremoor/net/http_server.h>
#include <sycamoremoor/net/metric_registry.h>
#include <sycamoremoor/net/room_watcher.h>
#include <sycamoremoor/wire/message_codec.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Sycamoremoor
{

using std::chrono::milliseconds;

namespace
{

/** A guard that answers as told, and what it was told. */
struct FakeGuard {
    explicit FakeGuard(EventLoop &loop)
        : server(loop, {"127.0.0.1", 0}, {}, [this](const HttpExchangePointer &exchange) {
            JobCancellation cancellation;
            ASSERT_FALSE(decode(exchange->request().body, cancellation));
            told.push_back(cancellation.jobs);
            if (isSilent) {
                held.push_back(exchange);
            } else {
                exchange->reply({status, encode(JobCancellationReply{stopped}), "application/json", {}});
            }
        })
    {
    }

    std::vector<std::vector<QueueJobId>> told; ///< by request
    std::vector<QueueJobId> stopped;
    std::vector<HttpExchangePointer> held;
    int status = 200;
    bool isSilent = false;
    HttpServer server;
};

class CancelSenderTest : public testing::Test
{
protected:
    CancelSenderTest()
    {
        m_sender.signalInput().connect([this](const SchedulerInput &input) { m_results.push_back(std::get<CancelSpread>(input)); });
    }

    FakeGuard &addGuard(bool hasContact)
    {
        m_fakes.push_back(std::make_unique<FakeGuard>(m_loop));
        m_guards[AgentName("W" + std::to_string(m_fakes.size()))] = {m_fakes.back()->server.endpoint(), hasContact};
        return *m_fakes.back();
    }

    EventLoop m_loop;
    MetricRegistry m_metrics;
    HttpClient m_client{m_loop};
    std::vector<std::unique_ptr<FakeGuard>> m_fakes;
    KnownGuards m_guards;
    std::vector<CancelSpread> m_results;
    CancelSender m_sender{m_loop, m_client, m_metrics, [this] {
                              return m_guards;
                          }};
};

} // namespace

TEST_F(CancelSenderTest, ABurstReachesEachGuardInOneMessage)
{
    constexpr int Jobs = 300;
    auto &first = addGuard(true);
    auto &second = addGuard(true);
    second.stopped = {QueueJobId("job-7")};
    for (int job = 0; job < Jobs; ++job) {
        m_sender.carryOut(SpreadCancel{QueueJobId("job-" + std::to_string(job))});
    }
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_results.size() == Jobs; }));
    for (const auto *guard : {&first, &second}) {
        ASSERT_EQ(guard->told.size(), 1U);
        EXPECT_EQ(guard->told.front().size(), static_cast<std::size_t>(Jobs));
    }
    for (const auto &result : m_results) {
        EXPECT_TRUE(result.isConfirmed);
        EXPECT_EQ(result.hadRuns, result.job == QueueJobId("job-7"));
    }
}

TEST_F(CancelSenderTest, JobsThatAreCancelledWhileAMessageIsOpenLeaveTogetherInTheNext)
{
    auto &guard = addGuard(true);
    guard.isSilent = true;
    m_sender.carryOut(SpreadCancel{QueueJobId("first")});
    ASSERT_TRUE(runUntil(m_loop, [&guard] { return guard.told.size() == 1; }));
    guard.isSilent = false;
    for (const auto *job : {"second", "third"}) {
        m_sender.carryOut(SpreadCancel{QueueJobId(job)});
        runFor(m_loop, milliseconds(5));
    }
    guard.held.front()->reply({200, encode(JobCancellationReply{}), "application/json", {}});
    ASSERT_TRUE(runUntil(m_loop, [this] { return m_results.size() == 3; }));
    ASSERT_EQ(guard.told.size(), 2U);
    EXPECT_EQ(guard.told.back(), (std::vector{QueueJobId("second"), QueueJobId("third")}));
}

// Guards against a cancellation that is acknowledged although a guard with contact has not heard of it.
TEST_F(CancelSenderTest, AGuardThatDoesNotConfirmIsToldAgainAndTheCancellationIsNotConfirmed)
{
    addGuard(true);
    auto &silent = addGuard(true);
    silent.status = 503;
    m_sender.carryOut(SpreadCancel{QueueJobId("job")});
    ASSERT_TRUE(runUntil(m_loop, [this] { return !m_results.empty(); }));
    EXPECT_FALSE(m_results.front().isConfirmed);
    EXPECT_GE(silent.told.size(), 2U);
    silent.status = 200;
    const auto before = silent.told.size();
    ASSERT_TRUE(runUntil(m_loop, [&] { return silent.told.size() > before; })) << "it is told after the answer, too";
    runFor(m_loop, milliseconds(400));
    EXPECT_EQ(silent.told.size(), before + 1) << "it has confirmed";
    EXPECT_EQ(m_results.size(), 1U);
}

TEST_F(CancelSenderTest, AGuardWithoutContactIsToldAndNotWaitedFor)
{
    addGuard(true);
    auto &gone = addGuard(false);
    gone.isSilent = true;
    m_sender.carryOut(SpreadCancel{QueueJobId("job")});
    ASSERT_TRUE(runUntil(m_loop, [this] { return !m_results.empty(); }));
    EXPECT_TRUE(m_results.front().isConfirmed);
    EXPECT_TRUE(runUntil(m_loop, [&gone] { return gone.told.size() >= 2; }));
}

TEST_F(CancelSenderTest, WithoutContactTheFirstGuardThatAnswersConfirms)
{
    addGuard(false).isSilent = true;
    addGuard(false);
    m_sender.carryOut(SpreadCancel{QueueJobId("job")});
    ASSERT_TRUE(runUntil(m_loop, [this] { return !m_results.empty(); }));
    EXPECT_TRUE(m_results.front().isConfirmed);
}

TEST_F(CancelSenderTest, WithoutGuardsNothingIsConfirmed)
{
    m_sender.carryOut(SpreadCancel{QueueJobId("job")});
    ASSERT_TRUE(runUntil(m_loop, [this] { return !m_results.empty(); }));
    EXPECT_FALSE(m_results.front().isConfirmed);
}

// Guards against a scheduler that has the job and is not told that it was cancelled at another one.
TEST(CancelPathTest, EachSchedulerThatFollowsAGuardIsToldOnceAlsoIfItConnectsSoonAfterwards)
{
    EventLoop loop;
    MetricRegistry metrics;
    HttpClient client(loop);
    struct Guard {
        Guard(EventLoop &loop, MetricRegistry &metrics)
            : router(metrics, [] { return std::uint64_t{1}; })
            , http(loop, {"127.0.0.1", 0}, {}, [this](const HttpExchangePointer &exchange) { router.route(exchange); })
            , server(loop, router, metrics)
        {
            server.signalInput().connect([this](const GuardInput &input) {
                if (const auto *cancelled = std::get_if<JobsCancelled>(&input)) {
                    server.carryOut(CancellationTaken{
                        cancelled->connection, cancelled->jobs, cancelled->jobs, monotonicNow() + std::chrono::seconds(5)});
                }
            });
        }

        Router router;
        HttpServer http;
        GuardServer server;
    };
    Guard one(loop, metrics);
    Guard two(loop, metrics);
    const GuardSubset::Guards listed{{AgentName("A"), AgentRecord{AgentName("A"), one.http.endpoint(), ZoneName("z")}},
                                     {AgentName("B"), AgentRecord{AgentName("B"), two.http.endpoint(), ZoneName("z")}}};
    struct Scheduler {
        Scheduler(EventLoop &loop, HttpClient &client, const std::string &name, const GuardSubset::Guards &guards)
            : rooms(loop,
                    client,
                    EntryName(name),
                    GuardSubset(EntryName(name), ZoneName("z"), GuardSubset::DefaultSize),
                    {[] { return Duration(milliseconds(4)); },
                     [](const AgentName & /*agent*/) { return false; },
                     [] {
                         return false;
                     }})
        {
            rooms.signalInput().connect([this](const SchedulerInput &input) {
                if (const auto *cancelled = std::get_if<JobsCancelledElsewhere>(&input)) {
                    told.push_back(cancelled->jobs);
                }
            });
            rooms.setGuards(guards);
        }

        [[nodiscard]] bool followsAll() const
        {
            const auto guards = rooms.guards();
            return guards.size() == 2 && std::ranges::all_of(guards, [](const auto &item) { return item.second.hasContact; });
        }

        RoomWatcher rooms;
        std::vector<std::vector<QueueJobId>> told;
    };
    Scheduler canceller(loop, client, "S", listed);
    Scheduler owner(loop, client, "T", listed);
    ASSERT_TRUE(runUntil(loop, [&] { return canceller.followsAll() && owner.followsAll(); }));
    CancelSender sender(loop, client, metrics, [&canceller] { return canceller.rooms.guards(); });
    std::vector<CancelSpread> results;
    sender.signalInput().connect([&results](const SchedulerInput &input) { results.push_back(std::get<CancelSpread>(input)); });
    sender.carryOut(SpreadCancel{QueueJobId("job")});
    ASSERT_TRUE(runUntil(loop, [&] { return !owner.told.empty() && !results.empty(); }));
    EXPECT_TRUE(results.front().isConfirmed);
    EXPECT_TRUE(results.front().hadRuns);
    Scheduler late(loop, client, "U", listed);
    ASSERT_TRUE(runUntil(loop, [&late] { return !late.told.empty() && late.followsAll(); }));
    runFor(loop, milliseconds(50));
    const std::vector<std::vector<QueueJobId>> once{{QueueJobId("job")}};
    EXPECT_EQ(owner.told, once) << "both guards have passed it on";
    EXPECT_EQ(late.told, once);
}

} // namespace Sycamoremoor
