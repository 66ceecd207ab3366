#include "review/rig/rig.h"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <sstream>

namespace review {
namespace {

using Json = nlohmann::json;

enum PortOffset { Internal, Metrics, Front, Ready, Control, App, StorePort, PortCount };

constexpr unsigned maxSeconds = 115;
constexpr const char *storeIp = "127.90.0.1";
constexpr const char *apiKey = "d4a3hwrr6x73d3zji9n7";
constexpr const char *host = "queues.example";

bool portIsFree(const std::string &ip, int port)
{
    const int tried = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const bool isFree =
        bind(tried, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    close(tried);
    return isFree;
}

// The operator's configuration: one service, two queues, one tenant.
std::string configuration()
{
    const Json routes = {{{"Name", "batch"},
                          {"Hostname", host},
                          {"PathPrefix", "/batch/"},
                          {"RouteKind", "unsafe"},
                          {"TimeoutMs", 3000},
                          {"TargetLatencyMs", 3000},
                          {"Priority", 1},
                          {"Service", "s"},
                          {"MaxAttempts", 3},
                          {"Stretch", 3.0},
                          {"Public", false}},
                         {{"Name", "urgent"},
                          {"Hostname", host},
                          {"PathPrefix", "/urgent/"},
                          {"RouteKind", "unsafe"},
                          {"TimeoutMs", 3000},
                          {"TargetLatencyMs", 400},
                          {"Priority", 0},
                          {"Service", "s"},
                          {"MaxAttempts", 2},
                          {"Stretch", 1.5},
                          {"Public", false}}};
    const Json services = {{{"Name", "s"},
                            {"HealthPath", "/health"},
                            {"MaxConnections", 64},
                            {"Protocol", "h1"},
                            {"Tls", false},
                            {"AdmissionCheck", false},
                            {"Spare", false}}};
    const Json tenants = {{{"Name", "kaje80"},
                           {"ApiKeys", {apiKey}},
                           {"Priority", 1},
                           {"Guaranteed", {{"Gpus", 8}}}}};
    return Json{{"Version", 7},
                {"Routes", routes},
                {"Services", services},
                {"Limits",
                 {{"MaxHeaderBytes", 16384},
                  {"MaxBodyBytes", 262144},
                  {"HeaderTimeoutMs", 3000},
                  {"IdleTimeoutMs", 15000}}},
                {"Tenants", tenants}}
        .dump();
}

int indexOf(const std::string &process)
{
    return std::atoi(process.substr(process.find('-') + 1).c_str());
}

bool isEntry(const std::string &process)
{
    return process.compare(0, 5, "entry") == 0;
}

} // namespace

bool troubleWanted()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

Rig::Rig(const std::string &folder, const RigOptions &options)
    : options(options)
    , startedAt(nowMs())
    , record(folder + "/record.txt")
{
    prctl(PR_SET_PDEATHSIG, SIGKILL); // the script that started this program has ended
    alarm(maxSeconds);
    std::string pattern = std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("cannot create a temporary folder");
    this->temporary = pattern;
    for (this->port = 10000 + (getpid() * PortCount) % 20000;; this->port += PortCount) {
        bool allFree = true;
        for (int offset = 0; offset < PortCount; ++offset)
            allFree = allFree && portIsFree("0.0.0.0", this->port + offset);
        if (allFree)
            break;
    }
}

Rig::~Rig()
{
    for (const auto &[process, pid] : this->processes) {
        kill(pid, SIGCONT);
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    for (auto &worker : this->workers)
        worker.reset();
    if (std::getenv("KEEP") == nullptr)
        std::filesystem::remove_all(this->temporary);
    else
        std::cerr << "logs: " << this->temporary << "\n";
}

std::int64_t Rig::sinceStart() const
{
    return nowMs() - this->startedAt;
}

void Rig::note(const std::string &who, const std::string &what)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->record << this->sinceStart() << " " << who << " " << what << "\n" << std::flush;
}

std::vector<RunEvent> Rig::runEvents()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->events;
}

std::string Rig::ipOf(const std::string &process) const
{
    return (isEntry(process) ? "127.91.0." : "127.92.0.") + std::to_string(indexOf(process) + 1);
}

void Rig::writeSettings(const std::string &process)
{
    const std::string ip = this->ipOf(process);
    const auto at = [&](int offset) { return ip + ":" + std::to_string(this->port + offset); };
    std::ofstream file(this->temporary + "/" + process + ".conf");
    file << "Node=" << process << "\nRole=" << (isEntry(process) ? "entry" : "agent")
         << "\nMachineClass=" << (isEntry(process) ? "front" : "side") << "\nIp=" << ip
         << "\nZone=z1\nRegion=r1\nZones.z1=r1\nInternalPorts=" << this->port << ","
         << this->port + Metrics << "\nSeeds=";
    for (int i = 0; i < this->options.entries; ++i)
        file << (i > 0 ? "," : "") << this->ipOf("entry-" + std::to_string(i)) << ":"
             << this->port + Control;
    file << "\nBootstrap=true\nLimits.CpuShare=" << (isEntry(process) ? "0.25" : "0.15")
         << "\nLimits.MemoryMb=" << (isEntry(process) ? "260" : "128")
         << "\nLimits.MaxFds=4096\nHeartbeatMs=1500\nBounds.GraceS=6\nBounds.StrictRevocation=true"
            "\nBounds.RevokeMs=5000\nBounds.HoldMaxMs=10000\nBounds.StopMs=900"
            "\nBounds.FarFactor=3\nBounds.RestoreMs=250\nBounds.ReclaimMs=3400"
            "\nOrders=invoke\nplatform.Address="
         << storeIp << ":" << this->port + StorePort
         << "\nplatform.form=log\nplatform.WritesPerS=800\nplatform.ReadsPerS=2000"
            "\nplatform.keep_s=300\n";
    if (isEntry(process))
        file << "Serves=front,control\nListen.Front=" << at(Front) << "\nListen.Ready=" << at(Ready)
             << "\nListen.Control=" << at(Control) << "\n";
    else
        file << "Serves=side\nListen.Control=" << at(Control) << "\napp=" << at(App)
             << "\nService=s\n";
    file << this->options.extraConfiguration;
}

void Rig::startProcess(const std::string &process)
{
    this->writeSettings(process);
    const std::string program =
        isEntry(process) ? "target/flamingo-schedulerd" : "target/flamingo-hostagentd";
    const std::string setting =
        "FLAMINGOSTREAM_CONFIG=" + this->temporary + "/" + process + ".conf";
    const std::string log = this->temporary + "/" + process + ".log";
    const char *path = std::getenv("PATH");
    std::string pathSetting = std::string("PATH=") + (path == nullptr ? "" : path);
    std::string programText = program;
    std::string settingText = setting;
    const std::array<char *, 2> arguments = {programText.data(), nullptr};
    const std::array<char *, 3> environment = {settingText.data(), pathSetting.data(), nullptr};
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    const pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execve(programText.c_str(), arguments.data(), environment.data());
        _exit(127);
    }
    close(output);
    this->processes[process] = pid;
    this->note("test", "started " + process);
}

