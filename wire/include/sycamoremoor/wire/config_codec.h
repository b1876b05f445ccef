// JSON of configuration records as operators write them, and as the platform's service keeps them.
#pragma once

#include <sycamoremoor/core/config_type.h>
#include <sycamoremoor/wire/decode_error_type.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Sycamoremoor
{

/** Newest schema of the records that this version knows. */
inline constexpr std::int64_t NewestConfigSchema = 2;

/** The newest revision, as kept under ConfigHeadKey. */
struct ConfigHead {
    Revision revision; ///< zero: none was ever accepted
    ChangeId changeId;
    std::string author;
    WallTime changedAt{};

    friend bool operator==(const ConfigHead &, const ConfigHead &) = default;
};

/** Key of the newest revision in the platform's service. */
inline constexpr std::string_view ConfigHeadKey = "sycamoremoor/v1/head/config";

/** Returns the key of a revision's whole set in the platform's service. */
std::string configKey(Revision revision);

/**
 * Adds the records of one file to a set: one record or a list of them, of any known schema.
 * A record of a service or team that the set has already is an error.
 * @param text the file's content
 * @param config unspecified after an error
 * @return what is wrong, or nothing; no text makes it throw
 */
std::optional<DecodeError> decodeConfigRecords(std::string_view text, ConfigSet &config);

/** Returns the records of a set in the newest schema, a list with one record a line, for people. */
std::string encodeConfigRecords(const ConfigSet &config);

/** Returns a whole set as it is kept under configKey(). */
std::string encodeConfigSet(const ConfigSet &config);

/** Reads what encodeConfigSet() wrote, of this version or an earlier one. @return what is wrong, or nothing */
std::optional<DecodeError> decodeConfigSet(std::string_view text, ConfigSet &config);

/** Returns a head as it is kept under ConfigHeadKey. */
std::string encodeConfigHead(const ConfigHead &head);

/** Reads what encodeConfigHead() wrote. @return what is wrong, or nothing */
std::optional<DecodeError> decodeConfigHead(std::string_view text, ConfigHead &head);

} // namespace Sycamoremoor
