// Text forms of addresses and task ids.
#include <sycamoremoor/wire/text_codec.h>

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <concepts>

namespace Sycamoremoor
{

namespace
{

/** Reads the whole of @p text as a decimal number, or nothing. */
template<std::unsigned_integral Number>
std::optional<Number> readNumber(std::string_view text)
{
    Number number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

bool isAddress(int family, const std::string &host)
{
    std::array<unsigned char, sizeof(in6_addr)> address{};
    return inet_pton(family, host.c_str(), address.data()) == 1;
}

} // namespace

std::string endpointToString(const Endpoint &endpoint)
{
    const bool isIpv6 = endpoint.host.find(':') != std::string::npos;
    const std::string host = isIpv6 ? "[" + endpoint.host + "]" : endpoint.host;
    return host + ":" + std::to_string(endpoint.port);
}

std::optional<Endpoint> endpointFromString(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto port = readNumber<std::uint16_t>(text.substr(colon + 1));
    auto host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    if (!port || !isAddress(bracketed ? AF_INET6 : AF_INET, std::string(host))) {
        return std::nullopt;
    }
    return Endpoint{std::string(host), *port};
}

std::string taskIdToString(const TaskId &task)
{
    return task.submission.toString() + "." + std::to_string(task.index.value());
}

std::optional<TaskId> taskIdFromString(std::string_view text)
{
    const auto dot = text.find('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const auto key = SubmissionKey::fromString(text.substr(0, dot));
    const auto index = readNumber<std::uint32_t>(text.substr(dot + 1));
    if (!key || !index) {
        return std::nullopt;
    }
    return TaskId{*key, TaskIndex(*index)};
}

} // namespace Sycamoremoor
