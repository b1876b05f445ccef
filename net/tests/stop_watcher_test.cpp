// When a stopping process ends: not before the answers to what it has read.
#include "loop_func.h"
#include "raw_client.h"

#include <sycamoremoor/net/http_exchange.h>
#include <sycamoremoor/net/http_server.h>
#include <sycamoremoor/net/stop_watcher.h>

#include <gtest/gtest.h>

#include <string>

namespace Sycamoremoor
{

using std::chrono::milliseconds;

TEST(StopWatcherTest, WaitsForTheAnswerToARequestThatCameInTheQuietTime)
{
    EventLoop loop;
    HttpExchangePointer open;
    HttpServer server(loop, {"127.0.0.1", 0}, {}, [&open](const HttpExchangePointer &exchange) { open = exchange; });
    StopWatcher watcher(loop, server);
    bool isStopped = false;
    watcher.signalStopped().connect([&isStopped](std::uint32_t /*cutOff*/) { isStopped = true; });
    watcher.machineStopped(0);
    runFor(loop, milliseconds(250)); // its quiet time is almost over
    const RawClient client(server.endpoint());
    client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil(loop, [&open] { return open != nullptr; }));
    runFor(loop, milliseconds(600));
    EXPECT_FALSE(isStopped);
    open->reply({200, "served"});
    open.reset();
    ASSERT_TRUE(runUntil(loop, [&isStopped] { return isStopped; }));
    std::string received;
    client.poll(received);
    EXPECT_NE(received.find("served"), std::string::npos);
}

} // namespace Sycamoremoor
