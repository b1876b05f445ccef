// Reading the values of settings. Each function returns whether the text is allowed.
#include "option_value_func.h"

#include <sycamoremoor/wire/text_codec.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace Sycamoremoor
{

namespace
{

constexpr std::size_t MaxNameBytes = 128;
constexpr std::int64_t MaxMilliseconds = 86'400'000;
constexpr std::int64_t MaxCores = 4'096;
constexpr std::int64_t MilliCoresPerCore = 1'000;

bool isNameCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '.' || character == '-' || character == '_';
}

constexpr std::array<const char *, static_cast<std::size_t>(DaemonRole::End)> RoleNames{"", "entry", "agent", "scheduler", "guard"};

} // namespace

const char *roleName(DaemonRole role)
{
    return RoleNames.at(static_cast<std::size_t>(role));
}

bool readRole(const std::string &text, DaemonRole &role)
{
    const auto found = std::find(RoleNames.begin() + 1, RoleNames.end(), text);
    if (found == RoleNames.end()) {
        return false;
    }
    role = static_cast<DaemonRole>(found - RoleNames.begin());
    return true;
}

bool readShedding(const std::string &text, SheddingMode &shedding)
{
    constexpr std::array Names{std::pair{"latest-start", SheddingMode::LatestStart}, std::pair{"value", SheddingMode::Value}};
    const auto *const found = std::ranges::find(Names, text, [](const auto &item) { return std::string_view(item.first); });
    if (found == Names.end()) {
        return false;
    }
    shedding = found->second;
    return true;
}

bool readName(const std::string &text, std::string &name)
{
    name = text;
    return !text.empty() && text.size() <= MaxNameBytes && std::ranges::all_of(text, isNameCharacter);
}

bool readEndpoint(const std::string &text, Endpoint &endpoint)
{
    return assignIf(endpointFromString(text), endpoint);
}

bool readEndpoints(const std::string &text, std::vector<Endpoint> &endpoints)
{
    endpoints.clear();
    std::size_t begin = 0;
    while (begin <= text.size()) {
        const auto end = std::min(text.find(',', begin), text.size());
        if (!readEndpoint(text.substr(begin, end - begin), endpoints.emplace_back())) {
            return false;
        }
        begin = end + 1;
    }
    return true;
}

bool readDuration(const std::string &text, Duration &duration)
{
    const auto milliseconds = readWhole(text, 1, MaxMilliseconds);
    if (milliseconds) {
        duration = std::chrono::milliseconds(*milliseconds);
    }
    return milliseconds.has_value();
}

bool readDurationFrom(Duration least, const std::string &text, Duration &duration)
{
    Duration read{};
    const bool isAllowed = readDuration(text, read) && read >= least;
    if (isAllowed) {
        duration = read;
    }
    return isAllowed;
}

bool readCount(const std::string &text, std::int64_t least, std::int64_t most, std::size_t &count)
{
    const auto value = readWhole(text, least, most);
    if (value) {
        count = static_cast<std::size_t>(*value);
    }
    return value.has_value();
}

bool readCores(const std::string &text, MilliCores &cores)
{
    const auto count = readWhole(text, 1, MaxCores);
    if (count) {
        cores = MilliCores(*count * MilliCoresPerCore);
    }
    return count.has_value();
}

std::optional<std::int64_t> readWhole(const std::string &text, std::int64_t least, std::int64_t most)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < least || value > most) {
        return std::nullopt;
    }
    return value;
}

} // namespace Sycamoremoor
