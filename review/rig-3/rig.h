#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

// Stand-ins for the platform's store, the workers and the clients, and the processes under test,
// for the scripts of this review. Plain sockets and threads, no library of the project, so that a
// fault of the project cannot hide itself here. The stand-ins follow PROTOCOL.md:
//
//   Store   the log, with keyed topics, long polls, producers with epochs, RecordBytes and
//   CallBytes Worker  run-start, run-stop, hold, heartbeats; its clock starts with it Client  one
//   request a connection, with a deadline
//
// Everything is written to record.txt, a line an event, after the milliseconds since the start.

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using Json = nlohmann::json;

std::int64_t nowMs(); // steady clock, since the start of the program
std::int64_t unixMs();
void sleepMs(std::int64_t ms);

// Appends a line to record.txt.
void record(const std::string &line);
void openRecord(const std::string &path);

struct Request
{
    std::string method;
    std::string target; // path and query
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

struct Response
{
    int status = 200;
    std::string body = "{}";
    std::string contentType = "application/json";
    bool silent = false; // no answer on this connection, now or later
};

// Serves each connection in a thread of its own.
class Server
{
public:
    using Handler = std::function<Response(const Request &)>;
    Server(const std::string &ip, int port, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;
    // Closes the listener and all connections.
    void close();

private:
    void serve(int fd);
    int listener = -1;
    Handler handler;
    std::atomic<bool> closed{false};
    std::mutex mutex;
    std::set<int> open;
    std::thread thread;
};

struct Reply
{
    int status = 0; // 0: no answer until the deadline, or the connection broke
    std::string body;
    std::string error;
};

// Sends one request on a connection of its own and waits at most `deadlineMs`. After a deadline the
// connection is closed, or left open until the program ends if `leaveOpen` is set.
Reply call(const std::string &ip, int port, const std::string &method, const std::string &target,
           const std::map<std::string, std::string> &headers, const std::string &body,
           std::int64_t deadlineMs, bool leaveOpen = false);

class Store
{
public:
    Store(const std::string &ip, int port);

    // An append of which `disturb` returns a positive number is carried out that many milliseconds
    // later and never answered (platform_lost, late).
    std::function<std::int64_t(const std::string &topic, const std::string &key, bool fenced)>
        disturb;

    void put(const std::string &topic, const std::string &key, const std::string &value);
    // Number of records of `topic` whose key begins with `prefix`.
    std::size_t count(const std::string &topic, const std::string &prefix);

    std::atomic<std::int64_t> appends{0};
    std::atomic<std::int64_t> lateAppends{0};
    std::atomic<std::int64_t> refusedAppends{0}; // beyond RecordBytes or CallBytes
    std::atomic<std::int64_t> largestRefused{0};

private:
    struct Topic
    {
        std::vector<std::pair<std::string, std::string>> records;
        std::map<std::string, std::uint64_t> newest;
        std::uint64_t epoch = 0;
        std::optional<std::uint64_t> lastSequence;
        std::map<std::uint64_t, std::string> responses; // of the last five sequence numbers
    };
    Response handle(const Request &request);
    Response append(const Request &request);
    Response apply(const Request &request);
    Response read(const Request &request);
    Response listNewest(const Request &request);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Topic> topics;
    std::unique_ptr<Server> server;
};

struct WorkerOptions
{
    std::string id;
    std::string ip; // of the worker and its agent
    int appPort = 0;
    int controlPort = 0;
    std::string service = "svc";
    std::string zone = "z-a";
    std::string rack = "r1-1";
    std::int64_t cpu = 64000;
    std::int64_t memMb = 262144;
    std::int64_t gpus = 8;
    std::int64_t stopMs = 200;
    std::int64_t saveMs = 1000;
    std::size_t checkpointBytes = 16;
};

// A run that a worker began, as the worker saw it.
struct Start
{
    std::string worker;
    std::string task;
    std::int64_t run = 0;
    std::int64_t at = 0;
    std::int64_t endedAt = 0; // 0: still runs
    std::int64_t notedAt = 0; // when LastSeen reached its end; 0: not yet
    std::string how;
};

// How long a task works: TaskSpec begins with "work_ms=N;", or with "work_ms=N..M;" if the tasks of
// a step take from N to M milliseconds, by their number.
class Worker
{
public:
    explicit Worker(const WorkerOptions &options);
    ~Worker();
    std::vector<Start> starts();
    std::int64_t runningCpu();

private:
    struct Run
    {
        std::int64_t run = 0;
        std::int64_t beganAt = 0; // on the worker's clock
        std::int64_t workMs = 0;
        std::int64_t stoppedAt = 0;
        std::int64_t cpu = 0;
        std::size_t start = 0; // index in `begun`
    };
    Response handle(const Request &request);
    Response withClock(int status, Json body);
    void advance(); // with the mutex held
    void end(const std::string &task, const Run &run, const std::string &how);
    std::string checkpointOf(const Run &run) const;
    void beat();
    std::int64_t clock() const;

    WorkerOptions options;
    std::int64_t bornSteady;
    std::int64_t bornUnix;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Run> running;
    std::map<std::string, std::int64_t> highest; // run numbers stopped or ended here
    std::vector<Json> ended;
    std::int64_t nextEnd = 1;
    std::uint64_t token = 0;
    std::int64_t leaseUntil = 0;
    std::vector<Start> begun;
    std::atomic<bool> stopping{false};
    std::unique_ptr<Server> server;
    std::thread beats;
    std::thread clockThread;
};

// A process of the project, started with the command of the deploy file.
class Process
{
public:
    Process(std::string name, const std::string &program, const std::string &settings,
            const std::string &logPath);
    ~Process();
    void signal(int number);
    bool hasEnded(); // by itself
    // Largest resident memory so far, in MB; 0: unknown.
    std::int64_t peakMemoryMb() const;
    const std::string name;

private:
    int pid = -1;
    bool reaped = false;
};

// A small deployment: a store, entries and workers with their agents, on loopback addresses.
struct Deployment
{
    int entries = 2;
    int workers = 3;
    std::size_t checkpointBytes = 16;
    std::int64_t cpu = 64000;
    // Bounds of the settings files; the others are those of the site betelbors-sched.
    int contactMs = 3000;
    int cancelMs = 3000;
    int stopMs = 200;
    std::string folder; // temporary
    int network = 0;
    std::unique_ptr<Store> store;
    std::vector<std::unique_ptr<Worker>> workerList;
    std::vector<std::unique_ptr<Process>> entryList;
    std::vector<std::unique_ptr<Process>> agentList;
    int frontPort = 0;
    int readyPort = 0;

    void start(const Json &routes, const Json &tenants);
    std::string entryIp(int number) const;
    std::string workerIp(int number) const;
    // Waits until all entries are ready and the workers have been seen; false after `limitMs`.
    bool waitUntilReady(std::int64_t limitMs);
    std::vector<Start> starts();
    std::vector<std::string> endedProcesses(); // that ended by themselves
    ~Deployment();
};

// A request of a client to an entry; writes it and its answer to the record.
Reply request(Deployment &deployment, int entry, const std::string &method,
              const std::string &target, const std::string &key, const std::string &body,
              std::int64_t deadlineMs = 3000, bool leaveOpen = false);

Json route(const std::string &name, const std::string &prefix, int priority, int maxAttempts);
std::string jobId(std::uint64_t number);
std::string jobBody(const std::string &work, const Json &steps, const Json &more = Json::object());

} // namespace rig

#endif
