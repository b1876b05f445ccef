// Builds parsed JSON within a bound on its memory.
#pragma once

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstddef>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Sycamoremoor
{

/**
 * What a tree of JSON values takes in memory, in bytes, by estimate: of nlohmann::json 3.11 on 64-bit systems with blocks of the GNU C library.
 * The text of strings comes on top.
 */
namespace JsonTreeCost
{
inline constexpr std::size_t Value = 48; ///< in an array: 16 bytes, three times while the array moves to twice its room
inline constexpr std::size_t Container = 64;
inline constexpr std::size_t Member = 96; ///< a node of the map with its name and its value
inline constexpr std::size_t Text = 48;
} // namespace JsonTreeCost

/**
 * Takes the events of nlohmann::json::sax_parse() and builds the value, unless it takes too much memory. It may leave out members of the
 * outermost object.
 */
template<typename Json>
class JsonTreeBuilder
{
public:
    using number_integer_t = typename Json::number_integer_t;
    using number_unsigned_t = typename Json::number_unsigned_t;
    using number_float_t = typename Json::number_float_t;
    using string_t = typename Json::string_t;
    using binary_t = typename Json::binary_t;

    /**
     * @param maxBytes of memory that the value may take
     * @param members of the outermost object that are kept; all if empty
     */
    JsonTreeBuilder(std::size_t maxBytes, std::span<const std::string_view> members)
        : m_maxBytes(maxBytes)
        , m_members(members)
    {
    }

    /** Returns what was built; a discarded value before the text has ended. */
    [[nodiscard]] Json take()
    {
        return m_open.empty() ? std::move(m_root) : Json(Json::value_t::discarded);
    }

    // The library calls these by their names. Each returns whether parsing goes on.
    // NOLINTBEGIN(readability-identifier-naming)

    bool null()
    {
        return add(Json(nullptr), 0);
    }

    bool boolean(bool value)
    {
        return add(Json(value), 0);
    }

    bool number_integer(number_integer_t value)
    {
        return add(Json(value), 0);
    }

    bool number_unsigned(number_unsigned_t value)
    {
        return add(Json(value), 0);
    }

    bool number_float(number_float_t value, const string_t & /*text*/)
    {
        return add(Json(value), 0);
    }

    bool string(string_t &value)
    {
        const auto bytes = JsonTreeCost::Text + value.size();
        return isLeftOut() ? add(Json(nullptr), 0) : add(Json(std::move(value)), bytes);
    }

    bool binary(binary_t & /*value*/)
    {
        return false; // no JSON text has any
    }

    bool start_object(std::size_t /*elements*/)
    {
        return open(Json::value_t::object);
    }

    bool key(string_t &name)
    {
        if (m_leftOutDepth > 0) {
            return true;
        }
        if (m_open.size() == 1 && !m_members.empty() && std::ranges::find(m_members, std::string_view(name)) == m_members.end()) {
            m_leavesOutNext = true;
            return true;
        }
        if (!spend(JsonTreeCost::Member + name.size())) {
            return false;
        }
        m_member = &(*m_open.back())[name];
        return true;
    }

    bool end_object()
    {
        return close();
    }

    bool start_array(std::size_t /*elements*/)
    {
        return open(Json::value_t::array);
    }

    bool end_array()
    {
        return close();
    }

    bool parse_error(std::size_t /*position*/, const std::string & /*token*/, const nlohmann::detail::exception & /*error*/)
    {
        return false;
    }
    // NOLINTEND(readability-identifier-naming)

private:
    [[nodiscard]] bool isLeftOut() const
    {
        return m_leavesOutNext || m_leftOutDepth > 0;
    }

    bool spend(std::size_t bytes)
    {
        m_bytes += bytes;
        return m_bytes <= m_maxBytes;
    }

    /** Adds @p value, which takes @p bytes besides its place. */
    bool add(Json value, std::size_t bytes)
    {
        if (isLeftOut()) {
            m_leavesOutNext = false;
            return true;
        }
        return place(std::move(value), bytes) != nullptr;
    }

    Json *place(Json value, std::size_t bytes)
    {
        const bool isElement = !m_open.empty() && m_open.back()->is_array();
        if (!spend(bytes + (isElement ? JsonTreeCost::Value : 0))) {
            return nullptr;
        }
        if (isElement) {
            m_open.back()->push_back(std::move(value));
            return &m_open.back()->back();
        }
        auto *place = m_open.empty() ? &m_root : m_member;
        *place = std::move(value);
        return place;
    }

    bool open(typename Json::value_t type)
    {
        if (isLeftOut()) {
            m_leavesOutNext = false;
            ++m_leftOutDepth;
            return true;
        }
        auto *container = place(Json(type), JsonTreeCost::Container);
        if (container != nullptr) {
            m_open.push_back(container);
        }
        return container != nullptr;
    }

    bool close()
    {
        if (m_leftOutDepth > 0) {
            --m_leftOutDepth;
        } else {
            m_open.pop_back();
        }
        return true;
    }

    std::size_t m_maxBytes;
    std::span<const std::string_view> m_members;
    std::size_t m_bytes = 0;
    Json m_root = Json(Json::value_t::discarded);
    std::vector<Json *> m_open;     ///< containers that are not closed; one grows only while it is the last, so that pointers stay valid
    Json *m_member = nullptr;       ///< where the value of the member goes whose name came last
    bool m_leavesOutNext = false;   ///< the next value belongs to a member that is not kept
    std::size_t m_leftOutDepth = 0; ///< open containers of such a member
};

} // namespace Sycamoremoor
