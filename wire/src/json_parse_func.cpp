// Nesting of JSON text.
#include <sycamoremoor/wire/json_parse_func.h>

namespace Sycamoremoor
{

bool nestsWithin(std::string_view json, std::size_t depth)
{
    std::size_t level = 0;
    bool inString = false;
    for (std::size_t position = 0; position < json.size(); ++position) {
        const char character = json[position];
        if (inString) {
            if (character == '\\') {
                ++position;
            } else if (character == '"') {
                inString = false;
            }
        } else if (character == '"') {
            inString = true;
        } else if (character == '{' || character == '[') {
            if (++level > depth) {
                return false;
            }
        } else if ((character == '}' || character == ']') && level > 0) {
            --level;
        }
    }
    return true;
}

bool isBoundedJson(std::string_view text)
{
    return text.size() <= MaxJsonBytes && nestsWithin(text, MaxJsonDepth);
}

} // namespace Sycamoremoor
