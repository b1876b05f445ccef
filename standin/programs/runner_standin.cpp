// sycamoremoor-runner-standin: an upstream for tests and demonstrations.
#include "runner_standin.h"
#include "option_func.h"
#include "signal_loop.h"

#include <exception>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace Sycamoremoor; // NOLINT(google-build-using-namespace): one short function
    const auto options = readOptions(argc,
                                     argv,
                                     {{"listen", nullptr, "IP:PORT to serve at; port 0 takes a free one"},
                                      {"name", "runner", "name in the log of starts"},
                                      {"slots", "8", "tasks side by side; beyond it they run slower"},
                                      {"cores", "30", "cores of the worker"},
                                      {"memory-mb", "130000", "memory of the worker"},
                                      {"usage-lag-ms", "1000", "age of the usage that health tells"},
                                      {"leave-grace-ms", "2500", "how long it waits for late starts after SIGTERM"},
                                      {"start-log", "", "file that each start is appended to"}});
    try {
        SignalLoop loop;
        RunnerStandin standin(loop.base(),
                              readListenAddress(options.at("listen")),
                              {.name = options.at("name"),
                               .slots = std::stoll(options.at("slots")),
                               .cores = std::stod(options.at("cores")),
                               .memory = std::stoll(options.at("memory-mb")),
                               .usageLag = std::chrono::milliseconds(std::stoll(options.at("usage-lag-ms"))),
                               .leaveGrace = std::chrono::milliseconds(std::stoll(options.at("leave-grace-ms"))),
                               .startLog = options.at("start-log")});
        std::cout << "runner " << options.at("name") << ": listening at port " << standin.port()
                  << std::endl; // NOLINT(performance-avoid-endl)
        loop.run([&] { standin.leave([&loop] { loop.stop(); }); });
    } catch (const std::exception &error) {
        std::cerr << "runner: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
