// Runs the stand-in for the platform's log store as a program, with a control interface.
//
//   --listen  addresses "IP:port" or "IP:port=VIEW", separated by commas. Readers on an address
//             with a view, for example "127.107.", find each address 127.1NN. in a value replaced
//             by it, so that a proxy can stand between any two processes.
//   --control address of the control interface:
//       POST /append?Topic=T&Key=K   appends the body as the value, without a fence
//       POST /refuse?on=1            answers every request with 503; on=0 ends that
//       POST /forget?Topic=T         deletes the history; the newest record of each key stays

#include "standin/keyed_store.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>

#include <iostream>
#include <regex>

ABSL_FLAG(std::vector<std::string>, listen, {}, "addresses of the store, IP:PORT[=VIEW],...");
ABSL_FLAG(std::string, control, "", "address of the control interface, IP:PORT");

int main(int argc, char **argv)
{
    using namespace flamingo;

    absl::ParseCommandLine(argc, argv);
    adapters::Loop loop;
    Reason reason;
    std::unique_ptr<standin::KeyedStore> store;
    std::unique_ptr<adapters::HttpServer> control;
    const std::regex address(R"(127\.1\d\d\.)");
    for (const std::string &entry : absl::GetFlag(FLAGS_listen)) {
        const std::pair<std::string, std::string> parts =
            absl::StrSplit(entry, absl::MaxSplits('=', 1));
        if (store == nullptr) {
            store = standin::KeyedStore::listen(loop, parts.first, reason);
        } else if (!store->listenOn(
                       parts.first,
                       [&address, view = parts.second](const std::string &value) {
                           return std::regex_replace(value, address, view);
                       },
                       reason)) {
            store = nullptr;
        }
        if (store == nullptr)
            break;
    }
    adapters::HttpServerOptions options;
    options.address = absl::GetFlag(FLAGS_control);
    control = adapters::HttpServer::listen(
        loop, options,
        [&](const adapters::HttpRequest &request) {
            const auto query = [&request](const char *name) {
                const auto found = request.query.find(name);
                return found == request.query.end() ? std::string() : found->second;
            };
            if (request.path == "/append")
                store->appendUnfenced(query("Topic"), query("Key"), request.body);
            else if (request.path == "/refuse")
                store->setUnavailable(query("on") == "1");
            else if (request.path == "/forget")
                store->compact(query("Topic"));
            control->respond(request.id, {200, "{}"});
        },
        nullptr, reason);
    if (store == nullptr || control == nullptr) {
        std::cerr << "cannot start: " << reason.text << "\n";
        return 1;
    }
    loop.onShutdownSignal([&loop] { loop.stop(); });
    loop.run();
    return 0;
}
