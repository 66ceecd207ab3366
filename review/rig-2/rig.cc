// Machines have the addresses 127.20.A.B: entries A = 1, hosts A = 2, the store A = 3. All use the
// same ports, counted from a base port that is free on all of them.

#include "review/rig-2/rig.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <sstream>

namespace flamingo::review {
namespace {

using adapters::HttpCall;
using adapters::HttpResult;
using adapters::Loop;

enum Port { Internal, Metrics, Front, Ready, Control, App, Store, PortCount };

constexpr int statusOk = 200;
constexpr TimeMs longestCaseMs = 115000;
constexpr TimeMs readyTimeoutMs = 20000;
constexpr TimeMs callTimeoutMs = 3000;
constexpr TimeMs retryMs = 300;
constexpr int submitTries = 40;

bool isFree(const std::string &ip, int port)
{
    Reason reason;
    const auto address = adapters::parseAddress(ip + ":" + std::to_string(port), reason);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool bound =
        address && bind(fd, reinterpret_cast<const sockaddr *>(&*address), sizeof(*address)) == 0;
    close(fd);
    return bound;
}

std::string jobPath(const std::string &queue, const std::string &id)
{
    return std::string("/").append(queue).append("/").append(id);
}

} // namespace

Rig::Rig(const std::string &record, int entries, int hosts)
    : record(record)
    , entries(entries)
    , hosts(hosts)
{
    // Both are called by the loop itself, so the exception passes only through this program's code.
    this->loop.onShutdownSignal([] { throw Interrupted(); });
    this->loop.after(longestCaseMs, [] { throw Interrupted(); });
    std::string name = std::filesystem::temp_directory_path() / "review-XXXXXX";
    this->folder = mkdtemp(name.data());
    constexpr int firstPort = 20000;
    constexpr int portRange = 10000;
    for (int tries = 0; tries < 100 && this->basePort == 0; ++tries) {
        const int base = firstPort + static_cast<int>((getpid() * 31 + tries * 97) % portRange);
        bool free = true;
        for (int port = base; port < base + PortCount; ++port) {
            free = free && isFree("0.0.0.0", port);
        }
        if (free)
            this->basePort = base;
    }
}

Rig::~Rig()
{
    for (const auto &[name, pid] : this->processes)
        kill(pid, SIGKILL);
    for (const auto &[name, pid] : this->processes)
        waitpid(pid, nullptr, 0);
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) // NOLINT(concurrency-mt-unsafe): one thread
        std::filesystem::remove_all(this->folder, ignored);
    else
        std::cout << "logs in " << this->folder << "\n";
}

std::string Rig::address(int a, int b, int port) const
{
    return "127.20." + std::to_string(a) + "." + std::to_string(b) + ":"
        + std::to_string(this->basePort + port);
}

void Rig::note(const std::string &line)
{
    this->record << Loop::unixNow() << " " << line << std::endl;
}

void Rig::spawn(const std::string &name, const std::vector<std::string> &command,
                const std::string &settings)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &word : command)
        arguments.push_back(const_cast<char *>(word.c_str()));
    arguments.push_back(nullptr);
    const std::string output = this->folder + "/" + name + ".log";
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(2);
        const int fd = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        closefrom(STDERR_FILENO + 1);
        if (!settings.empty())
            setenv("FLAMINGOSTREAM_CONFIG", settings.c_str(), 1); // NOLINT(concurrency-mt-unsafe)
        execv(arguments[0], arguments.data());
        _exit(2);
    }
    this->processes[name] = pid;
    this->note("started " + name);
}

void Rig::killProcess(const std::string &name)
{
    const auto found = this->processes.find(name);
    if (found == this->processes.end())
        return;
    kill(found->second, SIGKILL);
    waitpid(found->second, nullptr, 0);
    this->processes.erase(found);
    this->note("killed " + name);
}

std::string Rig::writeSettings(const std::string &name, const std::string &text) const
{
    std::string path = this->folder + "/" + name + ".conf";
    std::ofstream(path) << text;
    return path;
}

