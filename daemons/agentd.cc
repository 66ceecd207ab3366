// flamingo-agentd: the agent of one worker.

#include "daemons/daemon.h"
#include "flamingo/adapters/agent_service.h"

int main(int argc, char **argv)
{
    using flamingo::adapters::AgentService;
    return flamingo::daemons::runDaemon<AgentService>(
        argc, argv, "Agent of flamingostream: manages the accelerators and slots of one worker.",
        flamingo::parseAgentSettings);
}
