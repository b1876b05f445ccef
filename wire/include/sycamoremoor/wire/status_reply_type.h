// Answer of an owner to a forwarded status query or cancel.
#pragma once

#include <sycamoremoor/core/error_type.h>
#include <sycamoremoor/core/job_type.h>

namespace Sycamoremoor
{

/** Owner to entry: how a submission stands. Answers ForwardQuery and ForwardCancel. */
struct StatusReply {
    ErrorKind error = ErrorKind::None;
    JobStatus status;
};

} // namespace Sycamoremoor
