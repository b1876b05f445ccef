// Lexical helpers for JSON text: string literals and nesting.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace Sycamoremoor
{

/** Depth of objects and arrays that decoders accept. */
inline constexpr std::size_t MaxJsonDepth = 16;

/** Appends @p text as a JSON string literal; bytes that are no UTF-8 become U+FFFD. */
void appendJsonString(std::string &out, std::string_view text);

/** Tells whether objects and arrays in @p json nest no deeper than @p depth. */
bool nestsWithin(std::string_view json, std::size_t depth);

} // namespace Sycamoremoor
