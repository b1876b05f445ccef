// A store that holds one configuration.
#include "store_stand_in.h"

#include <sycamoremoor/net/http_exchange.h>
#include <sycamoremoor/wire/base64_func.h>

#include <string>

namespace Sycamoremoor
{

StoreStandIn::StoreStandIn()
    : m_server(m_loop, {"127.0.0.1", 0}, {}, [this](const HttpExchangePointer &exchange) { answer(exchange); })
    , m_thread([this] { m_loop.run(); })
{
}

StoreStandIn::~StoreStandIn()
{
    m_loop.post([this] { m_loop.stop(); });
    m_thread.join();
    m_watches.clear();
}

const Endpoint &StoreStandIn::endpoint() const
{
    return m_server.endpoint();
}

void StoreStandIn::answer(const HttpExchangePointer &exchange)
{
    const auto &request = exchange->request();
    if (request.path == "/sycamoremoor/kv-watch") {
        m_watches.push_back(exchange); // nothing ever changes
        return;
    }
    std::string items;
    if (const auto prefix = request.parameters.find("prefix"); prefix != request.parameters.end() && prefix->second == "op/config") {
        // Jobs wait for workers, of which there are none, as long as their objective lets them.
        const std::string config = R"({"version":1,"routes":[{"name":"quick","host":"a.example","prefix":"/p/","service":"s","priority":0,)"
                                   R"("maxAttempts":3,"stretch":2,"targetLatencyMs":30000}]})";
        items = R"({"key":"op/config","revision":1,"value":")" + toBase64(config) + R"("})";
    }
    exchange->reply({200, R"({"currentRev":1,"morePages":false,"items":[)" + items + "]}"});
}

} // namespace Sycamoremoor
