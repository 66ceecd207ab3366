#ifndef FLAMINGO_SCHEDULER_WORKER_PORT_H
#define FLAMINGO_SCHEDULER_WORKER_PORT_H

// Interface through which a host agent calls the worker on its host. Production code talks to the
// worker's HTTP API; tests substitute a simulated worker.

#include "flamingo/scheduler/host_agent.h"

#include <functional>

namespace flamingo::scheduler {

class WorkerPort
{
public:
    virtual ~WorkerPort() = default;

    // Sends `call` to the worker. `done` runs exactly once, with the answer or the failure, and
    // never before call() has returned.
    virtual void call(const WorkerCall &call, std::function<void(WorkerAnswer)> done) = 0;
};

} // namespace flamingo::scheduler

#endif
