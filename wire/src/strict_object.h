// Reads the fields of one JSON object that a caller sent, within limits, and refuses fields it was not asked for.
#pragma once

#include <sycamoremoor/wire/decode_error_type.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Sycamoremoor
{

/** One object of a caller's body. The first error is kept, later reads return defaults. */
class StrictObject
{
public:
    using Json = nlohmann::json;
    using Error = std::optional<DecodeError>;

    /**
     * @param json outlives this; strings are moved out of it
     * @param path names the object in errors, "" for the body itself
     * @param error shared by all objects of one body
     */
    StrictObject(Json &json, std::string path, Error &error);

    /** Returns the string @p name of at most @p maxBytes, or "" if it is missing and not @p required. */
    std::string text(std::string_view name, std::size_t maxBytes, bool required);

    /** Returns the whole number @p name from @p least to @p most, or @p missing if it is not there. */
    std::int64_t whole(std::string_view name, std::int64_t least, std::int64_t most, std::int64_t missing);

    /** Returns thousandths of the number @p name, which may have a fraction, from 0 to @p most thousandths. */
    std::int64_t thousandths(std::string_view name, std::int64_t most, std::int64_t missing);

    /** Returns the truth value @p name, or @p missing if it is not there. */
    bool flag(std::string_view name, bool missing);

    /** Returns the array @p name, or nullptr after an error. */
    Json *array(std::string_view name);

    /** Sets an error if the object has a field that was not read. */
    void refuseOthers();

private:
    Json *find(std::string_view name);
    void fail(std::string_view name, const std::string &text, ErrorKind kind);

    Json &m_json;
    std::string m_path;
    Error &m_error;
    std::vector<std::string_view> m_known;
};

} // namespace Sycamoremoor
