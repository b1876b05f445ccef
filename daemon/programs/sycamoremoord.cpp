// sycamoremoord: one process of role entry or agent.
#include <sycamoremoor/daemon/daemon.h>

int main(int argc, char **argv)
{
    return Sycamoremoor::runDaemon(argc, argv);
}
