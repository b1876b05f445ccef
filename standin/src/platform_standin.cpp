// The platform stand-in: dispatch, faults, counts and watches.
#include "platform_standin.h"

#include "timer_func.h"

#include <event2/event.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Sycamoremoor
{

using Json = nlohmann::json;

namespace
{

constexpr int HttpOk = 200;
constexpr int HttpBadRequest = 400;
constexpr int HttpNotFound = 404;
constexpr int HttpTooManyRequests = 429;
constexpr timeval TickInterval{.tv_sec = 0, .tv_usec = 250'000};

const std::map<std::string, std::string, std::less<>> callKinds{
    {"/v3/kv/range", "range"},
    {"/v3/kv/put", "put"},
    {"/v3/kv/txn", "txn"},
    {"/v3/lease/grant", "lease_grant"},
    {"/v3/lease/keepalive", "lease_keepalive"},
    {"/v3/watch", "watch"},
};

std::string errorBody(int code, const std::string &message)
{
    return Json{{"code", code}, {"error", message}, {"message", message}}.dump();
}

} // namespace

PlatformStandin::PlatformStandin(event_base *base, const Endpoint &endpoint)
    : m_base(base)
    , m_ticker(event_new(base, -1, EV_PERSIST, &PlatformStandin::tick, this))
    , m_store([this](const auto &changes) { publish(changes); })
    , m_gateway(m_store)
    , m_server(base, endpoint, [this](const auto &exchange) { take(exchange); })
{
    event_add(m_ticker, &TickInterval);
}

PlatformStandin::~PlatformStandin()
{
    event_free(m_ticker);
    m_watches.clear(); // before the server frees their connections
    m_unanswered.clear();
}

std::uint16_t PlatformStandin::port() const
{
    return m_server.port();
}

PlatformFaults &PlatformStandin::faults()
{
    return m_faults;
}

const std::map<std::string, std::int64_t> &PlatformStandin::calls() const
{
    return m_calls;
}

std::size_t PlatformStandin::watching() const
{
    return m_watches.size();
}

void PlatformStandin::disconnectWatches()
{
    m_watches.clear();
}

void PlatformStandin::tick(int /*socket*/, short /*what*/, void *self)
{
    auto *standin = static_cast<PlatformStandin *>(self);
    standin->m_store.expireLeases(monotonicNow());
    if (!standin->m_faults.silent) {
        standin->m_unanswered.clear();
        standin->publish({}); // tells progress, and finds watches whose other end is gone
    }
}

void PlatformStandin::take(const HttpExchangePointer &exchange)
{
    if (exchange->path().starts_with("/control")) {
        control(exchange);
    } else {
        call(exchange);
    }
}

void PlatformStandin::control(const HttpExchangePointer &exchange)
{
    if (exchange->path() == "/control/calls") {
        Json json(m_calls);
        json["watching"] = m_watches.size();
        exchange->reply(HttpOk, json.dump());
        return;
    }
    const auto json = Json::parse(exchange->body(), nullptr, false);
    if (!json.is_object()) {
        exchange->reply(HttpBadRequest, errorBody(3, "not an object"));
        return;
    }
    m_faults.down = json.value("down", m_faults.down);
    m_faults.silent = json.value("silent", m_faults.silent);
    m_faults.delay
        = std::chrono::milliseconds(json.value("delay_ms", std::chrono::duration_cast<std::chrono::milliseconds>(m_faults.delay).count()));
    m_faults.ratePerSecond = json.value("rate_limit", m_faults.ratePerSecond);
    m_faults.loseAnswers = json.value("lose_answers", m_faults.loseAnswers);
    if (m_faults.down) {
        disconnectWatches();
    }
    exchange->reply(HttpOk, "{}");
}

void PlatformStandin::call(const HttpExchangePointer &exchange)
{
    const auto kind = callKinds.find(exchange->path());
    if (kind == callKinds.end()) {
        exchange->reply(HttpNotFound, errorBody(5, "not found"));
        return;
    }
    ++m_calls[kind->second];
    if (m_faults.delay > Duration::zero()) {
        callAfter(m_base, m_faults.delay, [this, exchange] { carryOut(exchange); });
    } else {
        carryOut(exchange);
    }
}

void PlatformStandin::carryOut(const HttpExchangePointer &exchange)
{
    if (m_faults.down) {
        return; // dropping the exchange closes its connection
    }
    if (m_faults.silent) {
        m_unanswered.push_back(exchange);
        return;
    }
    if (isOverRate()) {
        ++m_calls["refused"];
        exchange->reply(HttpTooManyRequests, errorBody(8, "etcdserver: too many requests"));
        return;
    }
    const auto &kind = callKinds.at(exchange->path());
    try {
        if (kind == "watch") {
            startWatch(exchange);
            return;
        }
        const auto before = m_store.revision();
        const auto answer = execute(kind, exchange->body());
        if (m_store.revision() != before && m_faults.loseAnswers > 0) {
            --m_faults.loseAnswers;
            return;
        }
        exchange->reply(HttpOk, answer);
    } catch (const std::exception &error) {
        exchange->reply(HttpBadRequest, errorBody(3, error.what()));
    }
}

std::string PlatformStandin::execute(const std::string &kind, const std::string &body)
{
    const auto request = Json::parse(body);
    if (kind == "range") {
        return m_gateway.range(request);
    }
    if (kind == "put") {
        return m_gateway.put(request);
    }
    if (kind == "txn") {
        return m_gateway.transact(request);
    }
    if (kind == "lease_grant") {
        return m_gateway.grantLease(request, monotonicNow());
    }
    return m_gateway.keepAlive(request, monotonicNow());
}

void PlatformStandin::startWatch(const HttpExchangePointer &exchange)
{
    const auto request = GatewayService::watchRequest(Json::parse(exchange->body()));
    exchange->startStream();
    exchange->sendChunk(m_gateway.watchLine(request, {}, true));
    if (request.startRevision > 0) {
        exchange->sendChunk(m_gateway.watchLine(request, m_store.changesSince(request.startRevision), false));
    }
    m_watches.push_back({exchange, request});
}

void PlatformStandin::publish(const std::vector<StoreChange> &changes)
{
    if (m_faults.silent) {
        return;
    }
    const auto isGone = [this, &changes](const Watch &watch) {
        return !watch.exchange->sendChunk(m_gateway.watchLine(watch.request, changes, false));
    };
    m_watches.erase(std::remove_if(m_watches.begin(), m_watches.end(), isGone), m_watches.end());
}

bool PlatformStandin::isOverRate()
{
    if (m_faults.ratePerSecond == 0) {
        return false;
    }
    if (const auto now = monotonicNow(); now - m_second >= std::chrono::seconds(1)) {
        m_second = now;
        m_callsInSecond = 0;
    }
    return ++m_callsInSecond > m_faults.ratePerSecond;
}

} // namespace Sycamoremoor
