// Number of members of a plain struct, to tell whether a codec has forgotten one.
#pragma once

#include <cstddef>
#include <utility>

namespace Sycamoremoor
{

/** Converts to anything in an unevaluated context. */
struct AnyMember {
    std::size_t position;
    template<typename T>
    operator T() const; // NOLINT(google-explicit-constructor)
};

template<typename T, std::size_t... Position>
constexpr bool takesMembers(std::index_sequence<Position...> /*positions*/)
{
    return requires
    {
        T{AnyMember{Position}...};
    };
}

/** Returns how many members the aggregate @p T has. */
template<typename T, std::size_t Count = 0>
constexpr std::size_t aggregateArity()
{
    if constexpr (takesMembers<T>(std::make_index_sequence<Count + 1>())) {
        return aggregateArity<T, Count + 1>();
    } else {
        return Count;
    }
}

} // namespace Sycamoremoor
