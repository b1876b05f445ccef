// Lookup of queues by host and path.
#include <sycamoremoor/core/queue_type.h>

#include <algorithm>
#include <optional>

namespace Sycamoremoor
{

namespace
{

constexpr std::size_t TripletLength = 3; ///< of a percent sign and two hexadecimal digits

char smallLetter(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

std::optional<unsigned> hexDigit(char character)
{
    const char small = smallLetter(character);
    if (small >= '0' && small <= '9') {
        return static_cast<unsigned>(small - '0');
    }
    return small >= 'a' && small <= 'f' ? std::optional(static_cast<unsigned>(small - 'a') + 10U) : std::nullopt;
}

/** Returns the byte that the percent-encoded triplet at the start of @p text stands for, or nothing if there is none. */
std::optional<char> tripletAt(std::string_view text)
{
    if (text.size() < TripletLength || text[0] != '%') {
        return std::nullopt;
    }
    const auto high = hexDigit(text[1]);
    const auto low = hexDigit(text[2]);
    return high && low ? std::optional(static_cast<char>(*high * 16U + *low)) : std::nullopt;
}

} // namespace

std::string normalizedHost(std::string_view host)
{
    const auto afterAddress = host.starts_with('[') ? host.find(']') : 0; // an IPv6 address has colons of its own
    if (afterAddress != std::string_view::npos) {
        host = host.substr(0, host.find(':', afterAddress));
    }
    if (host.ends_with('.')) {
        host.remove_suffix(1);
    }
    std::string normalized(host);
    std::ranges::transform(normalized, normalized.begin(), smallLetter);
    return normalized;
}

std::string normalizedPath(std::string_view path)
{
    std::string normalized;
    normalized.reserve(path.size());
    while (!path.empty()) {
        const auto encoded = tripletAt(path);
        const char byte = encoded.value_or(path.front());
        path.remove_prefix(encoded ? TripletLength : 1);
        if (byte == '%') {
            normalized += "%25";
        } else if (encoded && byte == '/') {
            normalized += "%2F";
        } else {
            normalized += byte;
        }
    }
    return normalized;
}

QueueRecordPointer findQueue(const QueueSetPointer &set, std::string_view host, std::string_view path)
{
    const QueueRecord *found = nullptr;
    for (const auto &queue : set->queues) {
        const bool matches = queue.host == host && path.starts_with(queue.prefix);
        if (matches && (found == nullptr || queue.prefix.size() > found->prefix.size())) {
            found = &queue;
        }
    }
    return found == nullptr ? nullptr : QueueRecordPointer(set, found);
}

} // namespace Sycamoremoor
