// Text forms of addresses and task ids.
#pragma once

#include <sycamoremoor/core/endpoint_type.h>
#include <sycamoremoor/core/task_type.h>

#include <optional>
#include <string>
#include <string_view>

namespace Sycamoremoor
{

/** Returns "IP:PORT", with brackets around an IPv6 number. */
std::string endpointToString(const Endpoint &endpoint);

/** Reads "IP:PORT" or "[IPv6]:PORT"; nothing if @p text is neither. Names of hosts are not accepted. */
std::optional<Endpoint> endpointFromString(std::string_view text);

/** Returns "KEY.INDEX": also the id by which a runner knows the task. */
std::string taskIdToString(const TaskId &task);

/** Reads "KEY.INDEX"; nothing if @p text is something else. */
std::optional<TaskId> taskIdFromString(std::string_view text);

} // namespace Sycamoremoor