// The fields and figures of the settings page and of the first small deployment.
std::string Rig::commonSettings(const std::string &name, const std::string &ip) const
{
    std::string seeds;
    for (int i = 1; i <= std::min(this->entries, 3); ++i)
        seeds += (i > 1 ? "," : "") + this->address(1, i, Control);
    return "Node=" + name + "\nIp=" + ip + "\nZone=z1\nRegion=r1\nZones.z1=r1\nInternalPorts="
        + std::to_string(this->basePort) + "," + std::to_string(this->basePort + 1)
        + "\nSeeds=" + seeds + "\nplatform.Address=" + this->address(3, 1, Store)
        + "\nplatform.form=log\nOrders=invoke\nHeartbeatMs=1500\nLimits.CpuShare=0.25\n"
          "Limits.MaxFds=4096\nBounds.GraceS=6\nBounds.StopMs=900\nBounds.RestoreMs=250\n"
          "Bounds.ReclaimMs=3400\nBounds.cancel_ms=3000\nBounds.HoldMaxMs=10000\n"
          "Bounds.RevokeMs=5000\nBounds.StrictRevocation=true\nBounds.FarFactor=3\n";
}

void Rig::startEntry(int number)
{
    const std::string name = "entry-" + std::to_string(number);
    const std::string ip = "127.20.1." + std::to_string(number);
    const std::string path = this->writeSettings(
        name,
        this->commonSettings(name, ip) + "MachineClass=front\nRole=entry\nServes=front,control\n"
            + "Listen.Front=" + this->address(1, number, Front)
            + "\nListen.Ready=" + this->address(1, number, Ready)
            + "\nListen.Control=" + this->address(1, number, Control) + "\n");
    this->spawn(name, {"target/flamingo-schedulerd"}, path);
}

void Rig::startAgent(int host)
{
    const std::string name = "agent-" + std::to_string(host);
    const std::string path = this->writeSettings(
        name,
        this->commonSettings(name, "127.20.2." + std::to_string(host))
            + "MachineClass=side\nRole=agent\nServes=side\nService=s\nListen.Control="
            + this->address(2, host, Control) + "\napp=" + this->address(2, host, App) + "\n");
    this->spawn(name, {"target/flamingo-hostagentd"}, path);
}

void Rig::startWorker(int host, const WorkerSettings &settings)
{
    const std::string number = std::to_string(host);
    const int life = ++this->lives[host];
    this->spawn("worker-" + number,
                {"review/build-2/worker", "i-0" + number, this->address(2, host, App),
                 this->address(2, host, Control), "s", settings.kind, "r" + number,
                 std::to_string(settings.cpuMilli), std::to_string(settings.heartbeatMs),
                 std::to_string(settings.stopMs)},
                "");
    this->note("worker-" + number + " life " + std::to_string(life) + " is of kind "
               + settings.kind);
}

bool Rig::start(const std::vector<WorkerSettings> &workers)
{
    Reason reason;
    this->store = standin::KeyedStore::listen(this->loop, this->address(3, 1, Store), reason);
    if (this->basePort == 0 || this->store == nullptr) {
        this->note("cannot start: " + reason.text);
        return false;
    }
    const Json routes = {{{"Name", "q"},
                          {"Hostname", "h.example"},
                          {"PathPrefix", "/q/"},
                          {"Service", "s"},
                          {"Priority", 1},
                          {"MaxAttempts", 2},
                          {"Stretch", 3.0},
                          {"TargetLatencyMs", 1200}},
                         {{"Name", "urgent"},
                          {"Hostname", "h.example"},
                          {"PathPrefix", "/urgent/"},
                          {"Service", "s"},
                          {"Priority", 0},
                          {"MaxAttempts", 2},
                          {"Stretch", 1.5},
                          {"TargetLatencyMs", 400}}};
    const Json configuration = {
        {"Version", 3},
        {"Routes", routes},
        {"Services", {{{"Name", "s"}}}},
        {"Limits", {{"MaxBodyBytes", 262144}}},
        {"Tenants",
         {{{"Name", "t"}, {"ApiKeys", {"key"}}, {"Guaranteed", {{"Gpus", 8}}}},
          {{"Name", "u"}, {"ApiKeys", {"other-key"}}, {"Guaranteed", {{"Gpus", 8}}}}}}};
    this->store->appendUnfenced("keyed.op", "config", configuration.dump());
    for (int i = 1; i <= this->entries; ++i)
        this->startEntry(i);
    for (int i = 1; i <= this->hosts; ++i) {
        this->startAgent(i);
        this->startWorker(i, workers[static_cast<std::size_t>(i - 1)]);
    }
    return this->waitUntilReady();
}

