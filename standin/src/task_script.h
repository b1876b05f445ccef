// What a task of the runner stand-in does, as its payload says.
#pragma once

#include <sycamoremoor/core/time_type.h>

#include <string>
#include <string_view>

namespace Sycamoremoor
{

/** Run time and outcome of one task. */
struct TaskScript {
    Duration runTime = std::chrono::milliseconds(50);
    std::string result = "done";
    bool fails = false;
};

/** Reads a payload such as "run_ms=80 result=abc fail=0"; what it does not name keeps its default. */
TaskScript readTaskScript(std::string_view payload);

} // namespace Sycamoremoor
