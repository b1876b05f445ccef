// Network address of a process.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Sycamoremoor
{

/** An IP number and a TCP port. */
struct Endpoint {
    std::string host; ///< IPv4 or IPv6 number, never a name
    std::uint16_t port = 0;

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

} // namespace Sycamoremoor
