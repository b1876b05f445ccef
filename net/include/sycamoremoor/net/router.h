// Hands requests to the handler of their path.
#pragma once

#include <sycamoremoor/net/http_server.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Sycamoremoor
{

class MetricRegistry;

/** One request on its way to a handler. */
struct RoutedRequest {
    HttpExchangePointer exchange;
    std::string requestId;  ///< the caller's, or a new one
    std::string pathSuffix; ///< what follows a prefix path
};

/** A table of paths. Answers what no handler takes by the rows of the error table. */
class Router
{
public:
    using Handler = std::function<void(const RoutedRequest &)>;

    /** @param randomBits makes request ids for callers that sent none */
    Router(MetricRegistry &metrics, std::function<std::uint64_t()> randomBits);

    /** Adds the handler of a method and path; a path that ends in "/" takes every path that it begins. */
    void add(RequestMethod method, std::string_view path, Handler handler);

    /** Hands on a request. */
    void route(const HttpExchangePointer &exchange);

private:
    struct Route {
        std::map<RequestMethod, Handler> handlers;
    };

    const Route *find(const std::string &path, std::string &suffix, std::string_view &name) const;
    std::string requestIdOf(const ServerRequest &request);

    MetricRegistry &m_metrics;
    std::function<std::uint64_t()> m_randomBits;
    std::map<std::string, Route, std::less<>> m_routes;
};

/** Answers an exchange with an error. */
void replyError(const RoutedRequest &request, ErrorKind error, std::string_view detail);

} // namespace Sycamoremoor
