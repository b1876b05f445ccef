// sycamoremoor-platform-standin: the platform's key-value service for tests and demonstrations.
#include "platform_standin.h"
#include "option_func.h"
#include "signal_loop.h"

#include <exception>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace Sycamoremoor; // NOLINT(google-build-using-namespace): one short function
    const auto options = readOptions(argc, argv, {{"listen", nullptr, "IP:PORT to serve at; port 0 takes a free one"}});
    try {
        SignalLoop loop;
        const PlatformStandin standin(loop.base(), readListenAddress(options.at("listen")));
        std::cout << "platform: listening at port " << standin.port() << std::endl; // NOLINT(performance-avoid-endl)
        loop.run([&loop] { loop.stop(); });
    } catch (const std::exception &error) {
        std::cerr << "platform: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
