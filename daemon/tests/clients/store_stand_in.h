// A store that holds one configuration.
#pragma once

#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/net/http_server.h>

#include <thread>
#include <vector>

namespace Sycamoremoor
{

/** Answers as the platform's store does that holds one configuration, on a thread of its own. */
class StoreStandIn
{
public:
    StoreStandIn();
    ~StoreStandIn();

    StoreStandIn(const StoreStandIn &) = delete;
    StoreStandIn &operator=(const StoreStandIn &) = delete;

    [[nodiscard]] const Endpoint &endpoint() const;

private:
    void answer(const HttpExchangePointer &exchange);

    EventLoop m_loop;
    std::vector<HttpExchangePointer> m_watches;
    HttpServer m_server;
    std::thread m_thread;
};

} // namespace Sycamoremoor
