// Crowds of clients outside the limits.
#pragma once

#include "door_type.h"

#include <cstddef>
#include <functional>
#include <span>
#include <string>

namespace Sycamoremoor
{

/** One kind of crowd. */
struct CrowdKind {
    const char *name;
    std::size_t connections;
    std::function<std::string(Door)> bytes; ///< what each connection sends
    std::size_t memoryBound;                ///< by how much the most resident memory may grow
};

/** Returns all kinds. */
std::span<const CrowdKind> crowds();

/** Returns the text of objects in an array, which takes some thirty times its length when it is parsed into a tree. */
std::string wideJson(std::size_t bytes);

/** Returns a whole request at @p door whose body is @p body. */
std::string requestWithBody(Door door, const std::string &body);

} // namespace Sycamoremoor
