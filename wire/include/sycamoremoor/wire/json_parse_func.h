// The only way in which this program parses JSON that others wrote.
#pragma once

#include <sycamoremoor/wire/json_tree_builder.h>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace Sycamoremoor
{

/** Depth of objects and arrays that is accepted: copies and dumps of a value recurse, and ours nest less than half as deep. */
inline constexpr std::size_t MaxJsonDepth = 16;

/** Length in bytes that is accepted: that of the longest body that servers take. */
inline constexpr std::size_t MaxJsonBytes = std::size_t{16} << 20U;

/**
 * Memory in bytes that the values of a text may take, by estimate. No text of 262,144 bytes, the platform's limit for a caller's body, takes as
 * much: the worst, an array of empty objects, takes 37 times its length.
 */
inline constexpr std::size_t MaxJsonTreeBytes = std::size_t{32} << 20U;

/** Tells whether objects and arrays in @p json nest no deeper than @p depth. */
[[nodiscard]] bool nestsWithin(std::string_view json, std::size_t depth);

/**
 * Returns @p json with null in place of each object and array that is nested deeper than @p depth, for records that may hold
 * fields which the reader does not know. What is taken out is not checked.
 */
[[nodiscard]] std::string withoutDeepNesting(std::string_view json, std::size_t depth);

/** Tells whether @p text may be parsed: it is not too long and nests not too deep. */
[[nodiscard]] bool isBoundedJson(std::string_view text);

/**
 * Returns @p text parsed; a discarded value if it is no JSON, too long, nests too deep or takes too much memory. Of a text that does, no
 * more is built than MaxJsonTreeBytes.
 * @param members of the outermost object that are kept; all if empty
 */
template<typename Json = nlohmann::json>
[[nodiscard]] Json parseJson(std::string_view text, std::span<const std::string_view> members = {})
{
    if (!isBoundedJson(text)) {
        return Json(Json::value_t::discarded);
    }
    JsonTreeBuilder<Json> builder(MaxJsonTreeBytes, members);
    return Json::sax_parse(text, &builder) ? builder.take() : Json(Json::value_t::discarded);
}

} // namespace Sycamoremoor
