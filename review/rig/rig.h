#ifndef REVIEW_RIG_RIG_H
#define REVIEW_RIG_RIG_H

// A small deployment on loopback addresses: the project's programs as processes, with the commands
// of deploy/system.toml, beside the stand-ins of the store and the workers. Writes record.txt.

#include "review/rig/store.h"
#include "review/rig/worker.h"

#include <sys/types.h>

#include <fstream>
#include <mutex>
#include <vector>

namespace review {

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

// One observation of a worker, of a client, or of the test itself.
struct Observation
{
    std::int64_t at = 0; // ms since the start of the record
    std::string who;
    std::string what;
};

// An order of the worker's life; see WorkerOptions::observe.
struct RunEvent
{
    std::int64_t at = 0;
    std::string worker;
    std::string kind; // start, end, taken
    std::string task;
    std::uint32_t run = 0;
    std::string how;
};

struct RigOptions
{
    int entries = 3;
    int workers = 2;
    std::int64_t workerStopMs = 200;
    std::string extraConfiguration; // more settings of every process, lines
};

class Rig
{
public:
    // `folder` receives record.txt; logs and settings go to a temporary folder.
    Rig(const std::string &folder, const RigOptions &options);
    Rig(const Rig &) = delete;
    Rig &operator=(const Rig &) = delete;
    ~Rig();

    // Starts everything and waits until the entries are ready and the workers known. False when
    // that takes longer than 20 s.
    bool start();

    void note(const std::string &who, const std::string &what);
    std::int64_t sinceStart() const;
    // All events of runs so far, in order.
    std::vector<RunEvent> runEvents();

    // Calls of clients on the queue of priority 1 (`batch`) or 0 (`urgent`), with the tenant's key.
    Response submit(int entry, const std::string &queue, const std::string &jobId,
                    const std::string &body, int timeoutMs = 3000);
    Response show(int entry, const std::string &queue, const std::string &jobId);
    Response cancel(int entry, const std::string &queue, const std::string &jobId);

    // Sends a signal to a process of the project: "entry-0", "agent-1", ...
    void signal(const std::string &process, int number);
    void startProcess(const std::string &process);
    // The entry that leads, by its metrics address; -1: none.
    int leader();

    std::string ipOf(const std::string &process) const;

    Store &storeOf()
    {
        return *this->store;
    }
    WorkerOptions workerOptions(int index);
    std::vector<std::unique_ptr<Worker>> workers;

private:
    void writeSettings(const std::string &process);
    Response client(int entry, const std::string &method, const std::string &queue,
                    const std::string &jobId, const std::string &body, int timeoutMs);

    RigOptions options;
    std::string temporary;
    int port = 0; // first of the ports, the same on all addresses
    std::int64_t startedAt;
    std::mutex mutex;
    std::ofstream record;
    std::vector<RunEvent> events;
    std::map<std::string, pid_t> processes;
    std::unique_ptr<Store> store;
};

// True unless TROUBLE=0 is set.
bool troubleWanted();

} // namespace review

#endif
