// Hands requests to the handler of their path.
#include <sycamoremoor/net/router.h>

#include <sycamoremoor/net/http_exchange.h>
#include <sycamoremoor/net/metric_registry.h>
#include <sycamoremoor/wire/caller_codec.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr std::size_t MaxRequestIdBytes = 64;
constexpr std::string_view UnknownPathName = "other";

bool isRequestIdCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' || character == '_' || character == '.';
}

bool isJson(const ServerRequest &request)
{
    constexpr std::string_view Json = "application/json";
    const auto found = request.headers.find(std::string(ContentTypeHeader));
    if (found == request.headers.end()) {
        return false;
    }
    const auto &type = found->second;
    return type.starts_with(Json) && (type.size() == Json.size() || type[Json.size()] == ';' || type[Json.size()] == ' ');
}

} // namespace

Router::Router(MetricRegistry &metrics, std::function<std::uint64_t()> randomBits)
    : m_metrics(metrics)
    , m_randomBits(std::move(randomBits))
{
}

void Router::add(RequestMethod method, std::string_view path, Handler handler)
{
    m_routes[std::string(path)].handlers[method] = std::move(handler);
}

void Router::route(const HttpExchangePointer &exchange)
{
    const auto &request = exchange->request();
    RoutedRequest routed{exchange, requestIdOf(request), ""};
    std::string_view name = UnknownPathName;
    const auto *route = find(request.path, routed.pathSuffix, name);
    m_metrics.addMessage(MessageDirection::In, name, request.body.size());
    if (route == nullptr) {
        replyError(routed, ErrorKind::NotFound, "no such path");
        return;
    }
    const auto handler = route->handlers.find(request.method);
    if (handler == route->handlers.end()) {
        replyError(routed, ErrorKind::MethodNotAllowed, "");
    } else if (request.method == RequestMethod::Post && !isJson(request)) {
        replyError(routed, ErrorKind::WrongContentType, "");
    } else {
        handler->second(routed);
    }
}

const Router::Route *Router::find(const std::string &path, std::string &suffix, std::string_view &name) const
{
    if (const auto exact = m_routes.find(path); exact != m_routes.end()) {
        name = exact->first;
        return &exact->second;
    }
    const auto slash = path.rfind('/');
    if (slash == std::string::npos) {
        return nullptr;
    }
    const auto prefix = m_routes.find(std::string_view(path).substr(0, slash + 1));
    if (prefix == m_routes.end()) {
        return nullptr;
    }
    name = prefix->first;
    suffix = path.substr(slash + 1);
    return &prefix->second;
}

std::string Router::requestIdOf(const ServerRequest &request)
{
    if (const auto found = request.headers.find(std::string(RequestIdHeader)); found != request.headers.end()) {
        const auto &id = found->second;
        if (!id.empty() && id.size() <= MaxRequestIdBytes && std::ranges::all_of(id, isRequestIdCharacter)) {
            return id;
        }
    }
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(m_randomBits()));
    return digits.data();
}

void replyError(const RoutedRequest &request, ErrorKind error, std::string_view detail)
{
    auto answer = encodeError(error, detail, request.requestId);
    ServerReply reply{answer.httpStatus, std::move(answer.body), "application/json", {}};
    reply.headers.emplace(RequestIdHeader, request.requestId);
    request.exchange->reply(reply);
}

} // namespace Sycamoremoor
