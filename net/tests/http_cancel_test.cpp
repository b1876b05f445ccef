// Calls that are broken off while their answer streams in.
#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/net/http_client.h>
#include <sycamoremoor/net/http_exchange.h>
#include <sycamoremoor/net/http_server.h>

#include <gtest/gtest.h>

namespace Sycamoremoor
{

TEST(HttpCancelTest, NothingIsHeardOfACancelledCall)
{
    EventLoop loop;
    HttpServer server(loop, {"127.0.0.1", 0}, {}, [](const HttpExchangePointer &exchange) {
        exchange->stream("a");
        exchange->stream("b");
        exchange->endStream();
    });
    HttpClient client(loop);
    int parts = 0;
    CallNumber number = 0;
    ClientCall call;
    call.endpoint = server.endpoint();
    call.path = "/";
    call.received = [&](std::string_view) {
        ++parts;
        client.cancel(server.endpoint(), number);
    };
    number = client.send(std::move(call), [](const ClientResult &) { FAIL() << "the call was cancelled"; });
    Timer end(loop, [&loop] { loop.stop(); });
    end.start(std::chrono::milliseconds(100));
    loop.run();
    EXPECT_EQ(parts, 1);
}

} // namespace Sycamoremoor
