// Which entries there are, by the flags, the platform's roster and the entries themselves.
#pragma once

#include <sycamoremoor/core/endpoint_type.h>
#include <sycamoremoor/gateway/http_connection.h>

#include <string>
#include <vector>

namespace Sycamoremoor
{

class Options;

/** An entry to ask. */
struct EntryAddress {
    std::string name; ///< its address if the name is not known
    Endpoint endpoint;
};

/**
 * Finds every entry of the roster: from the platform's service, else from an entry that answers;
 * if neither does, the entries of the flags.
 */
std::vector<EntryAddress> findEntries(const Options &options);

/** What one entry said. */
struct EntryReply {
    EntryAddress entry;
    HttpReply reply;
};

/** Asks all entries of the roster at once. */
std::vector<EntryReply> askEntries(const Options &options, const std::string &path);

} // namespace Sycamoremoor
