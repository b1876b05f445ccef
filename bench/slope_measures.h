// The slopes behind docs/CAPACITY.md.
#pragma once

#include "linear_fit.h"

#include <vector>

namespace Sycamoremoor
{

/** Measures what an entry spends per worker, heartbeat, task, waiting task and kept answer. */
std::vector<Slope> measureEntry();

/** Measures what an agent spends per task and per remembered task. */
std::vector<Slope> measureAgent();

} // namespace Sycamoremoor
