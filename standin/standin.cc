// Runs the stand-in for the platform as a program; standin/platform.h describes its HTTP interface.

#include "standin/platform.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <glog/logging.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:19000", "address of the HTTP interface, IP:PORT");
ABSL_FLAG(std::uint64_t, retention_lines, 100000,
          "number of lines that the log retains per stream");
ABSL_FLAG(std::uint64_t, appends_per_second, 400,
          "maximum number of appends per second, over all streams");
ABSL_FLAG(std::uint64_t, usage_lag_ms, 2000, "delay of usage events, in milliseconds");

int main(int argc, char **argv)
{
    using namespace flamingo;

    absl::SetProgramUsageMessage("Stand-in for the platform: log service and workers over HTTP.\n"
                                 "Example: platform-standin --listen=127.0.0.1:19000");
    absl::ParseCommandLine(argc, argv);
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;

    standin::PlatformOptions options;
    options.address = absl::GetFlag(FLAGS_listen);
    options.log.retentionLines = absl::GetFlag(FLAGS_retention_lines);
    options.log.appendsPerSecond = absl::GetFlag(FLAGS_appends_per_second);
    options.usageLagMs = static_cast<TimeMs>(absl::GetFlag(FLAGS_usage_lag_ms));

    adapters::Loop loop;
    Reason reason;
    const auto platform = standin::Platform::listen(loop, options, reason);
    if (platform == nullptr) {
        LOG(ERROR) << "cannot listen on " << options.address << ": " << reason.text;
        return 1;
    }
    loop.onShutdownSignal([&] {
        LOG(INFO) << "received a shutdown signal; stopping";
        platform->shutDown();
        loop.stop();
    });
    LOG(INFO) << "listening on " << options.address;
    loop.run();
    return 0;
}
