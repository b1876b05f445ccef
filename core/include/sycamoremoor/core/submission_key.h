// Key of a submission, chosen by the caller: a UUID of version 7, which contains its creation time.
#pragma once

#include <sycamoremoor/core/time_type.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Sycamoremoor
{

/** A UUID of version 7 (RFC 9562): 48 bits of Unix milliseconds, then random bits. */
class SubmissionKey
{
public:
    constexpr SubmissionKey() = default;

    constexpr SubmissionKey(std::uint64_t high, std::uint64_t low)
        : m_high(high)
        , m_low(low)
    {
    }

    /**
     * Creates a key.
     * @param created when the submission was made
     * @param entropyHigh, entropyLow 128 random bits, of which 74 are used
     */
    static SubmissionKey create(WallTime created, std::uint64_t entropyHigh, std::uint64_t entropyLow);

    /** Parses the usual form of 36 characters. @return nothing if @p text is not a UUID of version 7 */
    static std::optional<SubmissionKey> fromString(std::string_view text);

    /** Returns the usual form, 36 characters in lower case. */
    [[nodiscard]] std::string toString() const;

    /** Returns the creation time by the caller's clock, with a resolution of one millisecond. */
    [[nodiscard]] WallTime created() const;

    [[nodiscard]] constexpr std::uint64_t high() const
    {
        return m_high;
    }

    [[nodiscard]] constexpr std::uint64_t low() const
    {
        return m_low;
    }

    friend auto operator<=>(const SubmissionKey &, const SubmissionKey &) = default;

private:
    std::uint64_t m_high = 0;
    std::uint64_t m_low = 0;
};

} // namespace Sycamoremoor

template<>
struct std::hash<Sycamoremoor::SubmissionKey> {
    std::size_t operator()(const Sycamoremoor::SubmissionKey &key) const noexcept
    {
        return static_cast<std::size_t>(key.high() ^ (key.low() * 0x9E3779B97F4A7C15ULL));
    }
};
