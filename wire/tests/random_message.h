// Random messages for properties: fills every described field.
#pragma once

#include "describe_func.h"

#include <rapidcheck.h>

#include <concepts>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <type_traits>
#include <vector>

namespace Sycamoremoor
{

/** An archive that gives each field an arbitrary value and counts the fields. */
class RandomFiller
{
public:
    /** Returns a random message. */
    template<typename T>
    static T make()
    {
        T message;
        RandomFiller filler;
        describe(filler, message);
        return message;
    }

    template<typename T>
    void operator()(std::string_view name, T &value)
    {
        RC_ASSERT(!name.empty());
        ++m_fields;
        fill(value);
    }

    template<typename T>
    void optional(std::string_view name, T &value)
    {
        (*this)(name, value);
    }

    [[nodiscard]] std::size_t fields() const
    {
        return m_fields;
    }

private:
    static constexpr int MaxElements = 3;
    static constexpr Duration::rep MaxMicroseconds = Duration::rep{1} << 53U;
    static constexpr std::int64_t MaxAmount = std::int64_t{1} << 53U;

    static void fill(bool &value)
    {
        value = *rc::gen::arbitrary<bool>();
    }

    template<std::integral Number>
    static void fill(Number &value)
    {
        value = *rc::gen::arbitrary<Number>();
    }

    static void fill(std::string &value)
    {
        value = *rc::gen::element<std::string>(
            "", "plain", "\"quoted\" \\ / \n\r\t", std::string("\0\x01\x1f", 3), "Kožahlas", "🐄 {\"a\":[1]}");
    }

    template<typename Enum>
    requires std::is_enum_v<Enum>
    static void fill(Enum &value)
    {
        value = static_cast<Enum>(*rc::gen::inRange(0, static_cast<int>(Enum::End)));
    }

    template<typename Tag, typename Value>
    static void fill(StrongType<Tag, Value> &value)
    {
        Value representation{};
        fill(representation);
        value = StrongType<Tag, Value>(representation);
    }

    template<typename Tag, typename Value>
    static void fill(StrongAmount<Tag, Value> &value)
    {
        const auto least = std::is_signed_v<Value> ? -MaxAmount : 0;
        value = StrongAmount<Tag, Value>(static_cast<Value>(*rc::gen::inRange<std::int64_t>(least, MaxAmount + 1)));
    }

    static void fill(Duration &value)
    {
        value = Duration(*rc::gen::inRange<Duration::rep>(-MaxMicroseconds, MaxMicroseconds + 1));
    }

    static void fill(WallTime &value)
    {
        value = WallTime(Duration(*rc::gen::inRange<Duration::rep>(-MaxMicroseconds, MaxMicroseconds + 1)));
    }

    static void fill(SubmissionKey &value)
    {
        if (*rc::gen::inRange(0, 10) == 0) {
            value = SubmissionKey(); // answers to callers that named no key
            return;
        }
        const auto milliseconds = *rc::gen::inRange<std::int64_t>(0, std::int64_t{1} << 47U);
        value = SubmissionKey::create(
            WallTime(std::chrono::milliseconds(milliseconds)), *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>());
    }

    static void fill(TaskId &value)
    {
        value.submission = SubmissionKey::create(WallTime(), *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>());
        fill(value.index);
    }

    static void fill(Endpoint &value)
    {
        value = *rc::gen::element(Endpoint{}, Endpoint{"127.0.0.1", 1}, Endpoint{"::1", 65'535});
    }

    template<typename T>
    static void fill(std::vector<T> &values)
    {
        values.resize(static_cast<std::size_t>(*rc::gen::inRange(0, MaxElements)));
        for (auto &value : values) {
            fill(value);
        }
    }

    template<typename Key, typename T>
    static void fill(std::map<Key, T> &values)
    {
        std::vector<T> records;
        fill(records);
        for (const auto &record : records) {
            values.insert_or_assign(record.name, record);
        }
    }

    template<typename T>
    static void fill(std::shared_ptr<const T> &value)
    {
        if (*rc::gen::arbitrary<bool>()) {
            value = std::make_shared<const T>(make<T>());
        }
    }

    template<typename T>
    requires Describable<T, RandomFiller>
    static void fill(T &value)
    {
        value = make<T>();
    }

    std::size_t m_fields = 0;
};

} // namespace Sycamoremoor
