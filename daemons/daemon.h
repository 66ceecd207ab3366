#ifndef FLAMINGO_DAEMONS_DAEMON_H
#define FLAMINGO_DAEMONS_DAEMON_H

// Shared code of the daemons' main functions: flags, the settings file, logging and signals.
//
// Exit codes: 0 after a graceful shutdown or a successful --check_settings, 1 for bad flags or
// settings, 2 when an address cannot be bound.

#include "flamingo/adapters/loop.h"

#include <glog/logging.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingo::daemons {

constexpr int exitDone = 0;
constexpr int exitBadSettings = 1;
constexpr int exitCannotStart = 2;

// Parses the flags and returns the contents of the file given by --settings. Prints an error
// message and returns nullopt when the flag is missing or the file cannot be read.
std::optional<std::string> readSettingsFile(int argc, char **argv, std::string_view usage);

// Prints each error to standard error, after the path of the settings file.
void printSettingsErrors(const std::vector<std::string> &errors);

// True when --check_settings is given.
bool checkSettingsOnly();

// Returns the incarnation of a starting process. It increases with every start: microseconds of the
// wall clock.
std::uint64_t newIncarnation();

// Body of main(): parses flags and settings with `parse`, starts the Service and runs the loop
// until the service stops it. Returns the exit code.
template <typename Service, typename Parse>
int runDaemon(int argc, char **argv, std::string_view usage, Parse parse)
{
    const auto text = readSettingsFile(argc, argv, usage);
    if (!text)
        return exitBadSettings;
    std::vector<std::string> errors;
    auto settings = parse(*text, errors);
    if (!settings) {
        printSettingsErrors(errors);
        return exitBadSettings;
    }
    if (checkSettingsOnly())
        return exitDone;
    settings->options.incarnation = newIncarnation();
    adapters::Loop loop;
    Reason reason;
    const std::unique_ptr<Service> service = Service::start(loop, *settings, reason);
    if (!service) {
        LOG(ERROR) << "cannot start: " << reason.text;
        return exitCannotStart;
    }
    LOG(INFO) << "started name=" << settings->options.name << " region=" << settings->options.region
              << " incarnation=" << settings->options.incarnation;
    loop.onShutdownSignal([&service] { service->shutDown(); });
    loop.run();
    return exitDone;
}

} // namespace flamingo::daemons

#endif
