// Requests and replies of HTTP, and the limits of servers and calls.
#pragma once

#include <sycamoremoor/core/endpoint_type.h>
#include <sycamoremoor/core/entry_input_type.h>
#include <sycamoremoor/core/time_type.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Sycamoremoor
{

/** Methods that are told apart. */
enum class RequestMethod {
    Get,
    Post,
    Put,
    Delete,
    Other,
    End,
};

/** A request as the server received it, whole. */
struct ServerRequest {
    RequestMethod method = RequestMethod::Other;
    std::string path;                              ///< decoded, without the query
    std::string sentPath;                          ///< as it was sent, percent-encoded, without the query
    std::map<std::string, std::string> parameters; ///< of the query, decoded
    std::map<std::string, std::string> headers;    ///< those in ReadHeaders that were sent, by their name there
    std::string body;
};

/** Names of the request headers that are passed on. */
inline constexpr std::string_view ContentTypeHeader = "Content-Type";
inline constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";
inline constexpr std::string_view RequestIdHeader = "X-Request-Id";
inline constexpr std::string_view HostHeader = "Host";
inline constexpr std::string_view DeadlineHeader = "X-Deadline-Ms";

/** What a server answers. */
struct ServerReply {
    int status = 200;
    std::string body;
    std::string_view contentType = "application/json";
    std::map<std::string, std::string> headers;
};

/** Limits of a server. */
struct HttpServerSettings {
    std::size_t maxBodyBytes = std::size_t{16} << 20U;           ///< larger bodies are answered 413 by the library
    std::size_t maxHeaderBytes = std::size_t{16} << 10U;         ///< of all headers of one request
    std::size_t maxHeaderFields = 4'096;                         ///< of one request; as many as 16 KiB hold at four bytes each
    std::size_t maxHeldBytes = std::size_t{256} << 20U;          ///< of all connections together, see docs/design/client-limits.md
    std::size_t maxSocketBytes = std::size_t{256} << 20U;        ///< in the sockets of all connections, in each direction
    std::size_t maxConnections = 16'384;                         ///< more are accepted only in place of idle ones
    Duration receiveLimit = std::chrono::seconds(10);            ///< from the first byte of a request to its last
    Duration unacknowledgedLimit = std::chrono::seconds(4);      ///< connections whose bytes are not acknowledged are closed
    std::chrono::seconds quietLimit = std::chrono::seconds(120); ///< connections without a byte either way are closed
};

/** A request to another process. */
struct ClientCall {
    Endpoint endpoint;
    RequestMethod method = RequestMethod::Post;
    std::string path;
    std::string body;
    std::map<std::string, std::string> headers;      ///< besides those that every request has
    Duration timeLimit = std::chrono::seconds(5);    ///< until the whole answer is there
    Duration connectLimit = std::chrono::seconds(1); ///< until the first byte of the request could be sent
    bool newConnection = false;                      ///< do not use one that has been used before
    std::function<void(std::string_view)> received;  ///< takes the body in parts as it comes; else it is gathered
};

/** How a call ended. */
struct ClientResult {
    bool answered = false;                 ///< the whole answer came
    int status = 0;                        ///< when answered
    std::string body;                      ///< when answered and not taken in parts
    Delivery delivery = Delivery::Unknown; ///< when not answered: whether the request may have arrived
    bool disconnected = false;             ///< when not answered: the other end closed or reset the connection after the request had left
};

} // namespace Sycamoremoor
