// Why a text could not be decoded.
#pragma once

#include <sycamoremoor/core/error_type.h>

#include <string>

namespace Sycamoremoor
{

/** Why a text could not be decoded. */
struct DecodeError {
    ErrorKind kind = ErrorKind::MalformedBody; ///< MalformedBody, UnknownField, InvalidValue, TooManyTasks or InvalidKey
    std::string detail;                        ///< names the field and what is allowed

    friend bool operator==(const DecodeError &, const DecodeError &) = default;
};

} // namespace Sycamoremoor
