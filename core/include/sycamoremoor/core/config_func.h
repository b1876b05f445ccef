// Rules for whole configuration sets: what is valid, and what a change changes.
#pragma once

#include <sycamoremoor/core/config_type.h>

#include <string>
#include <vector>

namespace Sycamoremoor
{

/** What is wrong with one field of a set. */
struct ConfigFault {
    std::string record; ///< such as "service reclaim-desk"
    std::string field;
    std::string text; ///< names the value and what is allowed

    friend bool operator==(const ConfigFault &, const ConfigFault &) = default;
};

/** One field that differs between two sets; a whole record if @c field is empty. */
struct ConfigDifference {
    std::string record;
    std::string field;
    std::string before; ///< empty if the record is new
    std::string after;  ///< empty if the record goes

    friend bool operator==(const ConfigDifference &, const ConfigDifference &) = default;
};

/** Checks every field and the set as a whole. @return nothing if it may come into force */
std::vector<ConfigFault> validateConfig(const ConfigSet &config);

/** Returns what changes from @p before to @p after, in the order of records. Revision, author and time are not compared. */
std::vector<ConfigDifference> diffConfig(const ConfigSet &before, const ConfigSet &after);

} // namespace Sycamoremoor
