// HTTP calls of the command line: many at once, each with its hook.
#pragma once

#include <sycamoremoor/gateway/http_connection.h>

#include <functional>
#include <map>
#include <memory>
#include <vector>

struct event;
struct event_base;

namespace Sycamoremoor
{

/** Sends requests over as many connections as are needed, and keeps idle ones for later. */
class HttpCaller
{
public:
    explicit HttpCaller(event_base *base);
    ~HttpCaller();

    HttpCaller(const HttpCaller &) = delete;
    HttpCaller &operator=(const HttpCaller &) = delete;

    /** Sends @p request; @p done is called once from the event loop. */
    void call(const Endpoint &endpoint, const HttpRequest &request, Duration timeout, std::function<void(HttpReply)> done);

private:
    static void reap(int socket, short what, void *self);
    void release(HttpConnection *connection, bool reusable);

    event_base *m_base;
    event *m_reaper;
    std::map<Endpoint, std::vector<std::unique_ptr<HttpConnection>>> m_idle;
    std::map<HttpConnection *, std::unique_ptr<HttpConnection>> m_busy;
    std::vector<std::unique_ptr<HttpConnection>> m_retired; ///< freed once their hooks returned
};

/** Sends one request to each endpoint at once and waits for all. @return replies in the order of @p endpoints */
std::vector<HttpReply> callAll(const std::vector<Endpoint> &endpoints, const HttpRequest &request, Duration timeout);

/** Sends one request and waits. */
HttpReply callOne(const Endpoint &endpoint, const HttpRequest &request, Duration timeout);

} // namespace Sycamoremoor
