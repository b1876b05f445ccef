// Base64 of keys and values of stores.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Sycamoremoor
{

/** Returns @p bytes in standard base64 with padding. */
std::string toBase64(std::string_view bytes);

/** Reads standard base64 with padding; nothing if @p text is none. */
std::optional<std::string> fromBase64(std::string_view text);

} // namespace Sycamoremoor
