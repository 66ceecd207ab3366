#ifndef FLAMINGO_DAEMONS_PLATFORM_DAEMON_H
#define FLAMINGO_DAEMONS_PLATFORM_DAEMON_H

// Common main function of the daemons that run on the platform: the hosting environment that starts
// and stops the processes, routes callers to them, and provides the workers and the store of the
// job log. The other daemons use daemons/daemon.h.

#include "platform/node.h"

#include <iostream>
#include <string_view>

namespace flamingo::daemons {

// Reads the settings, runs a `Process` until a signal shuts it down, and returns the exit code.
// `purpose` is shown by --help.
template <typename Process>
int runOnPlatform(int argc, char **argv, std::string_view purpose)
{
    int exitCode = platform::exitDone;
    const auto settings = platform::readNodeSettings(argc, argv, purpose, exitCode);
    if (!settings)
        return exitCode;
    adapters::Loop loop;
    Process process(loop, *settings);
    Reason reason;
    if (!process.start(reason)) {
        std::cerr << "cannot start: " << reason.text << "\n";
        return platform::exitCannotStart;
    }
    loop.onShutdownSignal([&process] { process.shutDown(); });
    loop.run();
    return platform::exitDone;
}

} // namespace flamingo::daemons

#endif