void Rig::signal(const std::string &process, int number)
{
    const pid_t pid = this->processes.at(process);
    kill(pid, number);
    this->note("test", "signal " + std::string(strsignal(number)) + " to " + process);
    if (number != SIGKILL)
        return;
    waitpid(pid, nullptr, 0);
    this->processes.erase(process);
}

WorkerOptions Rig::workerOptions(int index)
{
    WorkerOptions result;
    const std::string name = "worker-" + std::to_string(index);
    result.id = "i-7f3a91c" + std::to_string(index);
    result.agentIp = this->ipOf("agent-" + std::to_string(index));
    result.agentPort = this->port + Control;
    result.ip = result.agentIp;
    result.port = this->port + App;
    result.service = "s";
    result.rack = "r1-" + std::to_string(1 + index / 3);
    result.stopMs = this->options.workerStopMs;
    result.observe = [this, name](const std::string &what) {
        this->note(name, what);
        std::istringstream text(what);
        RunEvent event;
        event.at = this->sinceStart();
        event.worker = name;
        text >> event.kind >> event.task >> event.run >> event.how;
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->events.push_back(event);
    };
    return result;
}

bool Rig::start()
{
    this->store = std::make_unique<Store>(storeIp, this->port + StorePort);
    this->store->put("keyed.op", "config", configuration());
    for (int i = 0; i < this->options.entries; ++i)
        this->startProcess("entry-" + std::to_string(i));
    for (int i = 0; i < this->options.workers; ++i) {
        this->startProcess("agent-" + std::to_string(i));
        if (this->workers.size() <= static_cast<std::size_t>(i))
            this->workers.push_back(std::make_unique<Worker>(this->workerOptions(i)));
    }
    // Workers send a heartbeat each 1.5 s, and the first may precede the agent's start.
    sleepMs(4000);
    const std::int64_t deadline = nowMs() + 16000;
    while (nowMs() < deadline) {
        int ready = 0;
        for (int i = 0; i < this->options.entries; ++i)
            ready += call(this->ipOf("entry-" + std::to_string(i)), this->port + Ready, "GET",
                          "/api/readiness", {}, "", 1000)
                         .status
                    == 200
                ? 1
                : 0;
        if (ready == this->options.entries && this->leader() >= 0) {
            this->note("test", "all entries are ready");
            return true;
        }
        sleepMs(200);
    }
    this->note("test", "the entries did not become ready");
    return false;
}

int Rig::leader()
{
    for (int i = 0; i < this->options.entries; ++i) {
        const Response state = call(this->ipOf("entry-" + std::to_string(i)), this->port + Metrics,
                                    "GET", "/state", {}, "", 1000);
        const Json parsed = Json::parse(state.body, nullptr, false);
        if (parsed.is_object() && parsed.value("epoch", 0ULL) != 0)
            return i;
    }
    return -1;
}

Response Rig::client(int entry, const std::string &method, const std::string &queue,
                     const std::string &jobId, const std::string &body, int timeoutMs)
{
    const std::string process = "entry-" + std::to_string(entry);
    const std::string subject = method + " " + queue + "/" + jobId + " at " + process;
    this->note("client", "sends " + subject + " bytes=" + std::to_string(body.size()));
    Response response =
        call(this->ipOf(process), this->port + Front, method, "/" + queue + "/" + jobId,
             {{"host", host},
              {"authorization", std::string("Bearer ") + apiKey},
              {"content-type", "application/json"},
              {"x-deadline-ms", std::to_string(timeoutMs)}},
             body, timeoutMs);
    this->note("client",
               "got " + std::to_string(response.status) + " " + response.body.substr(0, 100)
                   + " to " + subject);
    return response;
}

Response Rig::submit(int entry, const std::string &queue, const std::string &jobId,
                     const std::string &body, int timeoutMs)
{
    return this->client(entry, "POST", queue, jobId, body, timeoutMs);
}

Response Rig::show(int entry, const std::string &queue, const std::string &jobId)
{
    return this->client(entry, "GET", queue, jobId, "", 3000);
}

Response Rig::cancel(int entry, const std::string &queue, const std::string &jobId)
{
    return this->client(entry, "DELETE", queue, jobId, "", 3000);
}

} // namespace review
