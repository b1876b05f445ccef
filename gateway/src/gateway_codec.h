// JSON bodies of the etcd v3 gateway.
#pragma once

#include <sycamoremoor/gateway/key_value_type.h>

#include <string>
#include <string_view>

namespace Sycamoremoor
{

std::string encodeRange(const RangeCall &call);
std::string encodePut(const PutCall &call);
std::string encodeTransaction(const TransactionCall &call);
std::string encodeLeaseGrant(std::chrono::seconds timeToLive);
std::string encodeLeaseKeepAlive(LeaseId lease);
std::string encodeWatch(const WatchCall &call);

/** Each reader returns false if the body is not of the documented shape. */
bool decodeRange(std::string_view body, RangeResult &result);
bool decodePut(std::string_view body, WriteResult &result);
bool decodeTransaction(std::string_view body, WriteResult &result);
bool decodeLeaseGrant(std::string_view body, LeaseResult &result);
bool decodeLeaseKeepAlive(std::string_view body, LeaseResult &result);

/** Reads one message of a watch. @param canceled set if the service ended the watch */
bool decodeWatch(std::string_view body, WatchEvents &events, bool &canceled);

/** Returns the message of an error body, or the start of the body. */
std::string decodeError(std::string_view body);

} // namespace Sycamoremoor
