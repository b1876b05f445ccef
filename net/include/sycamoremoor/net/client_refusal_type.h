// Why a server refuses a client or closes its connection.
#pragma once

namespace Sycamoremoor
{

/** Why a server refused a request or closed a connection. */
enum class ClientRefusal {
    MalformedHead,      ///< answered 400: the head is malformed or longer than the limit
    TooManyFields,      ///< answered 431: the head has more fields than the limit
    LargeBody,          ///< answered 413: the body is larger than the limit
    SlowRequest,        ///< answered 408: the request was not whole in time
    TooManyBytes,       ///< closed: the connections held too much together
    TooManyConnections, ///< closed: there were too many connections
    NoDescriptor,       ///< not accepted: the process has no descriptor left
    End,
};

} // namespace Sycamoremoor