bool Rig::waitUntilReady()
{
    const TimeMs began = Loop::now();
    int ready = 0;
    while (ready < this->entries && Loop::now() - began < readyTimeoutMs) {
        this->pass(retryMs);
        ready = 0;
        for (int i = 1; i <= this->entries; ++i)
            ready += this->call(i, "GET", "/api/readiness", "", this->address(1, i, Ready)).status
                    == statusOk
                ? 1
                : 0;
    }
    constexpr TimeMs settleMs = 6000; // until there is a leader and all workers have reported
    this->pass(settleMs);
    return ready == this->entries;
}

void Rig::pass(TimeMs ms)
{
    this->loop.after(ms, [this] { this->loop.stop(); });
    this->loop.resume();
    this->loop.run();
}

HttpResult Rig::call(int entry, const std::string &method, const std::string &target,
                     const std::string &body, const std::string &port, const std::string &key)
{
    HttpCall call;
    call.address = port.empty() ? this->address(1, entry, Front) : port;
    call.method = method;
    call.target = target;
    call.body = body;
    call.host = "h.example";
    call.timeoutMs = callTimeoutMs;
    call.headers = {{"authorization", "Bearer " + key}, {"x-deadline-ms", "3000"}};
    HttpResult answer;
    this->client.call(call, [this, &answer](const HttpResult &result) {
        answer = result;
        this->loop.stop();
    });
    this->loop.resume();
    this->loop.run();
    return answer;
}

bool Rig::submit(const std::string &id, const Json &job, const std::string &key,
                 const std::string &queue)
{
    for (int i = 0; i < submitTries; ++i) {
        const int entry = 1 + i % this->entries;
        this->note("POST " + id + " at entry-" + std::to_string(entry) + " " + job.dump());
        const HttpResult answer =
            this->call(entry, "POST", jobPath(queue, id), job.dump(), "", key);
        this->note("answer to POST " + id + ": " + std::to_string(answer.status));
        if (answer.status == statusOk) {
            this->lastAcceptedMs = Loop::unixNow();
            return true;
        }
        this->pass(retryMs);
    }
    return false;
}

std::string Rig::state(int entry, const std::string &id, const std::string &queue)
{
    const HttpResult answer = this->call(entry, "GET", jobPath(queue, id), "", "");
    const Json body = Json::parse(answer.body, nullptr, false);
    std::string state = body.is_object() ? body.value("State", "") : "";
    this->note("GET " + id + " at entry-" + std::to_string(entry) + ": "
               + std::to_string(answer.status) + " " + state);
    return state;
}

std::vector<RunEvent> Rig::events()
{
    std::vector<RunEvent> result;
    for (int host = 1; host <= this->hosts; ++host) {
        const std::string name = "worker-" + std::to_string(host);
        std::ifstream file(this->folder + "/" + name + ".log");
        for (std::string line; std::getline(file, line);) {
            std::istringstream words(line);
            RunEvent event;
            std::string what;
            std::string last;
            words >> event.atMs >> what >> event.task >> event.run >> last;
            if (what != "start" && what != "end")
                continue;
            event.worker = name;
            event.start = what == "start";
            (event.start ? event.kind : event.how) =
                event.start ? last.substr(last.find('=') + 1) : last;
            result.push_back(event);
        }
    }
    std::stable_sort(result.begin(), result.end(),
                     [](const RunEvent &a, const RunEvent &b) { return a.atMs < b.atMs; });
    return result;
}

void Rig::recordEvents()
{
    for (const RunEvent &event : this->events())
        this->record << event.atMs << " " << event.worker << (event.start ? " start " : " end ")
                     << event.task << " run " << event.run << " "
                     << (event.start ? "on kind " + event.kind : event.how) << "\n";
    this->record.flush();
}

Json step(int count, std::int64_t cpuMilli)
{
    return {{"Count", count}, {"Cpu", cpuMilli}, {"MemMb", 100}, {"EstimateMs", 3000}};
}

} // namespace flamingo::review
