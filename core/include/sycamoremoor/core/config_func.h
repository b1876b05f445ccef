// Validation and comparison of whole configuration sets.
#pragma once

#include <sycamoremoor/core/config_type.h>

#include <string>
#include <vector>

namespace Sycamoremoor
{

/** A rule that one field of a configuration set violates. */
struct ConfigFault {
    std::string record; ///< kind and name, such as "service reclaim-desk"
    std::string field;
    std::string text; ///< states the value and the allowed values

    friend bool operator==(const ConfigFault &, const ConfigFault &) = default;
};

/** A field that differs between two sets, or an added or removed record if @c field is empty. */
struct ConfigDifference {
    std::string record;
    std::string field;
    std::string before; ///< empty if the record is new
    std::string after;  ///< empty if the record is removed

    friend bool operator==(const ConfigDifference &, const ConfigDifference &) = default;
};

/** Checks every field and the set as a whole. @return the faults; empty if the set is valid */
std::vector<ConfigFault> validateConfig(const ConfigSet &config);

/** Returns the differences from @p before to @p after in the order of records. Revision, author and time are not compared. */
std::vector<ConfigDifference> diffConfig(const ConfigSet &before, const ConfigSet &after);

} // namespace Sycamoremoor
