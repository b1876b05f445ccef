// That a probe tells a process that has ended from one that listens.
#include "loop_func.h"

#include <sycamoremoor/net/connect_probe.h>
#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/net/http_exchange.h>
#include <sycamoremoor/net/http_server.h>

#include <gtest/gtest.h>

#include <memory>
#include <optional>

namespace Sycamoremoor
{

namespace
{

std::optional<ProbeResult> probe(EventLoop &loop, const Endpoint &endpoint)
{
    std::optional<ProbeResult> result;
    ConnectProbe connecting(loop, endpoint, std::chrono::milliseconds(200), [&result](ProbeResult probed) { result = probed; });
    EXPECT_FALSE(result.has_value()) << "the hook must not be called by the constructor";
    EXPECT_TRUE(runUntil(loop, [&result] { return result.has_value(); }));
    return result;
}

} // namespace

TEST(ConnectProbeTest, AListenerAccepts)
{
    EventLoop loop;
    const HttpServer server(loop, {"127.0.0.1", 0}, {}, [](const HttpExchangePointer & /*exchange*/) {});
    EXPECT_EQ(probe(loop, server.endpoint()), ProbeResult::Accepted);
}

TEST(ConnectProbeTest, AProcessThatHasEndedRefuses)
{
    EventLoop loop;
    auto server = std::make_unique<HttpServer>(
        loop, Endpoint{"127.0.0.1", 0}, HttpServerSettings{}, [](const HttpExchangePointer & /*exchange*/) {});
    const auto endpoint = server->endpoint();
    server.reset();
    EXPECT_EQ(probe(loop, endpoint), ProbeResult::Refused);
}

TEST(ConnectProbeTest, WhatIsNoAddressTellsNothing)
{
    EventLoop loop;
    EXPECT_EQ(probe(loop, {"nowhere", 80}), ProbeResult::Unanswered);
}

} // namespace Sycamoremoor
