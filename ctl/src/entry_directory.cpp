// Which entries there are.
#include "entry_directory.h"

#include "event_loop.h"
#include "http_caller.h"
#include "options.h"

#include <sycamoremoor/gateway/key_value_client.h>
#include <sycamoremoor/wire/http_status.h>
#include <sycamoremoor/wire/message_codec.h>
#include <sycamoremoor/wire/text_codec.h>

#include <optional>

namespace Sycamoremoor
{

namespace
{

constexpr const char *RosterKey = "sycamoremoor/v1/head/roster";

std::vector<EntryAddress> addressesOf(const RosterRecord &roster)
{
    std::vector<EntryAddress> entries;
    for (const auto &member : roster.members) {
        entries.push_back({member.name.value(), member.endpoint});
    }
    return entries;
}

std::optional<RosterRecord> rosterFromPlatform(const Options &options)
{
    const auto endpoints = options.endpoints("platform");
    if (endpoints.empty()) {
        return std::nullopt;
    }
    EventLoop loop;
    KeyValueClient client(loop.base(), {.endpoints = endpoints, .callTimeout = options.milliseconds("timeout-ms")});
    std::optional<RangeResult> result;
    client.range({.key = RosterKey}, [&result](RangeResult ended) { result = std::move(ended); });
    loop.runWhile([&result] { return !result; });
    RosterRecord roster;
    if (result->values.empty() || decode(result->values.front().value, roster)) {
        return std::nullopt;
    }
    return roster;
}

std::optional<RosterRecord> rosterFromEntries(const Options &options)
{
    std::optional<RosterRecord> newest;
    for (const auto &reply :
         callAll(options.endpoints("entries"), {.method = HttpMethod::Get, .path = "/v1/status"}, options.milliseconds("timeout-ms"))) {
        ProcessStatus status;
        if (reply.status != HttpStatus::Ok || decode(reply.body, status) || !status.roster) {
            continue;
        }
        if (!newest || newest->epoch < status.roster->epoch) {
            newest = *status.roster;
        }
    }
    return newest;
}

} // namespace

std::vector<EntryAddress> findEntries(const Options &options)
{
    auto roster = rosterFromPlatform(options);
    if (!roster) {
        roster = rosterFromEntries(options);
    }
    if (roster) {
        return addressesOf(*roster);
    }
    std::vector<EntryAddress> entries;
    for (const auto &endpoint : options.endpoints("entries")) {
        entries.push_back({endpointToString(endpoint), endpoint});
    }
    return entries;
}

std::vector<EntryReply> askEntries(const Options &options, const std::string &path)
{
    const auto entries = findEntries(options);
    std::vector<Endpoint> endpoints;
    endpoints.reserve(entries.size());
    for (const auto &entry : entries) {
        endpoints.push_back(entry.endpoint);
    }
    auto replies = callAll(endpoints, {.method = HttpMethod::Get, .path = path}, options.milliseconds("timeout-ms"));
    std::vector<EntryReply> result;
    for (std::size_t index = 0; index < entries.size(); ++index) {
        result.push_back({entries[index], std::move(replies[index])});
    }
    return result;
}

} // namespace Sycamoremoor
