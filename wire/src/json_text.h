// JSON string literals.
#pragma once

#include <string>
#include <string_view>

namespace Sycamoremoor
{

/** Appends @p text as a JSON string literal; bytes that are no UTF-8 become U+FFFD. */
void appendJsonString(std::string &out, std::string_view text);

} // namespace Sycamoremoor
