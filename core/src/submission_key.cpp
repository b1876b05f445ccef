// Key of a submission: creation, parsing and formatting.
#include <sycamoremoor/core/submission_key.h>

#include <array>
#include <cstdio>

namespace Sycamoremoor
{

namespace
{

constexpr std::uint64_t VersionMask = 0xF000;
constexpr std::uint64_t Version7 = 0x7000;
constexpr std::uint64_t VariantMask = 0xC000000000000000ULL;
constexpr std::uint64_t VariantRfc = 0x8000000000000000ULL;
constexpr unsigned TimestampShift = 16;
constexpr std::size_t TextLength = 36;

/** Returns the value of a hexadecimal digit, or nothing if @p digit is none. */
std::optional<std::uint64_t> hexValue(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return static_cast<std::uint64_t>(digit - '0');
    }
    if (digit >= 'a' && digit <= 'f') {
        return static_cast<std::uint64_t>(digit - 'a') + 10;
    }
    if (digit >= 'A' && digit <= 'F') {
        return static_cast<std::uint64_t>(digit - 'A') + 10;
    }
    return std::nullopt;
}

/** Returns whether the usual form has a dash at @p position. */
bool isDashPosition(std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

} // namespace

SubmissionKey SubmissionKey::create(WallTime created, std::uint64_t entropyHigh, std::uint64_t entropyLow)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(created.time_since_epoch()).count();
    const std::uint64_t high = (static_cast<std::uint64_t>(milliseconds) << TimestampShift) | Version7 | (entropyHigh & 0x0FFF);
    const std::uint64_t low = (entropyLow & ~VariantMask) | VariantRfc;
    return {high, low};
}

std::optional<SubmissionKey> SubmissionKey::fromString(std::string_view text)
{
    if (text.size() != TextLength) {
        return std::nullopt;
    }
    std::array<std::uint64_t, 2> halves{};
    std::size_t digits = 0;
    for (std::size_t position = 0; position < text.size(); ++position) {
        if (isDashPosition(position)) {
            if (text[position] != '-') {
                return std::nullopt;
            }
            continue;
        }
        const auto value = hexValue(text[position]);
        if (!value) {
            return std::nullopt;
        }
        auto &half = halves[digits / 16];
        half = (half << 4U) | *value;
        ++digits;
    }
    const auto [high, low] = halves;
    if ((high & VersionMask) != Version7 || (low & VariantMask) != VariantRfc) {
        return std::nullopt;
    }
    return SubmissionKey(high, low);
}

std::string SubmissionKey::toString() const
{
    std::array<char, TextLength + 1> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%08x-%04x-%04x-%04x-%012llx",
                  static_cast<unsigned>(m_high >> 32U),
                  static_cast<unsigned>((m_high >> 16U) & 0xFFFF),
                  static_cast<unsigned>(m_high & 0xFFFF),
                  static_cast<unsigned>(m_low >> 48U),
                  static_cast<unsigned long long>(m_low & 0xFFFFFFFFFFFFULL));
    return {text.data(), TextLength};
}

WallTime SubmissionKey::created() const
{
    return WallTime(std::chrono::milliseconds(m_high >> TimestampShift));
}

} // namespace Sycamoremoor
