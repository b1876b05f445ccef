// sycamoremoord: settings, signals, exit codes.
#pragma once

namespace Sycamoremoor
{

/** Exit codes by kind of end. */
enum class DaemonExit {
    Stopped = 0,  ///< a planned stop that cut nothing off
    Fault = 1,    ///< a fault of this program
    Settings = 2, ///< a setting is missing or wrong; nothing was started
    Address = 3,  ///< the listening address cannot be bound
    CutOff = 4,   ///< a planned stop whose bound passed, with submissions cut off
};

/** Runs the whole process. @return the exit code */
int runDaemon(int argc, char **argv);

} // namespace Sycamoremoor
