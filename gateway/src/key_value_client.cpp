// Calls over a pool of connections: each call on one connection at a time, each watch on its own.
#include <sycamoremoor/gateway/key_value_client.h>

#include "gateway_codec.h"
#include "watch_stream.h"
#include <sycamoremoor/gateway/http_connection.h>
#include <sycamoremoor/wire/http_status.h>

#include <event2/event.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <utility>

namespace Sycamoremoor
{

namespace
{

/** One call until it ends. */
struct Call {
    std::string path;
    std::string body;
    bool changesState = false;
    std::size_t attemptsLeft = 1;
    std::function<void(HttpReply)> ended;
};

using CallPointer = std::shared_ptr<Call>;

/** Tells what a reply means for a call that is no success. */
CallOutcome failureOutcome(const HttpReply &reply, bool changesState)
{
    if (!changesState || !reply.mayHaveLeft) {
        return CallOutcome::NoEffect;
    }
    const auto refused = reply.status > HttpStatus::Ok && reply.status < HttpStatus::InternalServerError;
    return refused ? CallOutcome::NoEffect : CallOutcome::Unknown;
}

std::string failureText(const HttpReply &reply)
{
    if (reply.status == 0) {
        return reply.mayHaveLeft ? "no answer" : "not reachable";
    }
    return "status " + std::to_string(reply.status) + ": " + decodeError(reply.body);
}

} // namespace

class KeyValueClient::Private
{
public:
    Private(event_base *base, KeyValueSettings settings)
        : m_base(base)
        , m_settings(std::move(settings))
        , m_reaper(evtimer_new(base, &Private::reap, this))
    {
    }

    ~Private()
    {
        event_free(m_reaper);
    }

    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    /** Carries out a call and turns its reply into a result of type @p Result. */
    template<typename Result>
    void call(
        std::string path, std::string body, bool changesState, bool (*decode)(std::string_view, Result &), std::function<void(Result)> done)
    {
        auto ended = [changesState, decode, done = std::move(done)](const HttpReply &reply) {
            Result result;
            if (reply.status != HttpStatus::Ok) {
                result.outcome = failureOutcome(reply, changesState);
                result.error = failureText(reply);
            } else if (result.outcome = CallOutcome::Done; !decode(reply.body, result)) {
                result = {};
                result.outcome = changesState ? CallOutcome::Unknown : CallOutcome::NoEffect;
                result.error = "the answer is not of the documented shape";
            }
            done(std::move(result));
        };
        auto call
            = std::make_shared<Call>(Call{std::move(path), std::move(body), changesState, m_settings.endpoints.size(), std::move(ended)});
        m_waiting.push_back(std::move(call));
        wake();
    }

    WatchId watch(const WatchCall &call, WatchHooks hooks)
    {
        const auto id = ++m_lastWatch;
        auto ended = [this, id, hook = std::move(hooks.ended)](const std::string &error) {
            retireWatch(id);
            if (hook) {
                hook(error);
            }
        };
        auto connection = std::make_unique<HttpConnection>(m_base, m_settings.endpoints.at(m_endpoint));
        auto &stream = m_watches[id];
        stream = std::make_unique<WatchStream>(std::move(connection), WatchHooks{std::move(hooks.delivered), std::move(ended)});
        stream->start(encodeWatch(call));
        return id;
    }

    void retireWatch(WatchId id)
    {
        if (const auto found = m_watches.find(id); found != m_watches.end()) {
            found->second->silence();
            m_retiredWatches.push_back(std::move(found->second));
            m_watches.erase(found);
            wake();
        }
    }

private:
    /** Frees what ended and starts what waits, from the event loop. */
    static void reap(int /*socket*/, short /*what*/, void *self)
    {
        auto *d = static_cast<Private *>(self);
        d->m_retired.clear();
        d->m_retiredWatches.clear();
        d->startWaiting();
    }

    void wake()
    {
        const timeval now{};
        evtimer_add(m_reaper, &now);
    }

    void startWaiting()
    {
        while (!m_waiting.empty() && m_busy.size() < m_settings.maxConnections) {
            const auto call = m_waiting.front();
            m_waiting.pop_front();
            attempt(call);
        }
    }

