// Writes described messages as JSON text, straight into a string.
#pragma once

#include "describe_func.h"
#include "enum_name.h"
#include "json_text.h"

#include <sycamoremoor/core/strong_type.h>
#include <sycamoremoor/wire/text_codec.h>

#include <array>
#include <charconv>
#include <concepts>
#include <map>
#include <memory>
#include <string>
#include <type_traits>
#include <vector>

namespace Sycamoremoor
{

/** An archive that appends one JSON object. Messages are copied once, into the text. */
class JsonWriter
{
public:
    explicit JsonWriter(std::string &out)
        : m_out(out)
    {
    }

    /** Appends @p value as a JSON object. */
    template<typename T>
    static void writeObject(std::string &out, const T &value)
    {
        out += '{';
        JsonWriter writer(out);
        describe(writer, value);
        out += '}';
    }

    /** Appends a field. */
    template<typename T>
    void operator()(std::string_view name, const T &value)
    {
        if (!m_first) {
            m_out += ',';
        }
        m_first = false;
        m_out += '"';
        m_out += name;
        m_out += "\":";
        write(value);
    }

    /** Appends a field unless it has its type's zero value. */
    template<typename T>
    void optional(std::string_view name, const T &value)
    {
        if (!(value == T{})) {
            (*this)(name, value);
        }
    }

private:
    void write(bool value)
    {
        m_out += value ? "true" : "false";
    }

    template<std::integral Number>
    void write(Number value)
    {
        std::array<char, 24> digits{};
        const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), value);
        m_out.append(digits.data(), end);
    }

    void write(const std::string &value)
    {
        appendJsonString(m_out, value);
    }

    template<typename Enum>
    requires std::is_enum_v<Enum>
    void write(Enum value)
    {
        appendJsonString(m_out, enumName(value));
    }

    template<typename Tag, typename Value>
    void write(const StrongType<Tag, Value> &value)
    {
        write(value.value());
    }

    void write(Duration value)
    {
        write(value.count());
    }

    void write(WallTime value)
    {
        write(value.time_since_epoch().count());
    }

    void write(const SubmissionKey &value)
    {
        write(value == SubmissionKey() ? std::string() : value.toString());
    }

    void write(const TaskId &value)
    {
        write(taskIdToString(value));
    }

    void write(const Endpoint &value)
    {
        write(value.port == 0 ? std::string() : endpointToString(value));
    }

    template<typename T>
    void write(const std::vector<T> &values)
    {
        writeArray(values, [this](const T &value) { write(value); });
    }

    template<typename Key, typename T>
    void write(const std::map<Key, T> &values)
    {
        writeArray(values, [this](const auto &entry) { write(entry.second); });
    }

    template<typename T>
    void write(const std::shared_ptr<const T> &value)
    {
        if (value) {
            write(*value);
        } else {
            m_out += "null";
        }
    }

    template<typename T>
    requires Describable<T, JsonWriter>
    void write(const T &value)
    {
        writeObject(m_out, value);
    }

    template<typename Range, typename WriteElement>
    void writeArray(const Range &values, const WriteElement &writeElement)
    {
        m_out += '[';
        bool first = true;
        for (const auto &value : values) {
            if (!first) {
                m_out += ',';
            }
            first = false;
            writeElement(value);
        }
        m_out += ']';
    }

    std::string &m_out;
    bool m_first = true;
};

} // namespace Sycamoremoor
