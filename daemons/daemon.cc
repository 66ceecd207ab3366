#include "daemons/daemon.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, settings, "", "path of the settings file (JSON with comments)");
ABSL_FLAG(bool, check_settings, false, "check the settings file and exit");

namespace flamingo::daemons {

std::optional<std::string> readSettingsFile(int argc, char **argv, std::string_view usage)
{
    absl::SetProgramUsageMessage(std::string(usage) + "\n\nUsage: " + argv[0]
                                 + " --settings FILE [--check_settings]");
    absl::ParseCommandLine(argc, argv);
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    std::signal(SIGPIPE, SIG_IGN);
    const std::string path = absl::GetFlag(FLAGS_settings);
    if (path.empty()) {
        std::cerr << "--settings FILE is required, see --help\n";
        return std::nullopt;
    }
    const std::ifstream file(path);
    if (!file) {
        std::cerr << "cannot read settings file '" << path << "'\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void printSettingsErrors(const std::vector<std::string> &errors)
{
    const std::string path = absl::GetFlag(FLAGS_settings);
    for (const std::string &error : errors)
        std::cerr << path << ": " << error << "\n";
}

bool checkSettingsOnly()
{
    return absl::GetFlag(FLAGS_check_settings);
}

std::uint64_t newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

} // namespace flamingo::daemons
