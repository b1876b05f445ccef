// sycamorectl: the command line of operators and callers.
#include "commands.h"

#include <csignal>
#include <exception>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace Sycamoremoor; // NOLINT(google-build-using-namespace): one short function
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return static_cast<int>(runCommand({argv + 1, argv + argc}));
    } catch (const std::exception &error) {
        std::cerr << "sycamorectl: " << error.what() << "\n";
        return static_cast<int>(ExitCode::Fault);
    }
}
