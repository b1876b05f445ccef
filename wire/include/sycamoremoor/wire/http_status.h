// Status codes of HTTP.
#pragma once

namespace Sycamoremoor::HttpStatus
{

inline constexpr int Ok = 200;
inline constexpr int Accepted = 202;
inline constexpr int BadRequest = 400;
inline constexpr int NotFound = 404;
inline constexpr int MethodNotAllowed = 405;
inline constexpr int Conflict = 409;
inline constexpr int Gone = 410;
inline constexpr int PayloadTooLarge = 413;
inline constexpr int MisdirectedRequest = 421; ///< meant for another process than the one that answers
inline constexpr int TooManyRequests = 429;
inline constexpr int HeaderFieldsTooLarge = 431;
inline constexpr int InternalServerError = 500;
inline constexpr int ServiceUnavailable = 503;

} // namespace Sycamoremoor::HttpStatus
