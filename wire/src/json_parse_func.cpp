// Nesting of JSON text.
#include <sycamoremoor/wire/json_parse_func.h>

#include <functional>

namespace Sycamoremoor
{

namespace
{

/** Calls @p visit with the position of each bracket outside strings and the level that it opens or closes, the outermost being 1. */
void visitBrackets(std::string_view json, const std::function<bool(std::size_t position, std::size_t level, bool opens)> &visit)
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
            if (!visit(position, ++level, true)) {
                return;
            }
        } else if ((character == '}' || character == ']') && level > 0) {
            if (!visit(position, level--, false)) {
                return;
            }
        }
    }
}

} // namespace

bool nestsWithin(std::string_view json, std::size_t depth)
{
    bool within = true;
    visitBrackets(json, [&](std::size_t /*position*/, std::size_t level, bool /*opens*/) { return within = level <= depth; });
    return within;
}

std::string withoutDeepNesting(std::string_view json, std::size_t depth)
{
    std::string shallow;
    std::size_t kept = 0; // up to here the text is in the result or taken out
    visitBrackets(json, [&](std::size_t position, std::size_t level, bool opens) {
        if (level == depth + 1 && opens) {
            shallow.append(json.substr(kept, position - kept)).append("null");
            kept = json.size();
        } else if (level == depth + 1) {
            kept = position + 1;
        }
        return true;
    });
    return shallow.append(json.substr(kept));
}

bool isBoundedJson(std::string_view text)
{
    return text.size() <= MaxJsonBytes && nestsWithin(text, MaxJsonDepth);
}

} // namespace Sycamoremoor
