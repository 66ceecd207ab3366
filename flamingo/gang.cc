#include "flamingo/agent_step.h"

namespace flamingo {

bool startGang(const AgentStep &step, Attempt &attempt, const Start &)
{
    concludeAttempt(step, std::string(attempt.id),
                    {Verdict::NotRun, {ReasonCode::Internal, "gangs are not supported yet"}, {}});
    return false;
}
void gangClaimed(const AgentStep &, std::string_view)
{
}
void stopGang(const AgentStep &, std::string_view, const Reason &)
{
}
void memberReady(const AgentStep &, std::string_view)
{
}
void memberEnded(const AgentStep &, std::string_view, const Ending &)
{
}
void drainMembers(const AgentStep &)
{
}
void stepGangs(const AgentStep &)
{
}
void handleGangMessage(const AgentStep &, std::string_view, const Message &)
{
}
bool isGangMessage(const Message &)
{
    return false;
}
bool gangsIdle(const Agent &agent)
{
    return agent.gangs.empty();
}

} // namespace flamingo
