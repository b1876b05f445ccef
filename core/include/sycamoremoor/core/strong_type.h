// Strong types: distinct types for values of the same representation.
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace Sycamoremoor
{

/**
 * Wraps a value of type @p Value; all conversions from and to @p Value are explicit.
 *
 * @tparam Tag an empty type that makes each strong type distinct
 * @tparam Value the representation
 */
template<typename Tag, typename Value>
class StrongType
{
public:
    using ValueType = Value;

    constexpr StrongType() = default;

    explicit constexpr StrongType(Value value)
        : m_value(std::move(value))
    {
    }

    /** Returns the representation. */
    [[nodiscard]] constexpr const Value &value() const
    {
        return m_value;
    }

    friend auto operator<=>(const StrongType &, const StrongType &) = default;
    friend bool operator==(const StrongType &, const StrongType &) = default;

private:
    Value m_value{};
};

/** A strong type for an amount of one unit, with addition and subtraction. */
template<typename Tag, typename Value>
class StrongAmount : public StrongType<Tag, Value>
{
public:
    using StrongType<Tag, Value>::StrongType;

    constexpr StrongAmount &operator+=(const StrongAmount &other)
    {
        *this = StrongAmount(this->value() + other.value());
        return *this;
    }

    constexpr StrongAmount &operator-=(const StrongAmount &other)
    {
        *this = StrongAmount(this->value() - other.value());
        return *this;
    }

    friend constexpr StrongAmount operator+(StrongAmount left, const StrongAmount &right)
    {
        left += right;
        return left;
    }

    friend constexpr StrongAmount operator-(StrongAmount left, const StrongAmount &right)
    {
        left -= right;
        return left;
    }
};

} // namespace Sycamoremoor

template<typename Tag, typename Value>
struct std::hash<Sycamoremoor::StrongType<Tag, Value>> {
    std::size_t operator()(const Sycamoremoor::StrongType<Tag, Value> &strong) const noexcept
    {
        return std::hash<Value>{}(strong.value());
    }
};
