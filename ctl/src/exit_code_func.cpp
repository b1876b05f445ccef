// Exit codes of sycamorectl by kind of failure.
#include "exit_code_type.h"

namespace Sycamoremoor
{

ExitCode exitCodeOf(ErrorKind kind, RunState ran)
{
    switch (kind) {
    case ErrorKind::None:
        return ExitCode::Done;
    case ErrorKind::NotFound:
    case ErrorKind::AnswerReleased:
        return ExitCode::NotFound;
    case ErrorKind::KeyConflict:
    case ErrorKind::RevisionConflict:
        return ExitCode::Conflict;
    default:
        return ran == RunState::NotRun ? ExitCode::Refused : ExitCode::Failed;
    }
}

} // namespace Sycamoremoor
