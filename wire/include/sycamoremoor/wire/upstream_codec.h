// JSON of the upstream's own interface.
#pragma once

#include <sycamoremoor/core/agent_input_type.h>
#include <sycamoremoor/core/task_type.h>

#include <optional>
#include <string>
#include <string_view>

namespace Sycamoremoor
{

/** Returns the body that starts a task: its id, kind, payload and declared size. */
std::string encodeUpstreamStart(const TaskId &task, const TaskSpec &spec);

/** Reads the answer to a start; nothing if @p json is no such answer. */
std::optional<UpstreamTaskEnded> decodeUpstreamEnd(const TaskId &task, std::string_view json);

/**
 * Reads the answer to a query of a task; nothing if @p json is no such answer.
 * @param lastLife life of the upstream as last seen, for upstreams whose answer does not tell it
 */
std::optional<UpstreamTaskState> decodeUpstreamState(const TaskId &task, std::string_view json, Incarnation lastLife);

/** Reads the answer to a health check; nothing if @p json is no such answer. */
std::optional<UpstreamHealth> decodeUpstreamHealth(std::string_view json);

} // namespace Sycamoremoor
