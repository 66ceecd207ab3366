#ifndef FLAMINGO_DAEMONS_DAEMON_H
#define FLAMINGO_DAEMONS_DAEMON_H

// What the daemons' main functions share: flags, the settings file, logging and signals.
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

// Parses the flags and reads the file given by --settings. nullopt, after an error message, when
// that is not possible.
std::optional<std::string> readSettingsFile(int argc, char **argv, std::string_view usage);

// Prints every error with the path of the settings file.
void printSettingsErrors(const std::vector<std::string> &errors);

bool checkSettingsOnly();

// Grows with every start of a process: microseconds of the wall clock.
std::uint64_t newIncarnation();

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
