// HTTP calls of the command line.
#include "http_caller.h"

#include "event_loop.h"

#include <event2/event.h>

#include <utility>

namespace Sycamoremoor
{

HttpCaller::HttpCaller(event_base *base)
    : m_base(base)
    , m_reaper(evtimer_new(base, &HttpCaller::reap, this))
{
}

HttpCaller::~HttpCaller()
{
    event_free(m_reaper);
}

void HttpCaller::call(const Endpoint &endpoint, const HttpRequest &request, Duration timeout, std::function<void(HttpReply)> done)
{
    std::unique_ptr<HttpConnection> connection;
    if (auto &idle = m_idle[endpoint]; !idle.empty()) {
        connection = std::move(idle.back());
        idle.pop_back();
    } else {
        connection = std::make_unique<HttpConnection>(m_base, endpoint);
    }
    auto *raw = connection.get();
    m_busy[raw] = std::move(connection);
    auto ended = [this, raw, done = std::move(done)](HttpReply reply) {
        release(raw, reply.status != 0);
        done(std::move(reply));
    };
    raw->send(request, timeout, {.ended = std::move(ended), .chunk = {}});
}

void HttpCaller::release(HttpConnection *connection, bool reusable)
{
    auto node = m_busy.extract(connection);
    if (reusable) {
        m_idle[connection->endpoint()].push_back(std::move(node.mapped()));
        return;
    }
    m_retired.push_back(std::move(node.mapped()));
    const timeval now{};
    evtimer_add(m_reaper, &now);
}

void HttpCaller::reap(int /*socket*/, short /*what*/, void *self)
{
    static_cast<HttpCaller *>(self)->m_retired.clear();
}

std::vector<HttpReply> callAll(const std::vector<Endpoint> &endpoints, const HttpRequest &request, Duration timeout)
{
    EventLoop loop;
    HttpCaller caller(loop.base());
    std::vector<HttpReply> replies(endpoints.size());
    std::size_t open = endpoints.size();
    for (std::size_t index = 0; index < endpoints.size(); ++index) {
        caller.call(endpoints[index], request, timeout, [&replies, &open, index](HttpReply reply) {
            replies[index] = std::move(reply);
            --open;
        });
    }
    loop.runWhile([&open] { return open > 0; });
    return replies;
}

HttpReply callOne(const Endpoint &endpoint, const HttpRequest &request, Duration timeout)
{
    return callAll({endpoint}, request, timeout).front();
}

} // namespace Sycamoremoor