    void attempt(const CallPointer &call)
    {
        auto connection = takeConnection();
        auto *raw = connection.get();
        m_busy.push_back(std::move(connection));
        const auto timeout = m_settings.callTimeout / static_cast<std::int64_t>(m_settings.endpoints.size());
        --call->attemptsLeft;
        raw->send({.path = call->path, .body = call->body},
                  timeout,
                  {.ended = [this, raw, call](HttpReply reply) { attemptEnded(raw, call, std::move(reply)); }, .chunk = {}});
    }

    void attemptEnded(HttpConnection *connection, const CallPointer &call, HttpReply reply)
    {
        release(connection, reply.status != 0);
        wake();
        const auto failed = reply.status == 0 || reply.status >= HttpStatus::InternalServerError;
        if (failed && m_settings.endpoints.at(m_endpoint) == connection->endpoint()) {
            m_endpoint = (m_endpoint + 1) % m_settings.endpoints.size();
        }
        if (failed && call->attemptsLeft > 0 && (!call->changesState || !reply.mayHaveLeft)) {
            m_waiting.push_front(call);
            return;
        }
        call->ended(std::move(reply));
    }

    std::unique_ptr<HttpConnection> takeConnection()
    {
        const auto &endpoint = m_settings.endpoints.at(m_endpoint);
        const auto matches = [&endpoint](const auto &connection) {
            return connection->endpoint() == endpoint;
        };
        if (const auto found = std::find_if(m_idle.begin(), m_idle.end(), matches); found != m_idle.end()) {
            auto connection = std::move(*found);
            m_idle.erase(found);
            return connection;
        }
        return std::make_unique<HttpConnection>(m_base, endpoint);
    }

    /** Takes a connection out of use; it is freed only after its own hooks returned. */
    void release(HttpConnection *connection, bool reusable)
    {
        const auto found = std::find_if(m_busy.begin(), m_busy.end(), [connection](const auto &busy) { return busy.get() == connection; });
        (reusable ? m_idle : m_retired).push_back(std::move(*found));
        m_busy.erase(found);
    }

    event_base *m_base;
    KeyValueSettings m_settings;
    event *m_reaper;
    std::size_t m_endpoint = 0; ///< index of the endpoint in use
    std::deque<CallPointer> m_waiting;
    std::vector<std::unique_ptr<HttpConnection>> m_idle;
    std::vector<std::unique_ptr<HttpConnection>> m_busy;
    std::vector<std::unique_ptr<HttpConnection>> m_retired;
    WatchId m_lastWatch = 0;
    std::map<WatchId, std::unique_ptr<WatchStream>> m_watches;
    std::vector<std::unique_ptr<WatchStream>> m_retiredWatches;
};

KeyValueClient::KeyValueClient(event_base *base, KeyValueSettings settings)
    : d(std::make_unique<Private>(base, std::move(settings)))
{
}

KeyValueClient::~KeyValueClient() = default;

void KeyValueClient::range(const RangeCall &call, std::function<void(RangeResult)> done)
{
    d->call<RangeResult>("/v3/kv/range", encodeRange(call), false, decodeRange, std::move(done));
}

void KeyValueClient::put(const PutCall &call, std::function<void(WriteResult)> done)
{
    d->call<WriteResult>("/v3/kv/put", encodePut(call), true, decodePut, std::move(done));
}

void KeyValueClient::transact(const TransactionCall &call, std::function<void(WriteResult)> done)
{
    d->call<WriteResult>("/v3/kv/txn", encodeTransaction(call), true, decodeTransaction, std::move(done));
}

void KeyValueClient::grantLease(std::chrono::seconds timeToLive, std::function<void(LeaseResult)> done)
{
    d->call<LeaseResult>("/v3/lease/grant", encodeLeaseGrant(timeToLive), true, decodeLeaseGrant, std::move(done));
}

void KeyValueClient::keepLeaseAlive(LeaseId lease, std::function<void(LeaseResult)> done)
{
    d->call<LeaseResult>("/v3/lease/keepalive", encodeLeaseKeepAlive(lease), true, decodeLeaseKeepAlive, std::move(done));
}

WatchId KeyValueClient::watch(const WatchCall &call, WatchHooks hooks)
{
    return d->watch(call, std::move(hooks));
}

void KeyValueClient::cancelWatch(WatchId watch)
{
    d->retireWatch(watch);
}

} // namespace Sycamoremoor
