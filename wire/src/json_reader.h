// Reads described messages from a parsed JSON tree, moving strings out of it.
#pragma once

#include "describe_func.h"
#include "enum_name.h"

#include <sycamoremoor/core/strong_type.h>
#include <sycamoremoor/wire/decode_error_type.h>
#include <sycamoremoor/wire/text_codec.h>

#include <nlohmann/json.hpp>

#include <concepts>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace Sycamoremoor
{

/**
 * An archive that reads one JSON object. The first error ends the reading.
 *
 * Unknown fields are passed over, so that a newer process may add fields; missing ones are errors.
 */
class JsonReader
{
public:
    using Json = nlohmann::json;
    using Error = std::optional<DecodeError>;

    /**
     * Reads @p json into @p value.
     * @param path names @p json in errors
     * @param error set if @p json is not of the form of @p value
     */
    template<typename T>
    static void readObject(Json &json, T &value, const std::string &path, Error &error)
    {
        if (!json.is_object()) {
            fail(error, path, "must be an object");
            return;
        }
        JsonReader reader(json, path, error);
        describe(reader, value);
    }

    /** Reads a field that must be there. */
    template<typename T>
    void operator()(std::string_view name, T &value)
    {
        if (m_error) {
            return;
        }
        if (const auto found = m_object.find(name); found != m_object.end()) {
            m_field = name;
            read(*found, value);
        } else {
            m_field = name;
            failField("is missing");
        }
    }

    /** Reads a field that has its type's zero value when it is missing. */
    template<typename T>
    void optional(std::string_view name, T &value)
    {
        if (m_error) {
            return;
        }
        if (const auto found = m_object.find(name); found != m_object.end()) {
            m_field = name;
            read(*found, value);
        } else {
            value = T{};
        }
    }

private:
    JsonReader(Json &object, const std::string &path, Error &error)
        : m_object(object)
        , m_path(path)
        , m_error(error)
    {
    }

    static void fail(Error &error, const std::string &path, std::string_view text, ErrorKind kind = ErrorKind::MalformedBody)
    {
        if (!error) {
            error = DecodeError{kind, path + " " + std::string(text)};
        }
    }

    [[nodiscard]] std::string fieldPath() const
    {
        return m_path + "." + std::string(m_field);
    }

    void failField(std::string_view text, ErrorKind kind = ErrorKind::MalformedBody)
    {
        fail(m_error, fieldPath(), text, kind);
    }

    void read(Json &json, bool &value)
    {
        if (json.is_boolean()) {
            value = json.get<bool>();
        } else {
            failField("must be true or false");
        }
    }

    template<std::integral Number>
    void read(Json &json, Number &value)
    {
        if (json.is_number_unsigned()) {
            assign(json.get<std::uint64_t>(), value);
        } else if (json.is_number_integer()) {
            assign(json.get<std::int64_t>(), value);
        } else {
            failField("must be a whole number");
        }
    }

    template<std::integral From, std::integral To>
    void assign(From from, To &to)
    {
        if (std::in_range<To>(from)) {
            to = static_cast<To>(from);
        } else {
            failField("is out of range", ErrorKind::InvalidValue);
        }
    }

    void read(Json &json, std::string &value)
    {
        if (json.is_string()) {
            value = std::move(json.get_ref<std::string &>());
        } else {
            failField("must be a string");
        }
    }

    template<typename Enum>
    requires std::is_enum_v<Enum>
    void read(Json &json, Enum &value)
    {
        std::string name;
        read(json, name);
        readText(enumFromName<Enum>(name), value);
    }

    template<typename Tag, typename Value>
    void read(Json &json, StrongType<Tag, Value> &value)
    {
        Value representation{};
        read(json, representation);
        value = StrongType<Tag, Value>(std::move(representation));
    }

    template<typename Tag, typename Value>
    void read(Json &json, StrongAmount<Tag, Value> &value)
    {
        Value representation{};
        read(json, representation);
        if (std::cmp_less(representation, -MaxAmount) || std::cmp_greater(representation, MaxAmount)) {
            failField("is out of range", ErrorKind::InvalidValue);
            return;
        }
        value = StrongAmount<Tag, Value>(representation);
    }

    void read(Json &json, Duration &value)
    {
        Duration::rep count = 0;
        read(json, count);
        if (count < -MaxMicroseconds || count > MaxMicroseconds) {
            failField("is out of range", ErrorKind::InvalidValue);
            return;
        }
        value = Duration(count);
    }

    void read(Json &json, WallTime &value)
    {
        Duration sinceEpoch{};
        read(json, sinceEpoch);
        value = WallTime(sinceEpoch);
    }

    void read(Json &json, SubmissionKey &value)
    {
        std::string text;
        read(json, text);
        readText(text.empty() ? SubmissionKey() : SubmissionKey::fromString(text), value);
    }

    void read(Json &json, TaskId &value)
    {
        std::string text;
        read(json, text);
        readText(taskIdFromString(text), value);
    }

    void read(Json &json, Endpoint &value)
    {
        std::string text;
        read(json, text);
        const auto endpoint = text.empty() ? Endpoint{} : endpointFromString(text);
        readText(endpoint && !text.empty() && endpoint->port == 0 ? std::nullopt : endpoint, value);
    }

    template<typename T>
    void read(Json &json, std::vector<T> &values)
    {
        values.clear();
        if (!json.is_array()) {
            failField("must be an array");
            return;
        }
        values.reserve(json.size());
        for (auto &element : json) {
            read(element, values.emplace_back());
        }
    }

    template<typename Key, typename T>
    void read(Json &json, std::map<Key, T> &values)
    {
        std::vector<T> records;
        read(json, records);
        values.clear();
        for (auto &record : records) {
            auto name = record.name;
            values.emplace(std::move(name), std::move(record));
        }
    }

    template<typename T>
    void read(Json &json, std::shared_ptr<const T> &value)
    {
        value.reset();
        if (!json.is_null()) {
            auto content = std::make_shared<T>();
            read(json, *content);
            value = std::move(content);
        }
    }

    template<typename T>
    requires Describable<T, JsonReader>
    void read(Json &json, T &value)
    {
        const std::string path = fieldPath();
        readObject(json, value, path, m_error);
    }

    template<typename T>
    void readText(std::optional<T> parsed, T &value)
    {
        if (parsed) {
            value = std::move(*parsed);
        } else {
            failField("has an unknown value", ErrorKind::InvalidValue);
        }
    }

    static constexpr Duration::rep MaxMicroseconds = Duration::rep{1} << 53U; ///< some 285 years, so that sums cannot overflow
    static constexpr std::int64_t MaxAmount = std::int64_t{1} << 53U;         ///< so that sums cannot overflow

    Json &m_object;
    const std::string &m_path;
    std::string_view m_field;
    Error &m_error;
};

} // namespace Sycamoremoor
