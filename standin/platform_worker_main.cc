// Runs the stand-in for one worker as a program. It writes what happens to standard output, one
// event a line after the time in milliseconds; see PlatformWorkerOptions::observe. SIGTERM makes it
// drain for --drain_ms after the acknowledgement (or 5 s without one), deregister and end.
//
// --control is the address of the control interface, empty for none:
//   POST /refuse?percent=N&status=S   answers N of 100 requests with status S; N = 0 ends that

#include "standin/platform_worker.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/numbers.h>

#include <iostream>

ABSL_FLAG(std::string, id, "", "id of this worker");
ABSL_FLAG(std::string, listen, "", "address of the worker, IP:PORT");
ABSL_FLAG(std::string, agent, "", "address that receives its heartbeats, IP:PORT");
ABSL_FLAG(std::string, service, "s", "service");
ABSL_FLAG(std::string, rack, "r1", "rack");
ABSL_FLAG(std::string, gang_folder, "", "folder that the workers share");
ABSL_FLAG(std::string, control, "", "address of the control interface, IP:PORT");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the choice of refused requests");
ABSL_FLAG(std::uint64_t, drain_ms, 2500, "from the acknowledgement of draining to the end");

namespace {

int numberIn(const flamingo::adapters::HttpRequest &request, const char *name)
{
    const auto found = request.query.find(name);
    int number = 0;
    return found != request.query.end() && absl::SimpleAtoi(found->second, &number) ? number : 0;
}

} // namespace

int main(int argc, char **argv)
{
    using namespace flamingo;

    absl::ParseCommandLine(argc, argv);
    standin::PlatformWorkerOptions options;
    options.id = absl::GetFlag(FLAGS_id);
    options.address = absl::GetFlag(FLAGS_listen);
    options.agentAddress = absl::GetFlag(FLAGS_agent);
    options.service = absl::GetFlag(FLAGS_service);
    options.rack = absl::GetFlag(FLAGS_rack);
    options.gangFolder = absl::GetFlag(FLAGS_gang_folder);
    options.seed = absl::GetFlag(FLAGS_seed);
    options.heartbeatMs = 500;
    options.stopMs = 200;
    options.observe = [](TimeMs at, const std::string &event) {
        std::cout << std::to_string(at) + " " + event + "\n" << std::flush;
    };
    adapters::Loop loop;
    Reason reason;
    const auto worker = standin::PlatformWorker::listen(loop, options, reason);
    if (worker == nullptr) {
        std::cerr << "cannot listen on " << options.address << ": " << reason.text << "\n";
        return 1;
    }
    adapters::HttpServerOptions controlOptions;
    controlOptions.address = absl::GetFlag(FLAGS_control);
    std::unique_ptr<adapters::HttpServer> control;
    if (!controlOptions.address.empty()) {
        control = adapters::HttpServer::listen(
            loop, controlOptions,
            [&](const adapters::HttpRequest &request) {
                if (request.path == "/refuse")
                    worker->refuseRequests(numberIn(request, "percent") / 100.0,
                                           numberIn(request, "status"));
                control->respond(request.id, {200, "{}"});
            },
            nullptr, reason);
        if (control == nullptr) {
            std::cerr << "cannot listen on " << controlOptions.address << ": " << reason.text
                      << "\n";
            return 1;
        }
    }
    constexpr TimeMs noAcknowledgementMs = 5000;
    const auto drainMs = static_cast<TimeMs>(absl::GetFlag(FLAGS_drain_ms));
    TimeMs drainingSince = 0;
    TimeMs acknowledgedAt = 0;
    loop.onShutdownSignal([&] {
        worker->startDraining();
        drainingSince = adapters::Loop::now();
        loop.every(50, [&] {
            const TimeMs now = adapters::Loop::now();
            if (acknowledgedAt == 0 && worker->drainingAcknowledged())
                acknowledgedAt = now;
            const bool over = acknowledgedAt > 0 ? now > acknowledgedAt + drainMs
                                                 : now > drainingSince + noAcknowledgementMs;
            if (over && drainingSince > 0) {
                drainingSince = 0;
                worker->deregister([&loop] { loop.stop(); });
            }
        });
    });
    loop.run();
    return 0;
}
