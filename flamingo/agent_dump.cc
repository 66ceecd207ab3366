#include "flamingo/agent_step.h"

#include <nlohmann/json.hpp>

namespace flamingo {

std::string dumpAgent(const Agent &agent, TimeMs now)
{
    nlohmann::json dump;
    dump["name"] = agent.options.name;
    dump["nowMs"] = now;
    dump["tasks"] = agent.tasks.size();
    return dump.dump();
}

} // namespace flamingo
