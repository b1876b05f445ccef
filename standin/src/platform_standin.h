// The platform stand-in: a store behind HTTP that can be told to fail.
#pragma once

#include "gateway_service.h"
#include "http_server.h"
#include "key_value_store.h"

#include <sycamoremoor/core/endpoint_type.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

struct event;
struct event_base;

namespace Sycamoremoor
{

/** What the stand-in was told to do wrong. */
struct PlatformFaults {
    bool down = false;              ///< connections are closed without an answer, and nothing has an effect
    bool silent = false;            ///< nothing is answered, and nothing has an effect
    Duration delay{};               ///< before each call is carried out
    std::int64_t ratePerSecond = 0; ///< further calls are refused; zero: no limit
    std::int64_t loseAnswers = 0;   ///< so many writes take effect and are not answered
};

/** Serves the subset of the gateway at one endpoint. Control: POST /control; counts: GET /control/calls. */
class PlatformStandin
{
public:
    PlatformStandin(event_base *base, const Endpoint &endpoint);
    ~PlatformStandin();

    PlatformStandin(const PlatformStandin &) = delete;
    PlatformStandin &operator=(const PlatformStandin &) = delete;

    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] PlatformFaults &faults();
    /** Returns how many calls of each kind came. */
    [[nodiscard]] const std::map<std::string, std::int64_t> &calls() const;
    /** Returns how many watches wait. */
    [[nodiscard]] std::size_t watching() const;
    /** Closes the connection of every watch. */
    void disconnectWatches();

private:
    struct Watch {
        HttpExchangePointer exchange;
        WatchRequest request;
    };

    static void tick(int socket, short what, void *self);
    void take(const HttpExchangePointer &exchange);
    void control(const HttpExchangePointer &exchange);
    void call(const HttpExchangePointer &exchange);
    void carryOut(const HttpExchangePointer &exchange);
    std::string execute(const std::string &kind, const std::string &body);
    void startWatch(const HttpExchangePointer &exchange);
    void publish(const std::vector<StoreChange> &changes);
    bool isOverRate();

    event_base *m_base;
    event *m_ticker;
    KeyValueStore m_store;
    GatewayService m_gateway;
    PlatformFaults m_faults;
    std::map<std::string, std::int64_t> m_calls;
    std::vector<Watch> m_watches;
    std::vector<HttpExchangePointer> m_unanswered;
    MonotonicTime m_second;
    std::int64_t m_callsInSecond = 0;
    HttpServer m_server;
};

} // namespace Sycamoremoor
