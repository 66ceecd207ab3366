#ifndef FLAMINGO_REVIEW_RIG_2_RIG_H
#define FLAMINGO_REVIEW_RIG_2_RIG_H

// A small deployment on loopback addresses for the cases of the second review: the store's stand-in
// in this process, the project's programs and the workers as child processes. Children end with
// this process. Everything that is sent, answered and run is written to the record.

#include "flamingo/adapters/http_client.h"
#include "standin/keyed_store.h"

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include <fstream>
#include <map>
#include <string>
#include <vector>

namespace flamingo::review {

using Json = nlohmann::json;

// A start or an end that a worker has noted.
struct RunEvent
{
    std::uint64_t atMs = 0; // Unix time
    std::string worker;
    bool start = false;
    std::string task;
    std::uint32_t run = 0;
    std::string how; // of an end
    std::string kind; // of the worker's life, of a start
};

struct WorkerSettings
{
    std::string kind = "a";
    std::int64_t cpuMilli = 64000;
    TimeMs heartbeatMs = 1500;
    TimeMs stopMs = 900;
};

// Thrown after SIGTERM or SIGINT, and when a case takes longer than it may.
struct Interrupted
{
};

class Rig
{
public:
    // `record` is the path of the record, which is overwritten.
    Rig(const std::string &record, int entries, int hosts);
    ~Rig();
    Rig(const Rig &) = delete;
    Rig &operator=(const Rig &) = delete;

    // Starts the store, the workers and the programs; false when they are not ready in time.
    bool start(const std::vector<WorkerSettings> &workers);
    void startEntry(int number);
    void startAgent(int host);
    void startWorker(int host, const WorkerSettings &settings);
    // Kills the process (SIGKILL) and waits for its end.
    void killProcess(const std::string &name);
    // Lets `ms` pass.
    void pass(TimeMs ms);
    // Submits a job until it is accepted; false when it is not accepted within 20 s.
    // `key` is one of "key" and "other-key", of two tenants, `queue` one of "q" (priority 1) and
    // "urgent" (priority 0).
    bool submit(const std::string &id, const Json &job, const std::string &key = "key",
                const std::string &queue = "q");
    // When the last submission was answered with 200; Unix time in ms.
    std::uint64_t acceptedAt() const
    {
        return this->lastAcceptedMs;
    }
    // The state that a GET at the entry gives; "" without one.
    std::string state(int entry, const std::string &id, const std::string &queue = "q");
    void note(const std::string &line);
    // What the workers have noted so far, in order of time.
    std::vector<RunEvent> events();
    // Copies the workers' notes into the record.
    void recordEvents();

private:
    std::string address(int a, int b, int port) const;
    void spawn(const std::string &name, const std::vector<std::string> &command,
               const std::string &settings);
    std::string writeSettings(const std::string &name, const std::string &text) const;
    std::string commonSettings(const std::string &name, const std::string &ip) const;
    adapters::HttpResult call(int entry, const std::string &method, const std::string &target,
                              const std::string &body, const std::string &port,
                              const std::string &key = "key");
    bool waitUntilReady();

    adapters::Loop loop;
    adapters::HttpClient client{this->loop};
    std::unique_ptr<standin::KeyedStore> store;
    std::ofstream record;
    std::string folder;
    int basePort = 0;
    std::uint64_t lastAcceptedMs = 0;
    int entries;
    int hosts;
    std::map<std::string, pid_t> processes; // by name
    std::map<int, int> lives; // of the worker on a host
};

// A step with the given number of tasks.
Json step(int count, std::int64_t cpuMilli);

} // namespace flamingo::review

#endif
