// JSON string literals.
#include "json_text.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>

namespace Sycamoremoor
{

namespace
{

constexpr unsigned char FirstPrintable = 0x20;
constexpr unsigned char FirstNonAscii = 0x80;

/** Appends the escape of a character that cannot stand for itself. */
void appendEscape(std::string &out, char character)
{
    switch (character) {
    case '"':
        out += "\\\"";
        return;
    case '\\':
        out += "\\\\";
        return;
    case '\n':
        out += "\\n";
        return;
    case '\r':
        out += "\\r";
        return;
    case '\t':
        out += "\\t";
        return;
    default:
        break;
    }
    std::array<char, 8> escape{};
    std::snprintf(escape.data(), escape.size(), "\\u%04x", static_cast<unsigned>(static_cast<unsigned char>(character)));
    out += escape.data();
}

bool needsEscape(char character)
{
    return static_cast<unsigned char>(character) < FirstPrintable || character == '"' || character == '\\';
}

bool isAscii(std::string_view text)
{
    for (const char character : text) {
        if (static_cast<unsigned char>(character) >= FirstNonAscii) {
            return false;
        }
    }
    return true;
}

} // namespace

void appendJsonString(std::string &out, std::string_view text)
{
    if (!isAscii(text)) {
        out += nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        return;
    }
    out += '"';
    std::size_t plainBegin = 0;
    for (std::size_t position = 0; position < text.size(); ++position) {
        if (needsEscape(text[position])) {
            out.append(text, plainBegin, position - plainBegin);
            appendEscape(out, text[position]);
            plainBegin = position + 1;
        }
    }
    out.append(text, plainBegin);
    out += '"';
}

} // namespace Sycamoremoor
