// flamingo-hostagentd: the daemon of the agent of one worker on the platform.

#include "daemons/platform_daemon.h"
#include "platform/agent_process.h"

int main(int argc, char **argv)
{
    return flamingo::daemons::runOnPlatform<flamingo::platform::AgentProcess>(
        argc, argv,
        "Runs beside each worker: carries out the leading scheduler's orders and reports the\n"
        "worker's state to it.");
}
