// Reads the fields of one JSON object that a caller sent, within limits, and refuses fields it was not asked for.
#include "strict_object.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr double ThousandthsPerWhole = 1000;
constexpr std::size_t MaxNameInError = 64;

std::string range(std::int64_t least, std::int64_t most)
{
    return "must be a whole number from " + std::to_string(least) + " to " + std::to_string(most);
}

} // namespace

StrictObject::StrictObject(Json &json, std::string path, Error &error)
    : m_json(json)
    , m_path(std::move(path))
    , m_error(error)
{
    if (!m_json.is_object()) {
        fail("", "must be an object", ErrorKind::MalformedBody);
    }
}

std::string StrictObject::text(std::string_view name, std::size_t maxBytes, bool required)
{
    auto *found = find(name);
    if (found == nullptr) {
        if (required) {
            fail(name, "is missing", ErrorKind::MalformedBody);
        }
        return {};
    }
    if (!found->is_string()) {
        fail(name, "must be a string", ErrorKind::MalformedBody);
        return {};
    }
    auto &text = found->get_ref<std::string &>();
    if (text.size() > maxBytes || (required && text.empty())) {
        fail(name,
             std::string("must have ") + (required ? "1" : "0") + " to " + std::to_string(maxBytes) + " bytes",
             ErrorKind::InvalidValue);
        return {};
    }
    return std::move(text);
}

std::int64_t StrictObject::whole(std::string_view name, std::int64_t least, std::int64_t most, std::int64_t missing)
{
    auto *found = find(name);
    if (found == nullptr) {
        return missing;
    }
    if (!found->is_number()) {
        fail(name, range(least, most), ErrorKind::MalformedBody);
        return missing;
    }
    const bool fits = found->is_number_unsigned() ? std::cmp_less_equal(found->get<std::uint64_t>(), most) : found->is_number_integer();
    if (const auto value = fits ? found->get<std::int64_t>() : least; fits && value >= least && value <= most) {
        return value;
    }
    fail(name, range(least, most), ErrorKind::InvalidValue);
    return missing;
}

std::int64_t StrictObject::thousandths(std::string_view name, std::int64_t most, std::int64_t missing)
{
    auto *found = find(name);
    if (found == nullptr) {
        return missing;
    }
    const std::string allowed = "must be a number from 0 to " + std::to_string(most / static_cast<std::int64_t>(ThousandthsPerWhole));
    if (!found->is_number()) {
        fail(name, allowed, ErrorKind::MalformedBody);
        return missing;
    }
    const double value = found->get<double>() * ThousandthsPerWhole;
    if (!(value >= 0 && value <= static_cast<double>(most))) {
        fail(name, allowed, ErrorKind::InvalidValue);
        return missing;
    }
    return std::llround(value);
}

bool StrictObject::flag(std::string_view name, bool missing)
{
    auto *found = find(name);
    if (found == nullptr) {
        return missing;
    }
    if (!found->is_boolean()) {
        fail(name, "must be true or false", ErrorKind::MalformedBody);
        return missing;
    }
    return found->get<bool>();
}

StrictObject::Json *StrictObject::array(std::string_view name)
{
    auto *found = find(name);
    if (found == nullptr || !found->is_array()) {
        fail(name, found == nullptr ? "is missing" : "must be an array", ErrorKind::MalformedBody);
        return nullptr;
    }
    return found;
}

void StrictObject::refuseOthers()
{
    if (m_error) {
        return;
    }
    for (const auto &[name, value] : m_json.items()) {
        if (std::ranges::find(m_known, name) == m_known.end()) {
            fail(name.substr(0, MaxNameInError), "is not known", ErrorKind::UnknownField);
            return;
        }
    }
}

StrictObject::Json *StrictObject::find(std::string_view name)
{
    m_known.push_back(name);
    if (m_error) {
        return nullptr;
    }
    const auto found = m_json.find(name);
    return found == m_json.end() ? nullptr : &*found;
}

void StrictObject::fail(std::string_view name, const std::string &text, ErrorKind kind)
{
    if (m_error) {
        return;
    }
    std::string field = m_path;
    if (!field.empty() && !name.empty()) {
        field += '.';
    }
    field += name;
    m_error = DecodeError{kind, (field.empty() ? "the body" : field) + " " + text};
}

} // namespace Sycamoremoor
