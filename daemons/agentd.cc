// flamingo-agentd: the agent beside one worker.

#include "daemons/daemon.h"
#include "flamingo/adapters/agent_service.h"

int main(int argc, char **argv)
{
    using flamingo::adapters::AgentService;
    return flamingo::daemons::runDaemon<AgentService>(
        argc, argv,
        "Agent of flamingostream: the authority over one worker's accelerators and slots.",
        flamingo::parseAgentSettings);
}
