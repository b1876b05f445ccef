// Network address of a process.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Sycamoremoor
{

/** An IP address and a TCP port. */
struct Endpoint {
    std::string host; ///< IPv4 or IPv6 address, never a host name
    std::uint16_t port = 0;

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

} // namespace Sycamoremoor
